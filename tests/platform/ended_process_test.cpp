// A process that was killed is known to be gone at once, by what its machine says, and not after a time of silence.

#include <catch2/catch.hpp>

#include "base/desk.hpp"
#include "simulated/simulated_link.hpp"
#include "tests/platform/adapter_programs.hpp"
#include "tests/platform/platform_world.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

PlatformShape shape() {
  PlatformShape chosen;
  chosen.services = 2;
  chosen.restart = 2s;
  chosen.kinds = {ClientKind{}};
  return chosen;
}

PlatformWorld::ProgramFactory factory() {
  return [](PlatformProcess& process) {
    return adapterProgram(process);
  };
}

std::size_t viewSize(PlatformWorld& world, const std::string& name) {
  return dynamic_cast<CoreProgram&>(world.process(name)->program()).replica().engine().conf().members.size();
}

bool primaryComponent(PlatformWorld& world, const std::string& name) {
  return dynamic_cast<CoreProgram&>(world.process(name)->program()).replica().engine().state() == EngineState::regPrim;
}

Task<void> ask(Desk& desk, const Address& peer, Clock& clock, std::optional<Instant>& endedAt) {
  auto reply = co_await desk.ask(peer, "anything", {}, clock.now() + 5s);
  if (!reply) endedAt = clock.now();
}

}  // namespace

TEST_CASE("ended process: the others form their view within 150 ms of a kill, whichever member it was") {
  auto killed = GENERATE(1, 2, 3);
  auto seed = GENERATE(range(1, 8));
  CAPTURE(killed, seed);
  PlatformWorld world(shape(), static_cast<std::uint64_t>(seed), factory());
  world.runUntil(8s + std::chrono::milliseconds{13 * seed});
  world.killProcess("core-" + std::to_string(killed));
  world.run(150ms);
  for (int other = 1; other <= 3; ++other) {
    if (other == killed) continue;
    auto name = "core-" + std::to_string(other);
    CHECK(viewSize(world, name) == 2);
    CHECK(primaryComponent(world, name));
  }
}

TEST_CASE("ended process: a machine without power is only silent, and is left out after the suspicion") {
  PlatformWorld world(shape(), 1, factory());
  world.runUntil(8s);
  world.losePower("core-3");
  world.run(300ms);
  CHECK(viewSize(world, "core-1") == 3);
  world.run(500ms);
  CHECK(viewSize(world, "core-1") == 2);
}

TEST_CASE("ended process: a process that comes back at once is a member again") {
  auto chosen = shape();
  chosen.restart = 30ms;
  PlatformWorld world(chosen, 1, factory());
  world.runUntil(8s);
  world.killProcess("core-2");
  world.run(1500ms);
  for (const auto* name : {"core-1", "core-2", "core-3"}) CHECK(viewSize(world, name) == 3);
}

TEST_CASE("ended process: what waits for a reply of it ends at once") {
  World world(1);
  SimulatedNetwork network(world);
  SimulatedClock clock(world);
  SimulatedLink link(network, clock, Address{"10.0.0.1:1"});
  Desk desk(clock, link, 1);
  TaskScope scope;
  std::optional<Instant> refusedAt;
  std::optional<Instant> silentAt;
  auto began = clock.now();
  scope.spawn(ask(desk, Address{"10.0.0.2:1"}, clock, refusedAt));
  network.cut("10.0.0.1", "10.0.0.3");
  scope.spawn(ask(desk, Address{"10.0.0.3:1"}, clock, silentAt));
  world.runUntil(world.now() + 10s);
  REQUIRE(refusedAt);
  CHECK(*refusedAt - began <= 10ms);
  REQUIRE(silentAt);
  CHECK(*silentAt - began == 5s);
  scope.clear();
}

TEST_CASE("ended process: a promotion goes on soon after the member that led it was killed") {
  auto seed = GENERATE(range(1, 6));
  CAPTURE(seed);
  auto chosen = shape();
  chosen.services = 1;
  PlatformWorld world(chosen, static_cast<std::uint64_t>(seed), factory());
  world.runUntil(14s);
  world.primary(1)->crash();
  // the crash is told at once by closed connections; the recovery is under way when its leader goes
  world.run(300ms);
  world.killProcess("core-1");
  auto killedAt = world.world().now();
  while (!world.primary(1) && world.world().now() - killedAt < 5s) world.run(10ms);
  CHECK(world.world().now() - killedAt <= 1000ms);
}
