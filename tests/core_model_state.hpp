#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <string>
#include <type_traits>

/// The state of the core model. It consists of plain bytes without padding, so that equal states have equal keys.
namespace tamarindshift::testing::core_model {

using Byte = std::uint8_t;
using Set = Byte;  // a bit per member

inline constexpr int founders = 3;
inline constexpr int newcomer = 3;
inline constexpr int members = 4;
inline constexpr int maxActions = 5;
inline constexpr int maxViews = 6;

// actions: two orders with the same version and different content, the newcomer's join, leaves of the founders from `leave` on
inline constexpr Byte orderOne = 1;
inline constexpr Byte orderTwo = 2;
inline constexpr Byte join = 3;
inline constexpr Byte leave = 4;

enum class Life : Byte { absent, up, down, lost };
enum class Phase : Byte { nonPrim, exchange, construct, regPrim };

constexpr Set bit(int member) {
  return static_cast<Set>(1 << member);
}
inline bool has(Set set, int member) {
  return set & bit(member);
}
inline int size(Set set) {
  return std::popcount(set);
}

/// `green` green actions, then `yellow` yellow ones in their order, then red ones.
struct Log {
  std::array<Byte, maxActions> entries{};
  Byte length = 0;
  Byte green = 0;
  Byte yellow = 0;
  bool contains(Byte action) const { return std::find(entries.begin(), entries.begin() + length, action) != entries.begin() + length; }
  void append(Byte action) {
    if (!contains(action)) entries[length++] = action;
  }
  void cut(Byte to) {
    for (int index = to; index < length; ++index) entries[index] = 0;
    length = std::min(length, to);
  }
};

/// One member: what its process knows and what its disk holds.
struct Member {
  Life life = Life::absent;
  Phase phase = Phase::nonPrim;
  Byte view = 0;
  Byte joined = 0;
  Log log;
  Byte unsynced = 0;
  Byte received = 0;
  Byte delivered = 0;
  Byte primIndex = 0;
  Set primSet = 0;
  Byte yellowValid = 0;
  Byte vulnerable = 0;
  Set vulnerableSet = 0;
  Byte vulnerablePrim = 0;
  Byte vulnerableView = 0;
};

/// One view, with the messages that were ordered in it.
struct View {
  Set set = 0;
  Set cpcs = 0;
  Byte length = 0;
  std::array<Byte, 3> messages{};
  std::array<Byte, 3> creators{};
};

/// All members and views, and what has been decided and acknowledged.
struct State {
  std::array<Member, members> member{};
  std::array<View, maxViews> view{};
  Byte views = 0;
  Byte crashes = 0;
  Byte disksLost = 0;
  Set lost = 0;
  // the green order as it was first decided; bits of the actions that were acknowledged, confirmed and ordered
  std::array<Byte, maxActions> decided{};
  Byte decidedLength = 0;
  Byte acknowledged = 0;
  Byte confirmed = 0;
  Byte ordered = 0;
};

static_assert(std::has_unique_object_representations_v<State>);

inline std::string key(const State& state) {
  return std::string(reinterpret_cast<const char*>(&state), sizeof(State));
}

/// The members of the group after the green actions of a log.
inline Set groupOf(const Log& log, bool sameAddress, Set lost) {
  Set group = bit(0) | bit(1) | bit(2);
  for (int index = 0; index < log.green; ++index) {
    auto action = log.entries[index];
    if (action == join) {
      group |= bit(newcomer);
      // the join of a newer incarnation removes the earlier one at the same address
      if (sameAddress) group &= static_cast<Set>(~(lost & (bit(0) | bit(1) | bit(2))));
    } else if (action >= leave) {
      group &= static_cast<Set>(~bit(action - leave));
    }
  }
  return group;
}

}  // namespace tamarindshift::testing::core_model
