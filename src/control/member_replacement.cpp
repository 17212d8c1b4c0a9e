#include "control/member_replacement.hpp"

#include <algorithm>

namespace tamarindshift {

std::size_t MemberReplacement::presentWithout(const ReplicationEngine& engine, const ServerId& member) {
  if (engine.state() != EngineState::regPrim) return 0;
  const auto& present = engine.conf().members;
  return static_cast<std::size_t>(std::count_if(present.begin(), present.end(), [&](const auto& server) {
    return server != member && engine.hasMember(server);
  }));
}

bool MemberReplacement::spare(const ReplicationEngine& engine, const ServerId& member, std::size_t losses) {
  return losses > 0 && engine.hasMember(member) && presentWithout(engine, member) >= 2 * losses + 1;
}

bool MemberReplacement::othersHoldAll(const ReplicationEngine& engine, const ServerId& member, std::size_t losses) {
  return engine.state() == EngineState::regPrim && presentWithout(engine, member) >= losses + 1;
}

void MemberReplacement::review() {
  const auto& present = engine_.conf().members;
  auto members = engine_.members();
  std::erase_if(awaySince_, [&](const auto& each) {
    return present.contains(each.first) || !members.contains(each.first);
  });
  for (const auto& server : members) {
    if (present.contains(server)) continue;
    if (!spare(engine_, server, losses_)) {
      awaySince_.erase(server);
      continue;
    }
    auto [away, fresh] = awaySince_.try_emplace(server, clock_.now());
    if (fresh || clock_.now() - away->second < away_) continue;
    away->second = clock_.now();
    journal_.line("member " + text(server) + " was replaced and is let go");
    engine_.requestLeave(server);
  }
}

}  // namespace tamarindshift
