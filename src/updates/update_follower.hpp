// Follows the topics of the plan at changing sources and keeps their tables and leases.
#pragma once

#include "base/desk.hpp"
#include "base/journal.hpp"
#include "updates/follow_timings.hpp"
#include "updates/update_feed.hpp"

namespace tamarindshift {

/// Sends long-poll `follow` requests to sources and keeps what they reply.
///
/// One request at a time runs at each source, for all topics that are followed there. A topic is followed at the first of its
/// sources; if that one does not reply or is not current, at another one for a while.
class UpdateFollower : public UpdateFeed {
 public:
  using Marks = std::map<Topic, std::uint64_t>;
  /// The sources of a topic, in order of preference.
  using Sources = std::function<std::vector<Address>(const Topic&)>;
  struct FollowedTopic {
    /// The source that is followed instead of the first one.
    std::optional<Address> fallback;
    /// The last time at which the first source was chosen.
    Instant firstTriedAt{};
    /// The sources that failed since the last reply.
    std::set<Address> failedSources;
    /// The source that the last request for this topic went to.
    Address requestedFrom;
    std::vector<Address> sources;
    /// The version of the fleet's topic at which `sources` was read.
    std::uint64_t sourcesMark = 0;
    Instant sourcesReadAt{};
    /// The source of the last reply.
    Address source;
    std::optional<Instant> leaseUntil;
    std::vector<DatabaseReport> databaseReports;
    Instant reportsAt{};
    /// The last time at which a caller read `databaseReports`; reports are requested for a while after that.
    std::optional<Instant> reportsReadAt;
    Instant lastReplyAt{};
    std::uint64_t position = 0;
  };

  /// Of the entries that concern one node only, the node whose entries are requested; no value for those of all nodes.
  using OnlyNode = std::function<std::optional<Address>()>;
  UpdateFollower(
      Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, OnlyNode onlyNode = [] {
        return std::nullopt;
      });
  const UpdateStore& updates() const override { return store_; }
  UpdateStore& updates() { return store_; }
  Gate& changed() override { return changed_; }
  Instant coreRepliedAt() const override { return coreRepliedAt_; }
  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override;
  std::uint64_t position(const Topic& topic) override;
  bool sourceResponsive(const Topic& topic) override;
  const std::map<Topic, FollowedTopic>& topics() const { return topics_; }

 private:
  /// Follows the fleet's topic and one topic for each service of the plan. Reads the plan only when it has changed.
  void updateTopics();
  Task<void> superviseTopics();
  Task<void> requestLoop(Address source, std::uint64_t loopId);
  /// The topics that are followed at `source` now, with the version held of each.
  Marks marksFor(const Address& source, const std::optional<Address>& onlyNode);
  FollowRequest makeRequest(const Address& source, const Marks& marks, std::optional<Address> onlyNode);
  /// Starts a request loop at each source that topics have moved to; it replaces the loop that runs there.
  void startRequestLoops();
  /// Takes a reply whose lease counts from `sourceRepliedAt`, the earliest time at which the source can have written it.
  void recordReply(const Topic& topic, const Address& source, Instant sourceRepliedAt, TopicReply reply);
  /// Moves the topic to another source, if it is still followed at this one.
  void recordFailure(const Topic& topic, const Address& source);
  /// The last numbered request that a source replied to and remembers, which the next one can build on.
  struct RememberedRequest {
    std::uint64_t number = 0;
    Marks marks;
    std::optional<Address> onlyNode;
  };
  struct SourceState {
    Instant answeredAt{};
    std::optional<Instant> silentAt;
  };
  const std::vector<Address>& sourcesOf(const Topic& topic, FollowedTopic& followed);
  /// The source at which the topic is followed now: its first one, or the fallback for up to `returnToFirst`.
  std::optional<Address> currentSource(const Topic& topic, FollowedTopic& followed);
  SourceState sourceState(const Address& source) const;
  /// Whether the last request to the source got no reply, within the last `returnToFirst`.
  bool silent(const Address& source) const;
  /// Of the sources that have not failed, the one that replied last; silent ones come last.
  Address nextSource(const std::vector<Address>& sources, const std::set<Address>& failedSources) const;
  /// Whether a newer loop runs at the source, so that this one must end.
  bool superseded(const Address& source, std::uint64_t loopId) const;

  Clock& clock_;
  Desk& desk_;
  Journal& journal_;
  Sources sources_;
  OnlyNode onlyNode_;
  FollowTimings timings_;
  UpdateStore store_;
  std::map<Topic, FollowedTopic> topics_;
  /// The version of the plan entries from which `topics_` was read.
  std::uint64_t topicsPlanMark_ = 0;
  /// The running request loop of each source.
  std::map<Address, std::uint64_t> loopIds_;
  std::map<Address, SourceState> sourceStates_;
  std::map<Address, RememberedRequest> rememberedRequests_;
  /// Starts at the current time, so that numbers go on rising after a restart.
  std::uint64_t lastRequestNumber_;
  std::uint32_t consecutiveFailures_ = 0;
  Instant coreRepliedAt_{};
  std::uint64_t lastLoopId_ = 0;
  Gate changed_;
  TaskScope scope_;
};

}  // namespace tamarindshift
