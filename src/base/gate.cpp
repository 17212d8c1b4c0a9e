#include "base/gate.hpp"

#include <algorithm>

namespace tamarindshift {

Gate::Wait::~Wait() {
  if (listed_) gate_->waits_.erase(place_);
  if (timer_) clock_.cancel(*timer_);
}

void Gate::Wait::await_suspend(std::coroutine_handle<> handle) {
  handle_ = handle;
  if (gate_) {
    place_ = gate_->waits_.insert(gate_->waits_.end(), this);
    listed_ = true;
  }
  if (deadline_)
    timer_ = clock_.after(std::max(Duration::zero(), *deadline_ - clock_.now()), [this] {
      wake(false);
    });
}

void Gate::Wait::wake(bool opened) {
  if (listed_) gate_->waits_.erase(place_);
  listed_ = false;
  timer_.reset();
  opened_ = opened;
  handle_.resume();
}

Gate::~Gate() {
  for (auto* wait : waits_) wait->listed_ = false;
}

void Gate::open() {
  for (auto* wait : waits_) {
    wait->listed_ = false;
    if (wait->timer_) wait->clock_.cancel(*wait->timer_);
    wait->timer_ = wait->clock_.after(Duration::zero(), [wait] {
      wait->wake(true);
    });
  }
  waits_.clear();
}

}  // namespace tamarindshift
