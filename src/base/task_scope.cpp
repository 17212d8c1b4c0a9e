#include "base/task_scope.hpp"

#include <algorithm>

namespace tamarindshift {

void TaskScope::spawn(Task<void> task) {
  if (tasks_.size() >= sweepAt_) sweep();
  tasks_.push_back(std::move(task));
  tasks_.back().start();
}

void TaskScope::sweep() {
  for (auto& task : tasks_)
    if (task.done() && task.failure()) std::rethrow_exception(task.failure());
  tasks_.remove_if([](const Task<void>& task) {
    return task.done();
  });
  sweepAt_ = std::max<std::size_t>(16, tasks_.size() * 2);
}

}  // namespace tamarindshift
