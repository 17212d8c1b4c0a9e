#pragma once

#include <functional>

#include "base/journal.hpp"

namespace tamarindshift {

class SimulatedJournal : public Journal {
 public:
  SimulatedJournal(std::string name, std::function<void(const std::string&)> sink) : name_(std::move(name)), sink_(std::move(sink)) {}
  void line(const std::string& text) override { sink_(name_ + ": " + text); }

 private:
  std::string name_;
  std::function<void(const std::string&)> sink_;
};

}  // namespace tamarindshift
