#pragma once

#include <coroutine>
#include <functional>
#include <memory>
#include <optional>
#include <tuple>

namespace tamarindshift {

template <class... Values>
class Completion {
 public:
  template <class Initiate>
  explicit Completion(Initiate initiate) : state_(std::make_shared<State>()) {
    start_ = [state = state_, initiate = std::move(initiate)]() mutable {
      initiate([state](Values... values) {
        if (state->dropped) return;
        state->values.emplace(std::move(values)...);
        if (state->handle) state->handle.resume();
      });
    };
  }
  Completion(const Completion&) = delete;
  ~Completion() { state_->dropped = true; }
  bool await_ready() const noexcept { return false; }
  bool await_suspend(std::coroutine_handle<> handle) {
    start_();
    if (state_->values) return false;
    state_->handle = handle;
    return true;
  }
  std::tuple<Values...> await_resume() { return std::move(*state_->values); }

 private:
  struct State {
    std::coroutine_handle<> handle;
    std::optional<std::tuple<Values...>> values;
    bool dropped = false;
  };
  std::shared_ptr<State> state_;
  std::function<void()> start_;
};

}  // namespace tamarindshift
