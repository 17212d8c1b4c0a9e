#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct ReportTrial : PoolerTrial {
  bool reported(std::uint64_t epoch) const { return serviceReport().epoch == Epoch{epoch}; }
  // runs until just after the next report
  void runToReport() {
    auto count = reports.size();
    REQUIRE(runUntil(600ms, [&] {
      return reports.size() > count;
    }));
  }
};

}  // namespace

TEST_CASE("pooler reports: a change just after a report is reported soon too", "[pooler][mended]") {
  ReportTrial trial;
  trial.runToReport();
  trial.publishPrimary(2, "d2", false);
  CHECK(trial.runUntil(60ms, [&] {
    return trial.reported(2);
  }));
}

TEST_CASE("pooler reports: a planned change is reported soon after the last work has finished", "[pooler][mended]") {
  auto work = GENERATE(range(100, 400, 20));
  ReportTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = std::chrono::milliseconds{work};
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false, true);
  CHECK(alice->finish(asked) == "OK");
  INFO("work of " << work << " ms");
  CHECK(trial.runUntil(60ms, [&] {
    return trial.reported(2);
  }));
}

TEST_CASE("pooler reports: an unplanned change is reported as soon as running work has been closed", "[pooler][mended]") {
  ReportTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = 900ms;
  trial.runToReport();
  auto asked = alice->start("WRITE a 1");
  trial.run(100ms);
  trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(asked) == "UNRESOLVED");
  CHECK(trial.runUntil(60ms, [&] {
    return trial.reported(2);
  }));
}
