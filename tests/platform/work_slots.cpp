#include "tests/platform/work_slots.hpp"

namespace tamarindshift::testing {

Task<WorkSlots::Held> WorkSlots::take() {
  if (busy_ < slots_) {
    ++busy_;
    co_return Held{this};
  }
  if (waiting_.size() >= queue_) co_return Held{nullptr};
  auto gate = std::make_shared<Gate>();
  waiting_.push_back(gate);
  co_await gate->wait(clock_);
  co_return Held{this};
}

void WorkSlots::release() {
  if (waiting_.empty()) {
    --busy_;
    return;
  }
  auto next = std::move(waiting_.front());
  waiting_.pop_front();
  next->open();
}

}  // namespace tamarindshift::testing
