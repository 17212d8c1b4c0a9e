#pragma once

#include <functional>

#include "base/address.hpp"
#include "base/task.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

struct DatabaseTarget {
  ServiceName service;
  DatabaseName database;
  Address address;
};

// promoted: the database is primary now; accepted: it will be, and says so itself; refused: it cannot become primary
enum class PromotionOutcome { promoted, accepted, refused, unanswered };

struct DutyHolder {
  Address node;
  std::uint64_t fencingToken = 0;
  /// Asked right before the call goes out; false where another node may hold the duties by now.
  std::function<bool()> mayAct = [] {
    return true;
  };
};

class DatabaseControl {
 public:
  virtual ~DatabaseControl() = default;
  virtual Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) = 0;
  // turns a primary of an epoch below `epoch` into a replica; its last standing, or nothing
  virtual Task<std::optional<DatabaseStatus>> demote(DatabaseTarget target, Epoch epoch, Instant deadline) = 0;
  virtual Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) = 0;
};

}  // namespace tamarindshift
