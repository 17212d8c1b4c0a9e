#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "base/journal.hpp"

namespace tamarindshift {

class SimulatedJournal : public Journal {
 public:
  SimulatedJournal(std::string name, std::function<void(const std::string&)> sink) : name_(std::move(name)), sink_(std::move(sink)) {}
  void line(const std::string& text) override { sink_(name_ + ": " + text); }

  /// The violated invariants of all simulated programs since the last call. Every runner of simulated programs takes
  /// them after each run and fails where there are any.
  static std::vector<std::string> takeViolations() { return std::exchange(violations_, {}); }

 protected:
  void tellViolation(const std::string& text) override {
    violations_.push_back(name_ + ": " + text);
    line(text);
  }

 private:
  inline static std::vector<std::string> violations_;
  std::string name_;
  std::function<void(const std::string&)> sink_;
};

}  // namespace tamarindshift
