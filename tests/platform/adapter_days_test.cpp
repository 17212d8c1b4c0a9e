#include <catch2/catch.hpp>

#include "tests/platform/adapter_programs.hpp"
#include "tests/platform/platform_world.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

PlatformShape usual() {
  PlatformShape shape;
  shape.services = 2;
  ClientKind kind;
  shape.kinds = {kind};
  return shape;
}

ViewId viewOf(PlatformWorld& world, const std::string& name) {
  return dynamic_cast<CoreProgram&>(world.process(name)->program()).replica().group().view();
}

}  // namespace

TEST_CASE("a complete group stays in the view it formed, also where heartbeats take long") {
  auto delay = GENERATE(Duration{500}, Duration{5ms}, Duration{20ms});
  CAPTURE(delay.count());
  PlatformWorld world(usual(), 1, [](PlatformProcess& process) {
    return adapterProgram(process);
  });
  world.network().delay(delay);
  world.runUntil(3s);
  auto formed = viewOf(world, "core-1");
  for (const auto* name : {"core-2", "core-3"}) CHECK(viewOf(world, name) == formed);
  world.runUntil(20s);
  for (const auto* name : {"core-1", "core-2", "core-3"}) CHECK(viewOf(world, name) == formed);
}

TEST_CASE("a killed member that comes back costs two views and not views without end") {
  PlatformWorld world(usual(), 1, [](PlatformProcess& process) {
    return adapterProgram(process);
  });
  world.runUntil(5s);
  auto before = viewOf(world, "core-1");
  world.killProcess("core-3");
  world.runUntil(9s);
  auto after = viewOf(world, "core-1");
  CHECK(after.counter - before.counter <= 4);
  world.runUntil(20s);
  CHECK(viewOf(world, "core-1") == after);
}

TEST_CASE("a replaced member is let go through the log and its vote with it") {
  PlatformWorld world(usual(), 1, [](PlatformProcess& process) {
    return adapterProgram(process);
  });
  world.runUntil(5s);
  world.replaceCore("core-2", false, 2s);
  world.runUntil(12s);
  auto& engine = dynamic_cast<CoreProgram&>(world.process("core-1")->program()).replica().engine();
  CHECK(engine.members().size() == 3);
  for (const auto& member : engine.members()) CHECK(member.address != world.machine("core-2").internal());
}

TEST_CASE("where only databases that leave are there, a service waits and is not given to one after the other") {
  auto shape = usual();
  shape.services = 1;
  PlatformWorld world(shape, GENERATE(1, 2, 3), [](PlatformProcess& process) {
    return adapterProgram(process);
  });
  world.runUntil(12s);
  auto replicas = world.replicas(1);
  REQUIRE(replicas.size() == 2);
  replicas.front()->crash();
  world.runUntil(19s);
  world.release(*replicas.back());
  world.release(*world.primary(1));
  world.runUntil(22s);
  auto& state = dynamic_cast<CoreProgram&>(world.process("core-1")->program()).replica().state();
  CHECK(state.services().begin()->second.epoch <= Epoch{3});
  replicas.front()->start();
  world.runUntil(25s);
  CHECK(state.services().begin()->second.promoted);
  CHECK(state.services().begin()->second.primary.get() == replicas.front()->settings().id);
}

TEST_CASE("a promotion is seen soon, also where the new primary tells it to a dead core machine first") {
  auto shape = usual();
  shape.services = 1;
  PlatformWorld world(shape, GENERATE(1, 2, 3, 4, 5, 6, 7, 8), [](PlatformProcess& process) {
    return adapterProgram(process);
  });
  world.runUntil(12s);
  auto promotions = world.history().promotions.size();
  world.primary(1)->crash();
  world.losePower("core-2");
  world.losePower("core-3");
  world.startMachine("core-3");
  auto called = [&] {
    return world.history().promotions.size() > promotions;
  };
  for (int step = 0; step < 400 && !called(); ++step) world.run(10ms);
  REQUIRE(called());
  world.run(950ms);
  auto& state = dynamic_cast<CoreProgram&>(world.process("core-1")->program()).replica().state();
  CHECK(state.services().begin()->second.promoted);
}
