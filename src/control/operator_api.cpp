#include "control/operator_api.hpp"

#include <nlohmann/json.hpp>

#include "control/heartbeat_json.hpp"
#include "control/replica_status.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

Task<DoorReply> OperatorApi::serve(DoorRequest request) {
  const auto& path = request.path;
  if (path == "/plan") {
    if (request.method == "GET") {
      if (!replica_.leaseUntil(fleetTopic))
        co_return refusal(503, "not in a proved primary component", {}, replica_.settings().timings.comeBack);
      if (!replica_.state().plan()) co_return refusal(404, "no plan is held yet");
      co_return DoorReply{200, replica_.state().planText(), std::nullopt};
    }
    if (request.method == "PUT" || request.method == "POST") co_return co_await replica_.replacePlan(std::move(request.body));
    co_return refusal(405, "wrong method");
  }
  if (path == "/heartbeat" || path == "/detach") {
    if (request.method != "POST") co_return refusal(405, "wrong method");
    auto heartbeat = heartbeatFromJson(request.body);
    if (!heartbeat) {
      replica_.journal().count("heartbeats.malformed");
      co_return refusal(400, "not a heartbeat");
    }
    if (path == "/detach") co_return co_await replica_.detach(std::move(*heartbeat));
    co_return co_await replica_.heartbeat(*heartbeat);
  }
  if (path.starts_with("/members/")) {
    if (request.method != "DELETE") co_return refusal(405, "wrong method");
    Address member{path.substr(9)};
    co_return co_await replica_.removeMember(member);
  }
  if (request.method != "GET")
    co_return refusal(path == "/status" || path == "/counters" || path == "/ready" ? 405 : 404, "no such path or method");
  if (path == "/status") co_return pageReply(replicaStatus(replica_, clock_.now()));
  if (path == "/counters") co_return pageReply(nlohmann::json(replica_.journal().counters()));
  if (path == "/ready") {
    if (replica_.draining()) co_return refusal(503, "this node is leaving", {}, replica_.settings().timings.comeBack);
    if (replica_.leaseUntil(fleetTopic)) co_return DoorReply{200, "{}", std::nullopt};
    co_return refusal(503, "not in a proved primary component", {}, replica_.settings().timings.comeBack);
  }
  co_return refusal(404, "no such path");
}

}  // namespace tamarindshift
