#pragma once

#include <optional>
#include <vector>

#include "base/time.hpp"
#include "news/news_messages.hpp"

namespace tamarindshift {

class NewsSource {
 public:
  virtual ~NewsSource() = default;
  virtual std::optional<Instant> leaseUntil(const Topic& topic) = 0;
  // whether what is passed on of a topic comes from a source that still answers
  virtual bool answered(const Topic&) { return true; }
  virtual std::vector<DatabaseSign> signs(const Topic& topic) = 0;
  // whether this is a replica of the core
  virtual bool core() const { return false; }
  // place in the green order up to which the topic's news are known
  virtual std::uint64_t position(const Topic& topic) = 0;
};

}  // namespace tamarindshift
