#include <catch2/catch.hpp>

#include <random>

#include "control/report_tables.hpp"
#include "updates/report_tracker.hpp"

using namespace tamarindshift;

namespace {

const Address replica{"10.0.0.1:1"};
const Address otherReplica{"10.0.0.2:1"};

NodeReport reportOf(std::uint64_t boot, const std::map<std::string, std::uint64_t>& followed) {
  NodeReport report;
  report.node = Address{"10.1.0.1:1"};
  report.boot = boot;
  for (const auto& [service, mark] : followed) report.services[ServiceName{service}].appliedPosition = mark;
  return report;
}

}  // namespace

TEST_CASE("report tracker: a replica gets the whole report once and then what changed since the last message") {
  ReportTracker tracker(20s);
  Instant now{};
  REQUIRE(tracker.record(reportOf(7, {{"s1", 1}, {"s2", 1}})));
  auto first = unpacked<NodeReport>(tracker.nextMessage(replica, now));
  CHECK(first->full);
  CHECK(first->services.size() == 2);
  REQUIRE(tracker.record(reportOf(7, {{"s1", 1}, {"s2", 1}})));
  auto quiet = unpacked<NodeReport>(tracker.nextMessage(replica, now));
  CHECK_FALSE(quiet->full);
  CHECK(quiet->services.empty());
  REQUIRE(tracker.record(reportOf(7, {{"s1", 1}, {"s2", 5}})));
  REQUIRE(tracker.record(reportOf(7, {{"s1", 1}, {"s2", 5}})));
  auto changed = unpacked<NodeReport>(tracker.nextMessage(replica, now));
  CHECK(changed->baseNumber == quiet->number);
  CHECK(changed->services.size() == 1);
  CHECK(changed->services.at(ServiceName{"s2"}).appliedPosition == 5);
  CHECK(unpacked<NodeReport>(tracker.nextMessage(otherReplica, now))->full);
  CHECK(unpacked<NodeReport>(tracker.nextMessage(replica, now + 21s))->full);
}

TEST_CASE("report tracker: the report after a restart, or with a service removed, is sent whole") {
  ReportTracker tracker(20s);
  Instant now{};
  REQUIRE(tracker.record(reportOf(7, {{"s1", 1}, {"s2", 1}})));
  tracker.nextMessage(replica, now);
  REQUIRE(tracker.record(reportOf(8, {{"s1", 1}, {"s2", 1}})));
  CHECK(unpacked<NodeReport>(tracker.nextMessage(replica, now))->full);
  REQUIRE(tracker.record(reportOf(8, {{"s1", 1}})));
  auto fewer = unpacked<NodeReport>(tracker.nextMessage(replica, now));
  CHECK(fewer->full);
  CHECK(fewer->services.size() == 1);
  auto partial = reportOf(9, {});
  partial.full = false;
  CHECK_FALSE(tracker.record(partial));
}

TEST_CASE("report tracker: a replica that missed a report or restarted asks for a whole one and has the node's last state") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto below = [&](unsigned bound) {
      return static_cast<unsigned>(random() % bound);
    };
    ReportTracker tracker(20s);
    auto access = std::make_unique<ReportTables>();
    Instant now{};
    std::uint64_t boot = 1;
    for (int step = 0; step < 200; ++step) {
      now += 50ms;
      if (below(40) == 0) ++boot;
      if (below(40) == 0) access = std::make_unique<ReportTables>();
      std::map<std::string, std::uint64_t> followed;
      for (unsigned service = 0; service < 4; ++service)
        if (below(20) != 0) followed["s" + std::to_string(service)] = below(3);
      REQUIRE(tracker.record(reportOf(boot, followed)));
      auto bytes = tracker.nextMessage(replica, now);
      if (below(10) == 0) continue;
      auto report = *unpacked<NodeReport>(bytes);
      if (access->lacksBase(report)) {
        access->recordReport(report, now);
        tracker.sendWholeNext(replica);
        report = *unpacked<NodeReport>(tracker.nextMessage(replica, now));
        CHECK(report.full);
      }
      CHECK_FALSE(access->lacksBase(report));
      access->recordReport(report, now);
      const auto& held = access->nodes().at(report.node);
      CHECK(held.lastContact == now);
      CHECK(held.report.boot == boot);
      CHECK(held.report.services.size() == followed.size());
      for (const auto& [service, mark] : followed) CHECK(held.report.services.at(ServiceName{service}).appliedPosition == mark);
    }
  }
}
