#include "base/timings.hpp"

namespace tamarindshift {

std::optional<std::string> Timings::fault() const {
  if (group.suspicion < 3 * group.beat) return "suspicion must be at least three beats";
  if (lease + leaseMargin > planFollowed) return "the lease and its margin must end within the time a plan is followed";
  auto proofAge = 2 * group.beat;
  auto hops = 3 * (newsWait + 20ms);
  if (proofAge + hops + group.suspicion + group.beat + newsPatience > lease)
    return "loss of a replica (proof, three hops of news, suspicion, one failed shot) must fit into a lease";
  if (nodeSilence < lease + leaseMargin) return "a node may be given up only after its lease";
  if (stopTransactions > stop / 2) return "open transactions get the first half of a stop";
  if (lease + 4 * newsWait > detach) return "news of a Detach must arrive before its bound";
  return std::nullopt;
}

}  // namespace tamarindshift
