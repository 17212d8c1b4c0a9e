#include "simulated/world.hpp"

namespace tamarindshift {

void World::runUntil(Instant until) {
  while (auto earliest = beats_.earliest()) {
    if (*earliest > until) break;
    now_ = std::max(now_, *earliest);
    auto beat = beats_.takeDue(now_);
    (*beat)();
  }
  now_ = std::max(now_, until);
}

}  // namespace tamarindshift
