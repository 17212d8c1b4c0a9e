#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace tamarindshift {

template <class Value>
class Task;

namespace detail {

struct TaskPromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr failure;

  struct Final {
    bool await_ready() const noexcept { return false; }
    template <class Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> handle) const noexcept {
      auto continuation = handle.promise().continuation;
      return continuation ? continuation : std::noop_coroutine();
    }
    void await_resume() const noexcept {}
  };

  std::suspend_always initial_suspend() const noexcept { return {}; }
  Final final_suspend() const noexcept { return {}; }
  void unhandled_exception() { failure = std::current_exception(); }
};

template <class Value>
struct TaskPromise : TaskPromiseBase {
  std::optional<Value> value;
  Task<Value> get_return_object();
  void return_value(Value returned) { value.emplace(std::move(returned)); }
  Value take() { return std::move(*value); }
};

template <>
struct TaskPromise<void> : TaskPromiseBase {
  Task<void> get_return_object();
  void return_void() const {}
  void take() const {}
};

}  // namespace detail

template <class Value = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::TaskPromise<Value>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiting) noexcept {
    handle_.promise().continuation = awaiting;
    return handle_;
  }
  Value await_resume() {
    if (handle_.promise().failure) std::rethrow_exception(handle_.promise().failure);
    return handle_.promise().take();
  }

  void start() { handle_.resume(); }
  bool done() const { return handle_.done(); }
  std::exception_ptr failure() const { return handle_.promise().failure; }

 private:
  Handle handle_;
};

namespace detail {

template <class Value>
Task<Value> TaskPromise<Value>::get_return_object() {
  return Task<Value>{std::coroutine_handle<TaskPromise<Value>>::from_promise(*this)};
}

inline Task<void> TaskPromise<void>::get_return_object() {
  return Task<void>{std::coroutine_handle<TaskPromise<void>>::from_promise(*this)};
}

}  // namespace detail

}  // namespace tamarindshift
