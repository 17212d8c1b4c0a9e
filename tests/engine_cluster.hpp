#pragma once

#include <map>
#include <memory>

#include "engine/replication_engine.hpp"
#include "group/sequenced_group.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"

namespace tamarindshift::testing {

struct QuietJournal : Journal {
  void line(const std::string& text) override { lines.push_back(text); }
  std::vector<std::string> lines;
};

struct ListApplication : Application {
  std::vector<std::string> applied;
  std::string applyGreen(const Action& action, std::uint64_t) override {
    applied.push_back(action.update);
    return action.update;
  }
  std::string snapshot() const override { return packed(applied); }
  bool restore(const std::string& snapshot) override {
    auto restored = unpacked<std::vector<std::string>>(snapshot);
    if (restored) applied = *restored;
    return restored.has_value();
  }
};

}  // namespace tamarindshift::testing
