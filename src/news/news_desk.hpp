#pragma once

#include "base/desk.hpp"
#include "news/news_board.hpp"
#include "news/news_source.hpp"

namespace tamarindshift {

class NewsDesk {
 public:
  NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait);

 private:
  Task<std::optional<std::string>> follow(std::string body);
  bool nothingNew(const FollowAsk& ask) const;
  Clock& clock_;
  NewsBoard& board_;
  NewsSource& source_;
  Duration wait_;
};

}  // namespace tamarindshift
