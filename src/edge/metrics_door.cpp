#include "edge/metrics_door.hpp"

#include "edge/door_replies.hpp"

namespace tamarindshift {

Task<DoorReply> MetricsDoor::serve(DoorRequest request) {
  if (request.path != "/metrics") co_return refusal(404, "no such path");
  if (request.method != "GET") co_return refusal(405, "wrong method");
  co_return metricsReply(page_());
}

}  // namespace tamarindshift
