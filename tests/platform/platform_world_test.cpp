#include <catch2/catch.hpp>

#include <sstream>

#include "tests/platform/platform_script.hpp"
#include "tests/platform/straight_program.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

const std::string usual =
    "shape zones=3 access=3 core=3 services=2\n"
    "kind class=primary sessions=4\n"
    "kind class=bounded_staleness staleness=1500ms sessions=3 single=1 one-id=1 writes=0 transactions=100\n"
    "kind class=in_house staleness=2500ms sessions=3\n";

std::vector<std::string> play(const std::string& text, std::uint64_t seed = 1) {
  std::istringstream stream(text);
  PlatformScript script;
  if (!script.read(stream)) return {script.lastReason()};
  StraightKnowledge knowledge;
  auto faults = script.run(seed, [&](PlatformProcess& process) {
    return std::make_unique<StraightProgram>(process, knowledge);
  });
  for (const auto& fault : faults) UNSCOPED_INFO(fault);
  return faults;
}

bool broke(const std::vector<std::string>& faults, const std::string& rule) {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    return fault.starts_with(rule);
  });
}

}  // namespace

TEST_CASE("a quiet day with configurations is served by straight poolers without a broken rule") {
  CHECK(play(usual +
             "at 12s configure timeout\nat 14s configure add\nat 15s bad-configuration\nat 16s send-older\nat 17s configure idle second\n"
             "until 30s\nexpect served 0.98 from 11s until 30s\n")
            .empty());
}

TEST_CASE("a crashed primary is replaced and served again") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    CHECK(play(usual + "at 14s crash primary 1 for 8s\nuntil 34s\nexpect served 0.95 from 26s until 34s\n", seed).empty());
}

TEST_CASE("databases are replaced one after the other and nothing reaches those that left") {
  CHECK(play(usual + "at 12s release replica 1\nat 24s release primary 2\nuntil 44s\nexpect served 0.95 from 11s until 44s\n").empty());
}

TEST_CASE("nodes are stopped in turn, lose their power and are cut off") {
  CHECK(play(usual + "at 12s terminate access-1\nat 16s kill access-2\nat 20s power-off access-3 for 3s\nat 26s reset access-1 500\nat 28s "
                     "cut access-1 10.2.1.1 for 3s\n"
                     "at 30s freeze access-2 for 1s\nat 32s slow access-3 20ms for 2s\nat 33s add-access\nuntil 40s\nexpect served 0.9 "
                     "from 36s until 40s\n")
            .empty());
}

TEST_CASE("a primary cut off from all but its clients goes on, and straight poolers that do not end its transactions break ONE") {
  std::string cuts;
  for (const auto* other : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.2.1.2", "10.2.1.3"})
    cuts += std::string("at 14s cut 10.2.1.1 ") + other + "\n";
  CHECK(broke(play(usual + "kind class=primary sessions=6 step=200ms deadline=8s\n" + cuts + "until 30s\n"), "ONE"));
}

TEST_CASE("after a closing fault a configuration that was kept in memory only is lost") {
  std::istringstream stream(usual + "at 20s closing-fault power 1 for 1500ms\nuntil 45s\n");
  PlatformScript script;
  REQUIRE(script.read(stream));
  std::unique_ptr<StraightKnowledge> knowledge = std::make_unique<StraightKnowledge>();
  auto faults = script.run(1, [&](PlatformProcess& process) {
    if (process.machine().lives > 1) {
      auto kept = *knowledge;
      *knowledge = StraightKnowledge{};
      knowledge->databases = kept.databases;
      knowledge->primaries = kept.primaries;
    }
    return std::make_unique<StraightProgram>(process, *knowledge);
  });
  CHECK(broke(faults, "CONFIG"));
}

TEST_CASE("a script says what it does not understand") {
  CHECK(play("shape bananas=3\n").front().find("line 1") != std::string::npos);
  CHECK(play(usual + "at 11s sing access-1\nuntil 11s\n").front().find("no such event") != std::string::npos);
}
