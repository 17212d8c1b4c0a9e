#include "simulated/world.hpp"

namespace tamarindshift {

void World::runUntil(Instant until) {
  while (auto earliest = heartbeats_.earliest()) {
    if (*earliest > until) break;
    now_ = std::max(now_, *earliest);
    auto heartbeat = heartbeats_.takeDue(now_);
    (*heartbeat)();
  }
  now_ = std::max(now_, until);
}

}  // namespace tamarindshift
