#pragma once

// Interface through which the duty holder queries, demotes and promotes databases.

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

enum class PromotionOutcome {
  promoted,   ///< the database is primary now
  accepted,   ///< it will be primary, and reports so itself
  refused,    ///< it cannot become primary
  unanswered  ///< no reply before the deadline, or the call was not sent
};

/// The member on whose behalf a promotion is called.
struct DutyHolder {
  Address node;
  /// Fencing token: never falls from one duty holder to the next.
  std::uint64_t fencingToken = 0;
  /// Checked right before the call is sent; false if another node may hold the duties by now.
  std::function<bool()> mayAct = [] {
    return true;
  };
};

/// Calls to databases. Each call ends by its deadline.
class DatabaseControl {
 public:
  virtual ~DatabaseControl() = default;
  /// Queries the state of a database; nothing if it does not answer.
  virtual Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) = 0;
  /// Turns a primary of an epoch below `epoch` into a replica. Returns its last state, or nothing if it does not answer.
  virtual Task<std::optional<DatabaseStatus>> demote(DatabaseTarget target, Epoch epoch, Instant deadline) = 0;
  /// Asks a database to become the primary of `epoch`.
  virtual Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) = 0;
};

}  // namespace tamarindshift
