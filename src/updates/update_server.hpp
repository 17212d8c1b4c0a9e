// Serves `follow` requests: long polls that are answered when a topic changes or a lease is renewed.
#pragma once

#include "base/desk.hpp"
#include "updates/update_store.hpp"
#include "updates/update_source.hpp"

namespace tamarindshift {

/// Answers the `follow` requests of followers from an `UpdateStore`.
///
/// A request names the version of each topic that the follower has, or builds on an earlier request of the same follower, which the
/// server remembers for a while. It is held for at most `maxWait` while nothing is new.
class UpdateServer {
 public:
  UpdateServer(Clock& clock, Desk& desk, UpdateStore& store, UpdateSource& source, Duration maxWait);

 private:
  using Marks = std::map<Topic, std::uint64_t>;
  /// The last numbered request of a follower.
  struct FollowerState {
    std::uint64_t number = 0;
    std::shared_ptr<const Marks> marks;
    Instant lastRequestAt{};
  };
  /// A follower without a request for this long is forgotten.
  static constexpr Duration followerStateMaxAge = 10s;
  /// How often a held request checks whether a lease that is short or missing has been renewed.
  static constexpr Duration leasePollInterval = 20ms;
  /// Snapshots that a node sends are no larger than this; followers request larger ones from a replica, whose link has the capacity.
  static constexpr std::size_t maxSnapshotBytesFromNode = 64u << 10;
  Task<std::optional<std::string>> follow(Address from, std::string body);
  /// The versions of all topics of a request, after adding those of the request that it builds on; null if that is not known.
  std::shared_ptr<const Marks> resolveMarks(const Address& from, FollowRequest& request);
  /// Holds a request until something is new, or a lease that was short or missing is renewed.
  Task<void> wait(std::shared_ptr<const Marks> marks, Duration lease);
  bool upToDate(const Marks& marks) const;
  /// The end of the shortest lease of the topics; no value if one of them has no lease.
  std::optional<Instant> earliestLeaseEnd(const Marks& marks) const;
  FollowReply reply(const Address& from, const FollowRequest& request, const Marks& marks) const;
  /// A replica sends them to anyone, a node only to processes on its own machine.
  bool maySendLargeSnapshots(const Address& from) const;
  /// Replaces unchanged topics with similar leases by one lease and one position for all of them.
  static void omitUnchangedTopics(FollowReply& reply, const Marks& marks);
  Clock& clock_;
  Address ownAddress_;
  UpdateStore& store_;
  UpdateSource& source_;
  Duration maxWait_;
  std::map<Address, FollowerState> followers_;
};

}  // namespace tamarindshift
