/// Updates of the control plane that a test publishes itself.
#pragma once

#include <set>

#include "control/plan_entries.hpp"
#include "updates/update_feed.hpp"

namespace tamarindshift {

/// Topics are leased until the test ends their leases or stops renewing them.
class ScriptedUpdates : public UpdateFeed {
 public:
  explicit ScriptedUpdates(Clock& clock) : clock_(clock) {}

  std::optional<Instant> leaseUntil(const Topic& topic) override {
    if (ended_.contains(topic)) return std::nullopt;
    auto last = lastLeaseUntil_.find(topic);
    if (last == lastLeaseUntil_.end()) return clock_.now() + leaseDuration;
    return last->second > clock_.now() ? std::optional{last->second} : std::nullopt;
  }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  std::uint64_t position(const Topic&) override { return position_; }
  const UpdateStore& updates() const override { return board_; }
  Gate& changed() override { return board_.changed(); }
  Instant coreRepliedAt() const override { return replicasReply ? clock_.now() : UpdateFeed::coreRepliedAt(); }
  /// Whether the replicas reply, regardless of leases.
  bool replicasReply = false;
  Duration leaseDuration = 2s;

  template <class Value>
  void put(const Topic& topic, const std::string& key, const Value& value) {
    tables_[topic][key] = packed(value);
    publish(topic);
  }
  template <class Plan>
  void putPlan(const Topic& topic, const Plan& plan) {
    std::erase_if(tables_[topic], [](const auto& each) {
      return isPlanKey(each.first);
    });
    writePlanEntries(tables_[topic], plan);
    publish(topic);
  }
  void remove(const Topic& topic, const std::string& key) {
    tables_[topic].erase(key);
    publish(topic);
  }
  void endLease(const Topic& topic) { ended_.insert(topic); }
  /// The node is cut off: the lease that it holds now is the last one.
  void stopRenewing(const Topic& topic) { lastLeaseUntil_[topic] = clock_.now() + leaseDuration; }
  void renewLease(const Topic& topic) {
    ended_.erase(topic);
    lastLeaseUntil_.erase(topic);
    board_.changed().open();
  }
  std::uint64_t mark(const Topic& topic) const { return board_.mark(topic); }

 private:
  void publish(const Topic& topic) { board_.publish(topic, ++position_, tables_[topic]); }

  Clock& clock_;
  UpdateStore board_;
  std::map<Topic, TopicTable> tables_;
  std::set<Topic> ended_;
  std::map<Topic, Instant> lastLeaseUntil_;
  std::uint64_t position_ = 0;
};

}  // namespace tamarindshift
