#pragma once

#include <istream>

#include "tests/platform/platform_world.hpp"

namespace tamarindshift::testing {

// a day as text: lines `shape`, `kind`, `at TIME EVENT ...`, `until TIME`, `expect no-overload` and
// `expect served SHARE from TIME until TIME`, where `of NUMBER` may follow for one kind, by its place from 0
class PlatformScript {
 public:
  bool read(std::istream& text);
  const std::string& lastReason() const { return reason_; }
  // what broke
  std::vector<std::string> run(std::uint64_t seed, PlatformWorld::ProgramFactory factory);
  const PlatformShape& shape() const { return shape_; }
  // of the last run
  const std::vector<std::string>& lines() const { return lines_; }
  const std::string& summary() const { return summary_; }

 private:
  using Words = std::vector<std::string>;
  struct Event {
    Duration at{};
    Words words;
  };
  struct Expectation {
    double share = 0;
    Duration from{};
    Duration until{};
    std::optional<std::size_t> kind;
  };
  bool readLine(const Words& words);
  bool readShape(const Words& words);
  bool readKind(const Words& words);
  bool fail(const std::string& reason);
  PlatformShape shape_;
  std::vector<Event> events_;
  std::vector<Expectation> expectations_;
  bool noOverload_ = false;
  Duration until_ = 34s;
  std::string reason_;
  std::vector<std::string> lines_;
  std::string summary_;
};

}  // namespace tamarindshift::testing
