#include "tests/platform/wire_log.hpp"

#include <algorithm>

namespace tamarindshift::testing {

bool WireLog::has(const WirePosition& position, std::uint64_t within) const {
  if (position.number == 0) return true;
  return position.number <= std::min(within, size()) && entry(position.number).position.term == position.term;
}

void WireLog::append(WireLogEntry entry) {
  for (const auto& [thing, data] : entry.writes) writers_[thing].push_back(size() + 1);
  entries_.push_back(std::move(entry));
}

std::uint64_t WireLog::commonWith(const WireLog& other) const {
  auto common = std::min(size(), other.size());
  while (common > 0 && entry(common).position != other.entry(common).position) --common;
  return common;
}

void WireLog::cutBack(std::uint64_t size) {
  while (entries_.size() > size) {
    for (const auto& [thing, data] : entries_.back().writes) writers_[thing].pop_back();
    entries_.pop_back();
  }
}

std::string WireLog::read(const std::string& thing, std::uint64_t within) const {
  auto found = writers_.find(thing);
  if (found == writers_.end()) return "none";
  auto after = std::upper_bound(found->second.begin(), found->second.end(), within);
  if (after == found->second.begin()) return "none";
  return entry(*std::prev(after)).writes.at(thing);
}

}  // namespace tamarindshift::testing
