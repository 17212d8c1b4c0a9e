#pragma once

#include "tests/platform/wire_position.hpp"

namespace tamarindshift::testing {

enum class WireVerb { begin, commit, rollback, read, write, set, prepare, execute, discard, reset, status, suspend, resume, demote };

struct WireStatement {
  WireVerb verb = WireVerb::read;
  std::optional<WirePosition> after;
  bool reads = false;  // BEGIN READ and PREPARE name READ
  std::string name;
  std::string thing;
  std::string data;
  std::string shape;
  std::uint64_t term = 0;
};

std::optional<WireStatement> parseWireStatement(std::string text);
std::string withoutAfter(const std::string& text);

}  // namespace tamarindshift::testing
