#pragma once

#include <deque>
#include <utility>

#include "base/gate.hpp"
#include "base/task.hpp"

namespace tamarindshift {

template <class Command>
class Queue {
 public:
  void put(Command command) {
    commands_.push_back(std::move(command));
    gate_.open();
  }
  Task<Command> take(Clock& clock) {
    while (commands_.empty()) co_await gate_.wait(clock);
    Command command = std::move(commands_.front());
    commands_.pop_front();
    co_return command;
  }

 private:
  std::deque<Command> commands_;
  Gate gate_;
};

}  // namespace tamarindshift
