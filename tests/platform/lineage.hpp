#pragma once

#include <map>
#include <vector>

#include "tests/platform/term_start.hpp"
#include "tests/platform/wire_position.hpp"

namespace tamarindshift::testing {

// which positions of a service's terms its later terms kept
class Lineage {
 public:
  explicit Lineage(const std::vector<TermStart>& terms) : terms_(terms) {}
  bool cutBack(const std::string& service, const WirePosition& position) const;
  // of positions that were not cut back
  static bool contains(const WirePosition& log, const WirePosition& position) {
    return position.term <= log.term && position.number <= log.number;
  }

 private:
  const std::vector<TermStart>& terms_;
};

}  // namespace tamarindshift::testing
