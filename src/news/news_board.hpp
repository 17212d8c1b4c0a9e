#pragma once

#include <deque>
#include <memory>

#include "base/gate.hpp"
#include "news/news_messages.hpp"

namespace tamarindshift {

class NewsBoard {
 public:
  struct Entry {
    std::uint64_t mark = 0;
    std::uint64_t changesSince = 0;
    // the mark of the last change to an entry of the plan
    std::uint64_t planAt = 0;
    // the node whose own entries are all that is held of those that concern one node
    std::optional<Address> own;
    NewsTable table;
    std::deque<NewsChange> changes;
    // the entries of the plan, compressed once for all who need the whole table, until one of them changes
    mutable std::string wholePlan;
  };

  void publish(const Topic& topic, std::uint64_t mark, NewsTable table);
  /// The same for a few entries of a topic; those that say nothing new are left out.
  void publishChanges(const Topic& topic, std::uint64_t mark, std::vector<NewsChange> changes);
  // takes a table as it stood at `mark`, without the changes that led there
  void restore(const Topic& topic, std::uint64_t mark, NewsTable table);
  // `own`: the node whose own entries were asked for, as in FollowAsk
  bool apply(const Topic& topic, const TopicReply& reply, const std::optional<Address>& own = std::nullopt);
  void fill(const Topic& topic, std::uint64_t have, TopicReply& reply, const std::optional<Address>& own = std::nullopt) const;
  /// Whether who has `have` needs the whole table, and that is larger than `bytes`.
  bool needsWhole(const Topic& topic, std::uint64_t have, std::size_t bytes) const;
  const Entry* find(const Topic& topic) const;
  Entry& entry(const Topic& topic);
  Gate& changed() { return changed_; }
  std::uint64_t mark(const Topic& topic) const;
  // the mark that the table is complete up to for who asks for the entries of `own`, or for all; 0 if it is not
  std::uint64_t completeMark(const Topic& topic, const std::optional<Address>& own) const;
  const std::map<Topic, std::unique_ptr<Entry>>& entries() const { return entries_; }

 private:
  static constexpr std::size_t keptChanges = 1024;
  static constexpr std::size_t leastWholePlan = 8u << 10;
  static const std::string& wholePlan(const Entry& entry);
  void change(Entry& entry, NewsChange change);
  std::map<Topic, std::unique_ptr<Entry>> entries_;
  Gate changed_;
};

}  // namespace tamarindshift
