#pragma once

#include "base/gate.hpp"
#include "news/news_board.hpp"
#include "news/news_source.hpp"

namespace tamarindshift {

class NewsFeed : public NewsSource {
 public:
  virtual const NewsBoard& board() const = 0;
  // opened when news or a lease came that were not there before
  virtual Gate& changed() = 0;
  // when a replica last answered, with a lease or without
  virtual Instant coreRepliedAt() const { return {}; }
};

}  // namespace tamarindshift
