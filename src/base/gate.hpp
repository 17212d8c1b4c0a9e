#pragma once

#include <coroutine>
#include <list>
#include <optional>

#include "base/clock.hpp"

namespace tamarindshift {

class Gate {
 public:
  class Wait {
   public:
    Wait(Gate* gate, Clock& clock, std::optional<Instant> deadline) : gate_(gate), clock_(clock), deadline_(deadline) {}
    Wait(const Wait&) = delete;
    ~Wait();
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle);
    bool await_resume() const noexcept { return opened_; }

   private:
    friend class Gate;
    void wake(bool opened);
    Gate* gate_;
    Clock& clock_;
    std::optional<Instant> deadline_;
    std::optional<TimerId> timer_;
    std::coroutine_handle<> handle_;
    std::list<Wait*>::iterator place_;
    bool listed_ = false;
    bool opened_ = false;
  };

  Gate() = default;
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  ~Gate();
  Wait wait(Clock& clock, std::optional<Instant> deadline = std::nullopt) { return Wait{this, clock, deadline}; }
  void open();

 private:
  std::list<Wait*> waits_;
};

inline Gate::Wait sleep(Clock& clock, Duration duration) {
  return Gate::Wait{nullptr, clock, clock.now() + duration};
}

}  // namespace tamarindshift
