#include "edge/metrics_door.hpp"
#include "tests/door_asking.hpp"
#include "tests/platform/adapter_programs.hpp"
#include "tests/platform/platform_world.hpp"
#include "tests/schema_check.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;
using Json = nlohmann::json;

namespace {

struct StatusWorld {
  StatusWorld()
      : world(usual(), 1, [](PlatformProcess& process) {
          return adapterProgram(process);
        }) {}
  static PlatformShape usual() {
    PlatformShape shape;
    shape.kinds = {ClientKind{}};
    return shape;
  }
  Json core(const std::string& name) { return seen("ReplicaStatus", dynamic_cast<CoreProgram&>(world.process(name)->program()).control()); }
  Json access(const std::string& name) {
    return seen("PoolerStatus", dynamic_cast<AccessProgram&>(world.process(name)->program()).readiness());
  }
  Json seen(const std::string& body, DoorKeeper& door) {
    auto status = shown(door, "/status", step);
    CHECK(check.faults(body, status) == std::vector<std::string>{});
    return status;
  }
  Json dutyHolder() {
    auto address = core("core-1").at("duty_holder");
    for (const auto* name : {"core-1", "core-2", "core-3"})
      if (auto status = core(name); status.at("address") == address) return status;
    return {};
  }
  static const Json& only(const Json& services) { return *services.at("services").begin(); }
  std::function<void()> step = [this] {
    world.run(10ms);
  };
  PlatformWorld world;
  SchemaCheck check;
};

}  // namespace

TEST_CASE("the doors of the platform show what serves, and every node has a share") {
  StatusWorld trial;
  trial.world.runUntil(15s);
  auto core = trial.dutyHolder();
  CHECK(core.at("engine").at("on_duty") == true);
  CHECK(core.at("lease_ms") > 0);
  const auto& service = StatusWorld::only(core);
  CHECK_FALSE(service.contains("waits"));
  CHECK_FALSE(service.contains("shareless"));
  CHECK_FALSE(service.contains("unused"));
  auto access = trial.access("access-1");
  CHECK(access.at("ready") == true);
  CHECK(access.at("plan_mark") == core.at("plan_mark"));
  const auto& own = StatusWorld::only(access);
  CHECK(own.at("lease_ms") > 0);
  CHECK(own.at("share") > 0);
  CHECK(own.at("primary") == service.at("primary"));
  CHECK(access.at("topics").at("fleet").at("lease_ms") > 0);
}

TEST_CASE("the status of the core says which nodes a move of shares waits for and what is reserved for whom") {
  StatusWorld trial;
  trial.world.runUntil(15s);
  auto lost = trial.world.machine("access-1").internal().get();
  trial.world.losePower("access-1");
  trial.world.run(4s);
  const auto core = trial.dutyHolder();
  const auto& service = StatusWorld::only(core);
  CHECK(service.at("reserved").contains(lost));
  CHECK(service.at("shareless").at(lost) == "silent");
  CHECK(core.at("nodes").at(lost).at("heard_ms_ago") > 2500);
}

TEST_CASE("a node that is cut off says so with its reasons") {
  StatusWorld trial;
  trial.world.runUntil(15s);
  for (const auto& [name, machine] : trial.world.machines())
    if (name != "access-1") trial.world.cut("access-1", name);
  trial.world.run(4s);
  auto access = trial.access("access-1");
  CHECK(access.at("ready") == false);
  CHECK(access.at("cut_off") == true);
  CHECK(access.at("hindrance") == "no news of every service under a lease");
  CHECK(access.at("core_replied_ms_ago") > 3000);
  CHECK(StatusWorld::only(access).at("lease_ms") == 0);
  CHECK(StatusWorld::only(access).at("waits").at(0) == "no current lease");
}

TEST_CASE("while a primary is replaced both doors say that the service waits for it") {
  StatusWorld trial;
  trial.world.runUntil(15s);
  auto* primary = trial.world.primary(1);
  REQUIRE(primary);
  trial.world.dark(*primary, true);
  bool recovering = false;
  bool silent = false;
  for (int round = 0; round < 400 && !(recovering && silent); ++round) {
    trial.world.run(10ms);
    auto access = trial.access("access-2");
    const auto& own = StatusWorld::only(access);
    if (own.contains("waits"))
      for (const auto& reason : own.at("waits")) recovering = recovering || reason == "the primary is being recovered";
    auto core = trial.core("core-1");
    const auto& service = StatusWorld::only(core);
    if (service.contains("unused"))
      for (const auto& [database, reasons] : service.at("unused").items())
        silent = silent || std::find(reasons.begin(), reasons.end(), "silent") != reasons.end();
  }
  CHECK(recovering);
  CHECK(silent);
}

TEST_CASE("metrics and single failures are served beside the status, at both programs") {
  StatusWorld trial;
  trial.world.runUntil(14s);
  auto asked = [&](DoorKeeper& door, const std::string& path) {
    return answered(door.serve(DoorRequest{"GET", path, {}, ConnectionId{7}}), trial.step);
  };
  auto& core = dynamic_cast<CoreProgram&>(trial.world.process("core-1")->program()).control();
  auto& access = dynamic_cast<AccessProgram&>(trial.world.process("access-1")->program()).readiness();
  auto ofCore = asked(core, "/metrics");
  CHECK(ofCore.contentType.starts_with("text/plain"));
  CHECK(ofCore.body.find("tamarindshift_engine_state{state=\"RegPrim\"} 1") != std::string::npos);
  CHECK(ofCore.body.find("tamarindshift_invariant_checks_total{invariant=\"shares-within-branch\"}") != std::string::npos);
  auto ofAccess = asked(access, "/metrics");
  CHECK(ofAccess.body.find("tamarindshift_ready 1") != std::string::npos);
  CHECK(shown(access, "/failures", trial.step).is_array());
  CHECK(shown(access, "/failures/no-such-id", trial.step).empty());
  MetricsDoor scraped([] {
    return std::string{"page"};
  });
  CHECK(asked(scraped, "/metrics").body == "page");
  CHECK(asked(scraped, "/status").status == 404);
}
