#include "runner/fleet_script.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/duration_text.hpp"

namespace tamarindshift {

bool FleetScript::load(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    reason_ = "cannot read " + path;
    return false;
  }
  std::size_t line = 0;
  for (std::string text; std::getline(file, text);) {
    ++line;
    std::istringstream stream(text.substr(0, text.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (words.empty()) continue;
    auto at = words.size() > 1 ? durationText(words[1]) : std::nullopt;
    if (words[0] == "at" && words.size() > 2 && at)
      events_.push_back(FleetEvent{*at, {words.begin() + 2, words.end()}});
    else if (words[0] == "until" && at)
      until_ = *at;
    else if (words[0] == "expect" && words.size() > 2)
      expectations_.push_back({words.begin() + 1, words.end()});
    else {
      reason_ = path + ":" + std::to_string(line) + ": not understood";
      return false;
    }
  }
  std::stable_sort(events_.begin(), events_.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  return true;
}

}  // namespace tamarindshift
