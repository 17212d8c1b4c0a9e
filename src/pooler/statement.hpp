#pragma once

#include <string>

namespace tamarindshift {

enum class StatementKind { begin, beginRead, commit, rollback, read, write, set, prepareRead, prepareWrite, execute, discard, reset };

struct Statement {
  StatementKind kind{};
  std::string id;
  std::string text;
  std::string name;
  std::string value;
};

}  // namespace tamarindshift
