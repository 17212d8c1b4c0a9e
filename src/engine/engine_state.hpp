#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace tamarindshift {

enum class EngineState : std::uint8_t {
  regPrim = 0,
  transPrim = 1,
  exchangeStates = 2,
  exchangeActions = 3,
  construct = 4,
  no = 5,
  un = 6,
  nonPrim = 7,
};

inline const char* text(EngineState state) {
  static constexpr const char* names[] = {"RegPrim", "TransPrim", "ExchangeStates", "ExchangeActions", "Construct", "No", "Un", "NonPrim"};
  return names[static_cast<int>(state)];
}

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::EngineState)
