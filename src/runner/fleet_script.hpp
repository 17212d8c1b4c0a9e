#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace tamarindshift {

struct FleetEvent {
  Duration at{};
  std::vector<std::string> words;
};

class FleetScript {
 public:
  bool load(const std::string& path);
  const std::vector<FleetEvent>& events() const { return events_; }
  const std::vector<std::vector<std::string>>& expectations() const { return expectations_; }
  Duration until() const { return until_; }
  const std::string& lastReason() const { return reason_; }

 private:
  std::vector<FleetEvent> events_;
  std::vector<std::vector<std::string>> expectations_;
  Duration until_ = 30s;
  std::string reason_;
};

}  // namespace tamarindshift
