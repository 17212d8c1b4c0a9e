#include "tests/platform/reach_table.hpp"

namespace tamarindshift::testing {

void ReachTable::dark(const std::string& host, bool dark) {
  if (dark)
    dark_.insert(host);
  else
    dark_.erase(host);
  lay();
}

void ReachTable::cut(const std::string& from, const std::string& to) {
  cuts_.insert({from, to});
  lay();
}

void ReachTable::heal(const std::string& from, const std::string& to) {
  cuts_.erase({from, to});
  lay();
}

void ReachTable::lay() {
  network_.healAll();
  for (const auto& [from, to] : cuts_) network_.cut(from, to);
  for (const auto& host : dark_)
    for (const auto& other : hosts_) {
      if (other == host) continue;
      network_.cut(host, other);
      network_.cut(other, host);
    }
}

}  // namespace tamarindshift::testing
