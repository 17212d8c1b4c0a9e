#pragma once

#include <deque>
#include <memory>

#include "base/gate.hpp"
#include "base/task.hpp"

namespace tamarindshift::testing {

class WorkSlots {
 public:
  class Held {
   public:
    explicit Held(WorkSlots* slots) : slots_(slots) {}
    Held(Held&& other) noexcept : slots_(std::exchange(other.slots_, nullptr)) {}
    Held& operator=(Held&&) = delete;
    ~Held() {
      if (slots_) slots_->release();
    }
    explicit operator bool() const { return slots_ != nullptr; }

   private:
    WorkSlots* slots_;
  };

  WorkSlots(Clock& clock, std::size_t slots, std::size_t queue) : clock_(clock), slots_(slots), queue_(queue) {}
  // nothing held where too many wait already
  Task<Held> take();
  std::size_t busy() const { return busy_; }

 private:
  void release();
  Clock& clock_;
  std::size_t slots_;
  std::size_t queue_;
  std::size_t busy_ = 0;
  std::deque<std::shared_ptr<Gate>> waiting_;
};

}  // namespace tamarindshift::testing
