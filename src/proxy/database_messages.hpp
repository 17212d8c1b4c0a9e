// Statements for a database of the JSON protocol, its replies, and the status that it reports.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/names.hpp"

namespace tamarindshift {

enum class Operation : std::uint8_t { statement, begin, commit, rollback, prepare, execute, set };

/// One operation for a database.
struct DatabaseRequest {
  Operation operation = Operation::statement;
  std::string text;
  /// For `prepare` and `execute` the prepared statement, for `set` the session value.
  std::string name;
  std::vector<std::optional<std::string>> parameters;
  bool reads = false;
  /// Whether it may change data or session state at the database.
  bool mayWrite() const { return !reads; }
};

/// What a database says of itself at the time of the reply.
struct DatabaseStatus {
  std::string role;
  /// The epoch of the last entry of its log.
  Epoch epoch;
  Position position;
  /// Time since a replica last had contact with its primary.
  Duration contactAge{};
  /// The newest term that the database knows of; a promotion raises it.
  Epoch term{};
  /// Epoch and position of the last entry of its log.
  LogPosition logEnd() const { return LogPosition{epoch, position}; }
};

struct DatabaseReply {
  /// False if the database refused or failed the operation; `reason` says why.
  bool done = false;
  /// False if the write is committed at the primary alone and no replica has confirmed it.
  bool replicated = true;
  std::string reason;
  std::string result;
  DatabaseStatus status;
  /// The log position of what the operation wrote; where the reply names none, that of `status`.
  Position commitPosition;
};

}  // namespace tamarindshift
