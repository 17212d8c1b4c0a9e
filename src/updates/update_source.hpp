#pragma once

#include <optional>
#include <vector>

#include "base/time.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

class UpdateSource {
 public:
  virtual ~UpdateSource() = default;
  virtual std::optional<Instant> leaseUntil(const Topic& topic) = 0;
  // whether what is passed on of a topic comes from a source that still answers
  virtual bool sourceResponsive(const Topic&) { return true; }
  virtual std::vector<DatabaseReport> databaseReports(const Topic& topic) = 0;
  // whether this is a replica of the core
  virtual bool isReplica() const { return false; }
  // place in the green order up to which the topic's news are known
  virtual std::uint64_t position(const Topic& topic) = 0;
};

}  // namespace tamarindshift
