#pragma once

#include <cstddef>
#include <list>

#include "base/task.hpp"

namespace tamarindshift {

class TaskScope {
 public:
  TaskScope() = default;
  TaskScope(const TaskScope&) = delete;
  TaskScope& operator=(const TaskScope&) = delete;
  void spawn(Task<void> task);
  void clear() { tasks_.clear(); }

 private:
  void sweep();
  std::list<Task<void>> tasks_;
  std::size_t sweepAt_ = 16;
};

}  // namespace tamarindshift
