#pragma once

#include <functional>
#include <vector>

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "edge/web_link.hpp"
#include "tests/platform/access_point.hpp"

namespace tamarindshift::testing {

// the platform address: asks each access node every second whether it is ready and passes new connections on
class StandinEntry {
 public:
  StandinEntry(Clock& clock, WebLink& web) : clock_(clock), web_(web) {}
  void add(AccessPoint point);
  void remove(const Address& front);
  // nothing where there is no node at all
  std::optional<Address> choose(const std::string& zone, std::uint64_t client, std::uint64_t attempt) const;
  bool ready(const Address& front) const;
  std::vector<Address> readyFronts() const;

 private:
  struct Node {
    AccessPoint point;
    unsigned misses = 2;
    bool removed = false;
  };
  Task<void> probe(std::shared_ptr<Node> node);
  std::vector<Address> fronts(const std::string& zone, bool own) const;

  Clock& clock_;
  WebLink& web_;
  std::vector<std::shared_ptr<Node>> nodes_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing
