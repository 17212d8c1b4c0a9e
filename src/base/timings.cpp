#include "base/timings.hpp"

namespace tamarindshift {

std::optional<std::string> Timings::fault() const {
  if (group.suspicion < 3 * group.beat) return "suspicion must be at least three beats";
  if (lease + leaseMargin > planFollowed) return "the lease and its margin must end within the time a plan is followed";
  if (group.suspicion + group.settle + 2 * group.flush > lease) return "a view change must fit into a lease";
  if (3 * (newsWait + 20ms) + 2 * group.beat > lease) return "three hops of news must fit into a lease";
  if (nodeSilence < lease + leaseMargin) return "a node may be given up only after its lease";
  if (stopTransactions > stop / 2) return "open transactions get the first half of a stop";
  if (lease + 4 * newsWait > detach) return "news of a Detach must arrive before its bound";
  return std::nullopt;
}

}  // namespace tamarindshift
