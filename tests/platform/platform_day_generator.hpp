#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace tamarindshift::testing {

// a day as text made of a seed: its shape, its clients and its troubles, one after the other or upon each other
class PlatformDayGenerator {
 public:
  explicit PlatformDayGenerator(std::uint64_t seed) : random_(seed) {}
  std::string day();
  // troubles of access nodes upon changes of primary, cuts and one another
  std::string rejoinDay();

 private:
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
  std::string number(std::uint64_t least, std::uint64_t most) { return std::to_string(least + below(most - least + 1)); }
  std::string lasting(std::uint64_t least, std::uint64_t most) { return " for " + number(least, most) + "ms"; }
  std::string access() { return "access-" + number(1, accessNodes_); }
  std::string core() { return cores_[below(cores_.size())]; }
  std::string service() { return number(1, services_); }
  std::string databases();
  void at(const std::string& event);
  void shape();
  void episode();
  void ofCore();
  void ofAccess();
  void ofDatabases();
  void ofOperators();
  void ofNetwork();
  void change();
  void accessTrouble();
  void replaceCore();

  std::mt19937_64 random_;
  std::string text_;
  std::uint64_t now_ = 11000;
  std::uint64_t zones_ = 3;
  std::uint64_t accessNodes_ = 3;
  std::uint64_t services_ = 2;
  std::vector<std::string> cores_;
  std::size_t lastCore_ = 0;
  // until when the core may lose no other machine
  std::uint64_t coreWholeAt_ = 0;
};

}  // namespace tamarindshift::testing
