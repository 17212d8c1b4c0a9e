/// Statements of clients and of the pooler itself.
#pragma once

#include <string>

namespace tamarindshift {

enum class StatementKind { begin, beginRead, commit, rollback, read, write, set, prepareRead, prepareWrite, execute, discard, reset };

struct Statement {
  StatementKind kind{};
  /// Given by the client; empty for statements of the pooler itself.
  std::string id;
  /// As the client sent it; empty for statements of the pooler itself.
  std::string text;
  /// Of the variable or prepared statement.
  std::string name;
  /// Of the variable, or the shape of the prepared statement.
  std::string value;
};

}  // namespace tamarindshift
