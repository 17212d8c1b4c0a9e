#include "tests/group_history.hpp"

#include <algorithm>

namespace tamarindshift::testing {

std::size_t GroupHistory::born(const ServerId& server) {
  lives_.push_back(GroupLife{server, {}});
  return lives_.size() - 1;
}

void GroupHistory::fault(const std::string& text) {
  if (faults.size() < 10) faults.push_back(text);
}

void GroupHistory::regular(std::size_t life, const Configuration& configuration) {
  auto& own = lives_[life];
  if (!own.stretches.empty()) {
    if (!own.stretches.back().transitional) fault("no transitional configuration before a regular one");
    if (configuration.confId <= own.stretches.back().configuration.confId) fault("a view that does not rise");
  }
  if (!configuration.members.contains(own.server)) fault("a view without its own member");
  auto [known, fresh] = members_.emplace(configuration.confId, configuration.members);
  if (!fresh && known->second != configuration.members) fault("members of one view differ");
  own.stretches.push_back(GroupStretch{configuration, {}, {}, {}, 0, std::nullopt});
}

void GroupHistory::transitional(std::size_t life, const std::set<ServerId>& members) {
  auto& own = lives_[life];
  if (own.stretches.empty()) return;
  auto& last = own.stretches.back();
  if (last.transitional) fault("two transitional configurations in a row");
  last.transitional = members;
  if (!members.contains(own.server)) fault("a transitional set without its own member");
  if (!std::includes(last.configuration.members.begin(), last.configuration.members.end(), members.begin(), members.end()))
    fault("a transitional set with members from elsewhere");
}

void GroupHistory::received(std::size_t life, const Delivery& delivery) {
  auto& last = lives_[life].stretches.back();
  last.received[delivery.sequence] = delivery.payload;
  if (delivery.sender == lives_[life].server) last.own.insert(delivery.payload);
}

void GroupHistory::stable(std::size_t life, const ViewId& view, std::uint64_t upto) {
  auto& held = stable_[view][lives_[life].server];
  held = std::max(held, upto);
}

void GroupHistory::delivered(std::size_t life, const Delivery& delivery) {
  auto& last = lives_[life].stretches.back();
  const auto& view = last.configuration.confId;
  if (delivery.view != view) fault("delivered in another view than sent");
  if (delivery.sequence != last.delivered.size() + 1) fault("a gap or a repeat in the order");
  auto [known, fresh] = order_[view].emplace(delivery.sequence, delivery.payload);
  if (!fresh && known->second != delivery.payload) fault("two orders in one view");
  last.delivered.emplace_back(delivery.sequence, delivery.payload);
  if (last.transitional) {
    ++inTransition;
    return;
  }
  ++safe;
  ++last.safely;
  auto& upto = safeUpTo_[view];
  upto = std::max(upto, delivery.sequence);
  for (const auto& member : last.configuration.members)
    if (stable_[view][member] < delivery.sequence) fault("delivered as safe and not held by " + text(member));
}

void GroupHistory::compare(const GroupLife& left, const GroupLife& right) {
  for (std::size_t one = 0; one + 1 < left.stretches.size(); ++one)
    for (std::size_t two = 0; two + 1 < right.stretches.size(); ++two) {
      const auto& mine = left.stretches[one];
      const auto& theirs = right.stretches[two];
      if (mine.configuration.confId != theirs.configuration.confId) continue;
      if (left.stretches[one + 1].configuration.confId != right.stretches[two + 1].configuration.confId) continue;
      ++together;
      if (mine.transitional != theirs.transitional) fault("transitional sets differ of two that went together");
      if (mine.transitional && !mine.transitional->contains(right.server)) fault("a transitional set without one that went along");
      if (mine.delivered != theirs.delivered) fault("two that went together delivered different messages");
    }
}

void GroupHistory::judge() {
  for (const auto& life : lives_)
    for (std::size_t index = 0; index + 1 < life.stretches.size(); ++index) {
      const auto& stretch = life.stretches[index];
      if (stretch.delivered.size() < safeUpTo_[stretch.configuration.confId])
        fault(text(life.server) + " lacks what another delivered as safe");
      for (const auto& payload : stretch.own)
        if (std::none_of(stretch.delivered.begin(), stretch.delivered.end(), [&](const auto& each) {
              return each.second == payload;
            }))
          fault(text(life.server) + " did not deliver its own " + payload);
    }
  for (std::size_t left = 0; left < lives_.size(); ++left)
    for (std::size_t right = left + 1; right < lives_.size(); ++right) compare(lives_[left], lives_[right]);
}

}  // namespace tamarindshift::testing
