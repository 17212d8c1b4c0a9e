#pragma once

#include "base/desk.hpp"
#include "base/journal.hpp"
#include "updates/follow_timings.hpp"
#include "updates/update_feed.hpp"

namespace tamarindshift {

class UpdateFollower : public UpdateFeed {
 public:
  using Marks = std::map<Topic, std::uint64_t>;
  using Sources = std::function<std::vector<Address>(const Topic&)>;
  struct Followed {
    // the source that is asked instead of the first one, since when, and those that failed since one answered
    std::optional<Address> instead;
    Instant firstTriedAt{};
    std::set<Address> failed;
    Address asking;
    std::vector<Address> sources;
    std::uint64_t sourcesOf = 0;
    Instant sourcesAt{};
    Address source;
    std::optional<Instant> leaseUntil;
    std::vector<DatabaseReport> signs;
    Instant signsAt{};
    // when somebody last looked at the signs
    std::optional<Instant> signsReadAt;
    Instant takenAt{};
    std::uint64_t position = 0;
  };

  // the node whose own entries are all that is wanted of those that concern one node; nothing if all are
  using Own = std::function<std::optional<Address>()>;
  UpdateFollower(
      Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, Own own = [] {
        return std::nullopt;
      });
  const UpdateStore& updates() const override { return board_; }
  UpdateStore& updates() { return board_; }
  Gate& changed() override { return changed_; }
  Instant coreRepliedAt() const override { return coreRepliedAt_; }
  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override;
  std::uint64_t position(const Topic& topic) override;
  bool sourceResponsive(const Topic& topic) override;
  const std::map<Topic, Followed>& topics() const { return topics_; }

 private:
  void followPlan();
  Task<void> keepTopics();
  Task<void> follow(Address source, std::uint64_t turn);
  Marks marksFor(const Address& source, const std::optional<Address>& own);
  FollowRequest makeAsk(const Address& source, const Marks& have, std::optional<Address> own);
  void startAsks();
  void take(const Topic& topic, const Address& source, Instant at, TopicReply reply);
  void fail(const Topic& topic, const Address& source);
  // what a source remembers of the last ask that it answered
  struct Told {
    std::uint64_t number = 0;
    Marks have;
    std::optional<Address> own;
  };
  struct Standing {
    Instant answeredAt{};
    std::optional<Instant> silentAt;
  };
  const std::vector<Address>& sourcesOf(const Topic& topic, Followed& followed);
  std::optional<Address> currentSource(const Topic& topic, Followed& followed);
  Standing standing(const Address& source) const;
  bool silent(const Address& source) const;
  Address nextSource(const std::vector<Address>& sources, const std::set<Address>& failed) const;
  bool superseded(const Address& source, std::uint64_t turn) const;

  Clock& clock_;
  Desk& desk_;
  Journal& journal_;
  Sources sources_;
  Own own_;
  FollowTimings timings_;
  UpdateStore board_;
  std::map<Topic, Followed> topics_;
  // the mark of the plan that the topics were read from
  std::uint64_t topicsOf_ = 0;
  std::map<Address, std::uint64_t> turns_;
  std::map<Address, Standing> standings_;
  std::map<Address, Told> told_;
  std::uint64_t lastAsk_;
  std::uint32_t failures_ = 0;
  Instant coreRepliedAt_{};
  std::uint64_t lastTurn_ = 0;
  Gate changed_;
  TaskScope scope_;
};

}  // namespace tamarindshift
