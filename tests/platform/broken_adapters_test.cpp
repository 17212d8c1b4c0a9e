#include <catch2/catch.hpp>

#include <sstream>

#include "tests/platform/adapter_programs.hpp"
#include "tests/platform/broken_adapters.hpp"
#include "tests/platform/platform_script.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

const std::string usual =
    "shape zones=3 access=3 core=3 services=2\n"
    "kind class=primary sessions=4\n"
    "kind class=bounded_staleness staleness=50ms sessions=3 single=1 one-id=1 writes=0 transactions=100\n"
    "kind class=in_house staleness=2500ms sessions=3\n";

std::set<std::string> broken(const std::string& text, PlatformWorld::ProgramFactory factory, std::uint64_t seeds = 1) {
  std::istringstream stream(usual + text);
  PlatformScript script;
  if (!script.read(stream)) return {script.lastReason()};
  std::set<std::string> rules;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    for (const auto& fault : script.run(seed, factory)) {
      UNSCOPED_INFO(fault);
      rules.insert(fault.substr(0, fault.find(':')));
    }
  return rules;
}

std::set<std::string> broken(const std::string& text, AdapterWraps wraps = {}) {
  return broken(text, [wraps](PlatformProcess& process) {
    return adapterProgram(process, wraps);
  });
}

std::set<std::string> brokenBy(BackEndRun run, const std::string& text = "until 14s\n") {
  return broken(text, runsOtherwise(run));
}

// what the core says reaches no access node any more, and nothing of its own reaches the first primary of service 1
std::string unheard() {
  std::ostringstream cuts;
  for (const auto* core : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    for (const auto* other : {"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.2.1.1"}) cuts << "at 13s cut " << core << " " << other << "\n";
  for (const auto* other : {"10.2.1.2", "10.2.1.3"}) cuts << "at 13s cut 10.2.1.1 " << other << "\n";
  cuts << "until 26s\nexpect served 0.9 from 10s until 13s\n";
  return cuts.str();
}

}  // namespace

TEST_CASE("UNASKED speaks when a statement is changed on its way") {
  CHECK(brokenBy([](BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline) {
          if (statement.kind == StatementKind::read) statement.text += "x";
          return own.run(std::move(statement), after, deadline);
        }).contains("UNASKED"));
}

TEST_CASE("TWICE speaks when a write is sent again") {
  CHECK(brokenBy([](BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline) -> Task<BackEndReply> {
          auto again = statement;
          auto reply = co_await own.run(std::move(statement), after, deadline);
          if (again.kind != StatementKind::write || reply.outcome != BackEndOutcome::replied) co_return reply;
          co_return co_await own.run(std::move(again), after, deadline);
        }).contains("TWICE"));
}

TEST_CASE("MIXED speaks when rows are changed") {
  CHECK(brokenBy([](BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline) -> Task<BackEndReply> {
          auto reply = co_await own.run(std::move(statement), after, deadline);
          for (auto& row : reply.rows) row += "!";
          co_return reply;
        }).contains("MIXED"));
}

TEST_CASE("PINNED speaks when session values are not set") {
  CHECK(brokenBy([](BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline) -> Task<BackEndReply> {
          if (statement.kind != StatementKind::set) co_return co_await own.run(std::move(statement), after, deadline);
          BackEndReply reply;
          reply.outcome = BackEndOutcome::replied;
          reply.stamp = "-";
          co_return reply;
        }).contains("PINNED"));
}

TEST_CASE("REFUSED speaks when a commit that was kept is told as aborted") {
  CHECK(brokenBy([](BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline) -> Task<BackEndReply> {
          bool commits = statement.kind == StatementKind::commit;
          auto reply = co_await own.run(std::move(statement), after, deadline);
          if (commits && reply.fault == StatementFault::none) reply.fault = StatementFault::aborted;
          co_return reply;
        }).contains("REFUSED"));
}

TEST_CASE("STALE speaks when AFTER is left out") {
  const std::string lagging = "shape lag=300ms\nuntil 16s\nexpect served 0.9 from 10s until 16s\n";
  CHECK(broken(lagging).empty());
  CHECK(brokenBy(
            [](BackEndConnection& own, Statement statement, std::optional<LogPosition>, Instant deadline) {
              return own.run(std::move(statement), std::nullopt, deadline);
            },
            lagging)
            .contains("STALE"));
}

TEST_CASE("ROUTE speaks when statements go to another service") {
  CHECK(broken("until 14s\n", sendsToAnotherService()).contains("ROUTE"));
}

TEST_CASE("DRAIN speaks when leaves are ignored") {
  const std::string leaves = "shape databases=2\nat 11s release replica 1\nuntil 24s\nexpect served 0.9 from 10s until 24s\n";
  CHECK(broken(leaves).empty());
  CHECK(broken(leaves, ignoresLeaves()).contains("DRAIN"));
}

TEST_CASE("CONFIG speaks when a configuration is acknowledged and not followed, or an invalid one is acknowledged") {
  CHECK(broken("at 11s configure remove\nuntil 18s\n", keepsFirstConfiguration()).contains("CONFIG"));
  CHECK(broken("at 11s bad-configuration\nuntil 14s\n", acknowledgesAnything()).contains("CONFIG"));
}

TEST_CASE("ONE speaks when no lease is checked, and leases keep it") {
  CHECK(broken(unheard()).empty());
  CHECK(broken(unheard(), [](PlatformProcess& process) {
          return adapterProgram(process, checksNoLease(process.clock()));
        }).contains("ONE"));
}

TEST_CASE("LOST speaks when a process ends at SIGTERM, and drains keep it") {
  const std::string stops =
      "kind class=primary sessions=20 pause=20ms step=30ms\nat 12s terminate access-2\nat 14s terminate access-3\nuntil 22s\nexpect served "
      "0.9 from 10s until 20s\n";
  AdapterWraps wraps;
  wraps.stopsAtOnce = true;
  CHECK(broken(stops).empty());
  // what is lost is a run that ended just before the process, so not every seed has one
  CHECK(broken(
            stops,
            [wraps](PlatformProcess& process) {
              return adapterProgram(process, wraps);
            },
            12)
            .contains("LOST"));
}

TEST_CASE("LOST speaks when a database that lacks acknowledged commits is promoted") {
  const std::string crash =
      "shape sync=1\nat 11s receive-nothing replica 1 for 20s\nat 15s crash primary 1\nuntil 26s\nexpect served 0.8 from 10s until 26s\n";
  CHECK(broken(crash).empty());
  CHECK(broken(crash, promotesTheEmptiest()).contains("LOST"));
}

TEST_CASE("LOST and RECOVER speak when the core keeps nothing on its disks") {
  const std::string fault = "at 13s after-ack closing-fault power 0 for 1500ms\nuntil 38s\nexpect served 0.9 from 27s until 38s\n";
  CHECK(broken(fault).empty());
  auto rules = broken(fault, [](PlatformProcess& process) {
    return adapterProgram(process, keepsNothing(process.clock()));
  });
  CHECK((rules.contains("LOST") || rules.contains("CONFIG")));
  CHECK(rules.contains("RECOVER"));
}

TEST_CASE("DUTY speaks when the fence falls") {
  CHECK(broken("at 11s crash primary 1 for 3s\nat 20s crash primary 1 for 3s\nuntil 30s\n", lowersItsFence()).contains("DUTY"));
}
