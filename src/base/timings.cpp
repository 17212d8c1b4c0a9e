#include "base/timings.hpp"

namespace tamarindshift {

std::optional<std::string> Timings::fault() const {
  if (group.suspicionTimeout < 3 * group.heartbeatInterval) return "suspicion must be at least three heartbeats";
  if (lease + leaseMargin > planFollowed) return "the lease and its margin must end within the time a plan is followed";
  if (newsPatience < newsWait + 100ms) return "an ask for news must outlast its wait";
  auto proofAge = 2 * group.heartbeatInterval;
  auto hops = 3 * (newsWait + 20ms);
  auto nextView = group.suspicionTimeout + group.heartbeatInterval + group.settleDuration + 50ms;
  auto nextSource = newsPatience + 50ms;
  if (proofAge + hops + std::max(nextView, nextSource) > lease)
    return "loss of a replica (proof, three hops of news, the longer of the next view and one failed attempt) must fit into a lease";
  if (nodeSilence < 4 * report) return "a node is silent only after four reports are missing";
  if (nodeSilence < lease + leaseMargin) return "a node may be given up only after its lease";
  if (stopTransactions > stop / 2) return "open transactions get the first half of a stop";
  if (lease + 4 * newsWait > detach) return "news of a Detach must arrive before its bound";
  return std::nullopt;
}

}  // namespace tamarindshift
