#include "control/member_replacement.hpp"

#include <algorithm>

namespace tamarindshift {

std::size_t MemberReplacement::countPresentWithout(const ReplicationEngine& engine, const ServerId& member) {
  if (engine.state() != EngineState::regPrim) return 0;
  const auto& present = engine.conf().members;
  return static_cast<std::size_t>(std::count_if(present.begin(), present.end(), [&](const auto& server) {
    return server != member && engine.hasMember(server);
  }));
}

bool MemberReplacement::canSpare(const ReplicationEngine& engine, const ServerId& member, std::size_t losses) {
  return losses > 0 && engine.hasMember(member) && countPresentWithout(engine, member) >= 2 * losses + 1;
}

bool MemberReplacement::othersHoldAll(const ReplicationEngine& engine, const ServerId& member, std::size_t losses) {
  return engine.state() == EngineState::regPrim && countPresentWithout(engine, member) >= losses + 1;
}

void MemberReplacement::review() {
  const auto& present = engine_.conf().members;
  auto members = engine_.members();
  std::erase_if(absentSince_, [&](const auto& each) {
    return present.contains(each.first) || !members.contains(each.first);
  });
  for (const auto& server : members) {
    if (present.contains(server)) continue;
    if (!canSpare(engine_, server, losses_)) {
      absentSince_.erase(server);
      continue;
    }
    auto [entry, inserted] = absentSince_.try_emplace(server, clock_.now());
    if (inserted || clock_.now() - entry->second < absenceTimeout_) continue;
    entry->second = clock_.now();
    journal_.line("member " + text(server) + ": absent and replaced, its removal from the group is requested");
    engine_.requestLeave(server);
  }
}

}  // namespace tamarindshift
