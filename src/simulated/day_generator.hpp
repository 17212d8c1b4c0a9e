#pragma once

#include <random>
#include <string>

namespace tamarindshift {

class DayGenerator {
 public:
  DayGenerator(std::uint64_t seed, std::string deployment);
  std::string day();

 private:
  void episode(bool last);
  void at(const std::string& event);
  void wait(std::uint64_t least, std::uint64_t most);
  std::string database();
  std::string machine() { return std::to_string(1 + below(machines_)); }
  std::string replica() { return std::to_string(1 + below(3)); }
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  std::mt19937_64 random_;
  std::string deployment_;
  std::uint64_t services_;
  std::uint64_t machines_;
  std::uint64_t now_ = 1000;
  std::uint64_t mark_ = 1;
  std::string text_;
};

}  // namespace tamarindshift
