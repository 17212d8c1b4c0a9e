#pragma once

#include <vector>

#include "base/setting_kinds.hpp"
#include "scale/scale_addresses.hpp"

namespace tamarindshift {

struct ScaleSettings {
  ScaleAddresses addresses{"127.77", {}};
  std::string part = "run";
  std::string folder = "scale-run";
  std::string output;
  std::string title = "scale";
  Duration window = 10s;
  Duration patience = 60s;
  Duration settle = 5s;
  Duration betweenRegions = 30ms;
  bool events = true;
  bool light = false;
  std::size_t seed = 1;
  std::size_t real = 2;
  std::size_t each = 30;
  std::size_t first = 0;
  std::size_t count = 0;
  std::size_t sessions = 4000;
  std::size_t connections = 480;
  Address control;
};

std::vector<Setting> scaleSettings(ScaleSettings& settings);

}  // namespace tamarindshift
