#pragma once

#include <vector>

#include "tests/platform/wire_log_entry.hpp"

namespace tamarindshift::testing {

class WireLog {
 public:
  std::uint64_t size() const { return entries_.size(); }
  WirePosition end(std::uint64_t size) const { return size == 0 ? WirePosition{1, 0} : entries_[size - 1].position; }
  bool has(const WirePosition& position, std::uint64_t within) const;
  void append(WireLogEntry entry);
  std::uint64_t commonWith(const WireLog& other) const;
  void cutBack(std::uint64_t size);
  const WireLogEntry& entry(std::uint64_t number) const { return entries_[number - 1]; }
  std::string read(const std::string& thing, std::uint64_t within) const;

 private:
  std::vector<WireLogEntry> entries_;
  std::map<std::string, std::vector<std::uint64_t>> writers_;
};

}  // namespace tamarindshift::testing
