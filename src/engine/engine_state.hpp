#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace tamarindshift {

/// States of the replication algorithm, named as in its paper. The numbers are part of the stored format.
enum class EngineState : std::uint8_t {
  /// In the primary component: actions become green at once.
  regPrim = 0,
  /// The primary component's view ends: actions become yellow.
  transPrim = 1,
  /// A new configuration: waiting for the state messages of its members.
  exchangeStates = 2,
  /// The members send each other the actions that some of them lack.
  exchangeActions = 3,
  /// There is a quorum: waiting for the CPC messages of all members.
  construct = 4,
  /// The view ended before all CPC messages arrived: this member knows that no primary component was installed.
  no = 5,
  /// The view ended after all CPC messages arrived: others may have installed the primary component.
  un = 6,
  /// Outside of a primary component: actions stay red.
  nonPrim = 7,
};

/// The state's name in the paper.
inline const char* text(EngineState state) {
  static constexpr const char* names[] = {"RegPrim", "TransPrim", "ExchangeStates", "ExchangeActions", "Construct", "No", "Un", "NonPrim"};
  return names[static_cast<int>(state)];
}

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::EngineState)
