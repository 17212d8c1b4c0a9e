#pragma once

#include "base/desk.hpp"
#include "base/journal.hpp"
#include "news/news_board.hpp"

namespace tamarindshift {

struct FollowTimings {
  Duration patience = 600ms;
  Duration pause = 50ms;
  Duration returnToFirst = 5s;
};

class Follower {
 public:
  using Sources = std::function<std::vector<Address>()>;

  Follower(Clock& clock, Desk& desk, NewsBoard& board, Journal& journal, Topic topic, Sources sources, FollowTimings timings);
  std::optional<Instant> leaseUntil() const;
  std::vector<DatabaseSign> signs() const;
  Gate& renewed() { return renewed_; }
  const Address& source() const { return source_; }

 private:
  Task<void> follow();
  Clock& clock_;
  Desk& desk_;
  NewsBoard& board_;
  Journal& journal_;
  Topic topic_;
  Sources sources_;
  FollowTimings timings_;
  Address source_;
  std::optional<Instant> leaseUntil_;
  std::vector<DatabaseSign> signs_;
  Instant signsAt_{};
  Gate renewed_;
  TaskScope scope_;
};

}  // namespace tamarindshift
