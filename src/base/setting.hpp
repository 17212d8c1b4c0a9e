#pragma once

#include <functional>
#include <optional>
#include <string>

namespace tamarindshift {

struct Setting {
  std::string key;
  std::string meaning;
  std::string standard;
  bool required = false;
  std::function<std::optional<std::string>(const std::string&)> take;
  bool reread = false;
};

inline Setting reread(Setting setting) {
  setting.reread = true;
  return setting;
}

}  // namespace tamarindshift
