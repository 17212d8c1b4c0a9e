// The topics that a process knows, each with its version and the recent changes that bring a follower up to date.
#pragma once

#include <deque>
#include <memory>

#include "base/gate.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

/// Key-value tables of topics, with versions.
///
/// The `mark` of a topic is its version: the position in the replicated log of its last change, 0 if it is unknown. A follower
/// that has a version gets the changes after it, or a snapshot where those are not kept any more.
class UpdateStore {
 public:
  struct TopicState {
    std::uint64_t mark = 0;
    /// `changes` has every change after this version.
    std::uint64_t changesSince = 0;
    /// The version of the last change to a plan entry.
    std::uint64_t planChangeMark = 0;
    /// Of the entries that concern one node only, the table has those of this node; without a value those of all nodes.
    std::optional<Address> onlyNode;
    TopicTable table;
    std::deque<TopicChange> changes;
    /// The plan entries, compressed once for all followers that need a snapshot, until one of them changes. Empty if not built.
    mutable std::string compressedPlan;
  };

  /// Replaces the table of a topic. No effect if `mark` is not newer than the held version or the table is the same.
  void publish(const Topic& topic, std::uint64_t mark, TopicTable table);
  /// The same for some entries of a topic; those that change nothing are left out.
  void publishChanges(const Topic& topic, std::uint64_t mark, std::vector<TopicChange> changes);
  /// Sets a table as of `mark`, without the changes that led to it: followers with an older version get a snapshot.
  void restore(const Topic& topic, std::uint64_t mark, TopicTable table);
  /// Applies a reply to a request with this `onlyNode`. False if the source is not current, its version is older than the one
  /// held here, or the compressed plan can't be read.
  bool apply(const Topic& topic, const TopicReply& reply, const std::optional<Address>& onlyNode = std::nullopt);
  /// Fills in the snapshot or the changes for a follower that has `knownMark`; `notCurrent` if this store has an older version or
  /// lacks entries that a request with this `onlyNode` asks for.
  void fillReply(const Topic& topic, std::uint64_t knownMark, TopicReply& reply,
                 const std::optional<Address>& onlyNode = std::nullopt) const;
  /// Whether a follower that has `knownMark` needs a snapshot, and the table is larger than `bytes`.
  bool needsLargeSnapshot(const Topic& topic, std::uint64_t knownMark, std::size_t bytes) const;
  /// The state of a topic, or null if the topic is unknown.
  const TopicState* find(const Topic& topic) const;
  /// The state of a topic, created if the topic is unknown.
  TopicState& state(const Topic& topic);
  /// Opens whenever a topic changes.
  Gate& changed() { return changed_; }
  std::uint64_t mark(const Topic& topic) const;
  /// The version of the table if it has all entries that a request with this `onlyNode` asks for; 0 if it lacks some.
  std::uint64_t completeMark(const Topic& topic, const std::optional<Address>& onlyNode) const;
  const std::map<Topic, std::unique_ptr<TopicState>>& topics() const { return topics_; }

 private:
  /// Changes kept for each topic.
  static constexpr std::size_t maxKeptChanges = 1024;
  /// Smaller plans go into a snapshot uncompressed.
  static constexpr std::size_t minCompressedPlanBytes = 8u << 10;
  /// Builds the compressed plan if needed; empty for a plan below `minCompressedPlanBytes`.
  static const std::string& compressedPlanOf(const TopicState& state);
  void applyChange(TopicState& state, TopicChange change);
  std::map<Topic, std::unique_ptr<TopicState>> topics_;
  Gate changed_;
};

}  // namespace tamarindshift
