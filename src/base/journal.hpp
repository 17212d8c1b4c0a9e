#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tamarindshift {

class Journal {
 public:
  virtual ~Journal() = default;
  virtual void line(const std::string& text) = 0;
  void count(const std::string& name, std::uint64_t amount = 1) { counters_[name] += amount; }
  const std::map<std::string, std::uint64_t>& counters() const { return counters_; }

 private:
  std::map<std::string, std::uint64_t> counters_;
};

}  // namespace tamarindshift
