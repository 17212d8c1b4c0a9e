#pragma once

#include <array>
#include <deque>
#include <memory>

#include "base/address.hpp"
#include "base/gate.hpp"

namespace tamarindshift {

enum class LineEvent { bytes, finish, reset };

struct SimulatedLine {
  struct Chunk {
    LineEvent event = LineEvent::bytes;
    std::string bytes;
    Instant due{};
  };
  struct End {
    Address own;
    std::string arrived;
    std::size_t searched = 0;
    bool open = true;
    bool finished = false;
    bool vanished = false;
    std::deque<Chunk> underway;
    bool delivering = false;
    Instant lastArrival{};
    Instant darkSince = Instant::max();
    std::shared_ptr<Gate> gate = std::make_shared<Gate>();
  };
  std::array<End, 2> ends;
};

}  // namespace tamarindshift
