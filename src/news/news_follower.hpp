#pragma once

#include "base/desk.hpp"
#include "base/journal.hpp"
#include "news/follow_timings.hpp"
#include "news/news_feed.hpp"

namespace tamarindshift {

class NewsFollower : public NewsFeed {
 public:
  using Sources = std::function<std::vector<Address>(const Topic&)>;
  struct Followed {
    std::size_t attempt = 0;
    Instant firstTriedAt{};
    Address asking;
    Address source;
    std::optional<Instant> leaseUntil;
    std::vector<DatabaseSign> signs;
    Instant signsAt{};
    std::uint64_t position = 0;
  };

  // the node whose own entries are all that is wanted of those that concern one node; nothing if all are
  using Own = std::function<std::optional<Address>()>;
  NewsFollower(Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, Own own = [] { return std::nullopt; });
  const NewsBoard& board() const override { return board_; }
  NewsBoard& board() { return board_; }
  Gate& changed() override { return changed_; }
  Instant coreRepliedAt() const override { return coreRepliedAt_; }
  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseSign> signs(const Topic& topic) override;
  std::uint64_t position(const Topic& topic) override;
  const std::map<Topic, Followed>& topics() const { return topics_; }

 private:
  Task<void> keepTopics();
  Task<void> follow(Address source, std::uint64_t turn);
  void startAsks();
  void take(const Topic& topic, const Address& source, Instant at, TopicReply reply);
  void fail(const Topic& topic, const Address& source);
  std::optional<Address> currentSource(const Topic& topic, Followed& followed);
  bool superseded(const Address& source, std::uint64_t turn) const;

  Clock& clock_;
  Desk& desk_;
  Journal& journal_;
  Sources sources_;
  Own own_;
  FollowTimings timings_;
  NewsBoard board_;
  std::map<Topic, Followed> topics_;
  std::map<Address, std::uint64_t> turns_;
  std::uint32_t failures_ = 0;
  Instant coreRepliedAt_{};
  std::uint64_t lastTurn_ = 0;
  Gate changed_;
  TaskScope scope_;
};

}  // namespace tamarindshift
