#include "tests/engine_cluster.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift::testing {

std::string ObservedApplication::applyGreen(const Action& action, std::uint64_t position) {
  applied.push_back(action.update);
  cluster.observe(index, position, action.update);
  return action.update;
}

bool ObservedApplication::restore(const std::string& snapshot) {
  auto restored = unpacked<std::vector<std::string>>(snapshot);
  if (restored) applied = *restored;
  return restored.has_value();
}

EngineCluster::EngineCluster(std::size_t size, std::uint64_t seed) : world(seed), network(world) {
  makeStore = [](Clock& clock, SimulatedDisk& disk) {
    return std::make_unique<SimulatedStore>(clock, disk, Duration{3ms});
  };
  for (std::size_t index = 0; index < size; ++index) {
    nodes.push_back(std::make_unique<Node>());
    scopes_.push_back(std::make_unique<TaskScope>());
  }
}

EngineCluster::~EngineCluster() {
  for (std::size_t index = 0; index < nodes.size(); ++index) kill(index);
}

void EngineCluster::start(std::size_t index) {
  auto& own = *nodes[index];
  if (own.core) return;
  Address address{host(index) + ":1"};
  own.clock = std::make_unique<SimulatedClock>(world);
  own.journal = std::make_unique<QuietJournal>([this, index](const std::string& text) {
    note("node " + std::to_string(index + 1) + ": " + text);
  });
  own.link = std::make_unique<SimulatedLink>(network, *own.clock, address);
  own.store = makeStore(*own.clock, own.disk);
  own.application = std::make_unique<ObservedApplication>(*this, index);
  std::set<Address> seedAddresses;
  for (auto seed : seeds) seedAddresses.insert(Address{host(seed) + ":1"});
  own.core = std::make_unique<Core>(*own.clock, *own.link, *own.store, *own.application, *own.journal,
                                    CoreSettings{address, seedAddresses, GroupTimings{}, bounds}, world.incarnation());
  if (auto fault = own.core->start()) faults.push_back("did not start: " + *fault);
  own.replacement = std::make_unique<MemberReplacement>(*own.clock, *own.journal, own.core->engine(), losses, 1s);
  if (losses > 0) scopes_[index]->spawn(replacing(index));
}

Task<void> EngineCluster::replacing(std::size_t index) {
  auto& own = *nodes[index];
  for (;;) {
    const auto& engine = own.core->engine();
    bool leads = engine.state() == EngineState::regPrim && *engine.conf().set.begin() == own.core->own();
    if (leads) own.replacement->review();
    co_await sleep(*own.clock, 100ms);
  }
}

void EngineCluster::stop(std::size_t index) {
  if (!up(index)) return;
  note("stop " + std::to_string(index + 1));
  auto& core = *nodes[index]->core;
  auto deadline = world.now() + 4s;
  while (world.now() < deadline && !MemberReplacement::othersHoldAll(core.engine(), core.own(), losses)) run(25ms);
  if (leavesWhenSpare && MemberReplacement::canSpare(core.engine(), core.own(), losses)) core.engine().requestLeave(core.own());
  while (leavesWhenSpare && world.now() < deadline && MemberReplacement::canSpare(core.engine(), core.own(), losses)) run(25ms);
  core.retire();
  run(200ms);
  kill(index);
}

std::set<std::string> EngineCluster::synced(std::size_t index) const {
  std::set<std::string> held;
  auto add = [&](const std::string& body) {
    if (auto action = unpacked<Action>(body); action && action->type == ActionType::action) held.insert(action->update);
  };
  for (const auto& bytes : nodes[index]->disk.synced) {
    auto record = unpacked<EngineRecord>(bytes);
    if (!record) continue;
    if (record->kind == EngineRecordKind::red || record->kind == EngineRecordKind::ongoing) add(record->body);
    if (record->kind == EngineRecordKind::received)
      if (auto delivery = unpacked<Delivery>(record->body))
        if (auto message = unpacked<EngineMessage>(delivery->payload); message && message->matter == EngineMatter::action)
          add(message->body);
    if (record->kind == EngineRecordKind::snapshot)
      if (auto snapshot = unpacked<EngineSnapshot>(record->body))
        if (auto applied = unpacked<std::vector<std::string>>(snapshot->application)) held.insert(applied->begin(), applied->end());
  }
  return held;
}

void EngineCluster::kill(std::size_t index) {
  auto& own = *nodes[index];
  if (own.core) note("kill " + std::to_string(index + 1));
  scopes_[index] = std::make_unique<TaskScope>();
  own.replacement.reset();
  own.core.reset();
  own.application.reset();
  own.store.reset();
  own.link.reset();
  own.clock.reset();
  own.disk.crash();
}

void EngineCluster::submit(std::size_t index) {
  if (up(index)) scopes_[index]->spawn(submitAndWait(index, "u" + std::to_string(++submitted) + std::string(padding, 'x')));
}

Task<void> EngineCluster::submitAndWait(std::size_t index, std::string update) {
  auto outcome = co_await nodes[index]->core->engine().order(update, world.now() + 4s);
  if (outcome.fate != OrderFate::green) co_return;
  acknowledged[update] = outcome.position;
  acknowledgedAt[update] = world.now();
}

std::size_t EngineCluster::inPrimary() const {
  return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto& node) {
    return node->core && node->core->engine().state() == EngineState::regPrim;
  }));
}

void EngineCluster::observe(std::size_t index, std::uint64_t position, const std::string& update) {
  note("node " + std::to_string(index + 1) + ": " + update + " green at " + std::to_string(position));
  auto [found, fresh] = order.emplace(position, update);
  if (!fresh && found->second != update) note("the order breaks here");
  if (!fresh && found->second != update)
    faults.push_back("node " + std::to_string(index + 1) + " has " + update + " green at " + std::to_string(position) + ", another had " +
                     found->second);
}

void EngineCluster::note(const std::string& text) {
  lines.push_back(std::to_string(milliseconds(world.now().time_since_epoch()).count()) + "ms " + text);
}

void EngineCluster::judge() {
  std::set<std::string> seen;
  for (const auto& [position, update] : order)
    if (!seen.insert(update).second) faults.push_back(update + " is green twice");
  for (const auto& [update, position] : acknowledged) {
    auto found = order.find(position);
    if (found == order.end() || found->second != update)
      faults.push_back(update + " was acknowledged at " + std::to_string(position) + " and is not there");
  }
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (!up(index)) continue;
    const auto& applied = nodes[index]->application->applied;
    for (const auto& [update, position] : acknowledged)
      if (std::find(applied.begin(), applied.end(), update) == applied.end()) {
        faults.push_back("node " + std::to_string(index + 1) + " (" + text(nodes[index]->core->engine().state()) + ") lacks acknowledged " +
                         update);
        break;
      }
  }
}

}  // namespace tamarindshift::testing
