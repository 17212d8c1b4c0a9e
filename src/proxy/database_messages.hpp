#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/names.hpp"

namespace tamarindshift {

enum class Operation : std::uint8_t { statement, begin, commit, rollback, prepare, execute, set };

struct DatabaseRequest {
  Operation operation = Operation::statement;
  std::string text;
  std::string name;
  std::vector<std::optional<std::string>> parameters;
  bool reads = false;
  /// Whether it may keep something at the database.
  bool mayWrite() const { return !reads; }
};

struct DatabaseStatus {
  std::string role;
  /// The epoch of the last entry of its log.
  Epoch epoch;
  Position position;
  Duration contactAge{};
  /// The newest term that it knows of; a promotion raises it.
  Epoch term{};
  /// Where its log ends.
  LogPosition logEnd() const { return LogPosition{epoch, position}; }
};

struct DatabaseReply {
  bool done = false;
  bool replicated = true;
  std::string reason;
  std::string result;
  DatabaseStatus standing;
  Position commitPosition;
};

}  // namespace tamarindshift
