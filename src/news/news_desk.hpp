#pragma once

#include "base/desk.hpp"
#include "news/news_board.hpp"

namespace tamarindshift {

class NewsSource {
 public:
  virtual ~NewsSource() = default;
  virtual std::optional<Instant> leaseUntil(const Topic& topic) = 0;
  virtual std::vector<DatabaseSign> signs(const Topic& topic) = 0;
};

class NewsDesk {
 public:
  NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait);

 private:
  Task<std::optional<std::string>> follow(std::string body);
  Clock& clock_;
  NewsBoard& board_;
  NewsSource& source_;
  Duration wait_;
};

}  // namespace tamarindshift
