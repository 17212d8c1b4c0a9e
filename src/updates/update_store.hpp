#pragma once

#include <deque>
#include <memory>

#include "base/gate.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

class UpdateStore {
 public:
  struct TopicState {
    std::uint64_t mark = 0;
    std::uint64_t changesSince = 0;
    // the mark of the last change to an entry of the plan
    std::uint64_t planChangeMark = 0;
    // the node whose own entries are all that is held of those that concern one node
    std::optional<Address> own;
    TopicTable table;
    std::deque<TopicChange> changes;
    // the entries of the plan, compressed once for all who need the whole table, until one of them changes
    mutable std::string compressedPlan;
  };

  void publish(const Topic& topic, std::uint64_t mark, TopicTable table);
  /// The same for a few entries of a topic; those that say nothing new are left out.
  void publishChanges(const Topic& topic, std::uint64_t mark, std::vector<TopicChange> changes);
  // takes a table as it stood at `mark`, without the changes that led there
  void restore(const Topic& topic, std::uint64_t mark, TopicTable table);
  // `own`: the node whose own entries were asked for, as in FollowRequest
  bool apply(const Topic& topic, const TopicReply& reply, const std::optional<Address>& own = std::nullopt);
  void fill(const Topic& topic, std::uint64_t have, TopicReply& reply, const std::optional<Address>& own = std::nullopt) const;
  /// Whether who has `have` needs the whole table, and that is larger than `bytes`.
  bool needsLargeSnapshot(const Topic& topic, std::uint64_t have, std::size_t bytes) const;
  const TopicState* find(const Topic& topic) const;
  TopicState& entry(const Topic& topic);
  Gate& changed() { return changed_; }
  std::uint64_t mark(const Topic& topic) const;
  // the mark that the table is complete up to for who asks for the entries of `own`, or for all; 0 if it is not
  std::uint64_t completeMark(const Topic& topic, const std::optional<Address>& own) const;
  const std::map<Topic, std::unique_ptr<TopicState>>& entries() const { return entries_; }

 private:
  static constexpr std::size_t keptChanges = 1024;
  static constexpr std::size_t leastWholePlan = 8u << 10;
  static const std::string& compressedPlan(const TopicState& entry);
  void change(TopicState& entry, TopicChange change);
  std::map<Topic, std::unique_ptr<TopicState>> entries_;
  Gate changed_;
};

}  // namespace tamarindshift
