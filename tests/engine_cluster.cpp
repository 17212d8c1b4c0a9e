#include "tests/engine_cluster.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift::testing {

std::string ObservedApplication::applyGreen(const Action& action, std::uint64_t position) {
  applied.push_back(action.update);
  cluster.recordGreen(index, position, action.update);
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
  auto& node = *nodes[index];
  if (node.core) return;
  Address address{host(index) + ":1"};
  node.clock = std::make_unique<SimulatedClock>(world);
  node.journal = std::make_unique<CallbackJournal>([this, index](const std::string& text) {
    log("node " + std::to_string(index + 1) + ": " + text);
  });
  node.link = std::make_unique<SimulatedLink>(network, *node.clock, address);
  node.store = makeStore(*node.clock, node.disk);
  node.application = std::make_unique<ObservedApplication>(*this, index);
  std::set<Address> seedAddresses;
  for (auto seed : seeds) seedAddresses.insert(Address{host(seed) + ":1"});
  node.core = std::make_unique<Core>(*node.clock, *node.link, *node.store, *node.application, *node.journal,
                                     CoreSettings{address, seedAddresses, GroupTimings{}, bounds}, world.incarnation());
  if (auto fault = node.core->start()) faults.push_back("did not start: " + *fault);
  node.replacement = std::make_unique<MemberReplacement>(*node.clock, *node.journal, node.core->engine(), toleratedLosses, 1s);
  if (toleratedLosses > 0) scopes_[index]->spawn(replaceMembers(index));
}

Task<void> EngineCluster::replaceMembers(std::size_t index) {
  auto& node = *nodes[index];
  for (;;) {
    const auto& engine = node.core->engine();
    bool leads = engine.state() == EngineState::regPrim && *engine.conf().members.begin() == node.core->serverId();
    if (leads) node.replacement->review();
    co_await sleep(*node.clock, 100ms);
  }
}

void EngineCluster::stop(std::size_t index) {
  if (!isUp(index)) return;
  log("stop " + std::to_string(index + 1));
  auto& core = *nodes[index]->core;
  auto deadline = world.now() + 4s;
  while (world.now() < deadline && !MemberReplacement::othersHoldAll(core.engine(), core.serverId(), toleratedLosses)) run(25ms);
  if (leavesWhenSpare && MemberReplacement::canSpare(core.engine(), core.serverId(), toleratedLosses))
    core.engine().requestLeave(core.serverId());
  while (leavesWhenSpare && world.now() < deadline && MemberReplacement::canSpare(core.engine(), core.serverId(), toleratedLosses))
    run(25ms);
  core.retire();
  run(200ms);
  kill(index);
}

std::set<std::string> EngineCluster::syncedUpdates(std::size_t index) const {
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
        if (auto message = unpacked<EngineMessage>(delivery->payload); message && message->type == EngineMessageType::action)
          add(message->body);
    if (record->kind == EngineRecordKind::snapshot)
      if (auto snapshot = unpacked<EngineSnapshot>(record->body))
        if (auto applied = unpacked<std::vector<std::string>>(snapshot->application)) held.insert(applied->begin(), applied->end());
  }
  return held;
}

void EngineCluster::kill(std::size_t index) {
  auto& node = *nodes[index];
  if (node.core) log("kill " + std::to_string(index + 1));
  scopes_[index] = std::make_unique<TaskScope>();
  node.replacement.reset();
  node.core.reset();
  node.application.reset();
  node.store.reset();
  node.link.reset();
  node.clock.reset();
  node.disk.crash();
}

void EngineCluster::submit(std::size_t index) {
  if (isUp(index)) scopes_[index]->spawn(submitAndWait(index, "u" + std::to_string(++submitted) + std::string(paddingBytes, 'x')));
}

Task<void> EngineCluster::submitAndWait(std::size_t index, std::string update) {
  auto outcome = co_await nodes[index]->core->engine().order(update, world.now() + 4s);
  if (outcome.status != OrderStatus::green) co_return;
  acknowledged[update] = outcome.position;
  acknowledgedAt[update] = world.now();
}

std::size_t EngineCluster::primaryMemberCount() const {
  return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto& node) {
    return node->core && node->core->engine().state() == EngineState::regPrim;
  }));
}

void EngineCluster::recordGreen(std::size_t index, std::uint64_t position, const std::string& update) {
  log("node " + std::to_string(index + 1) + ": " + update + " green at " + std::to_string(position));
  auto [found, fresh] = greenOrder.emplace(position, update);
  if (!fresh && found->second != update) log("position " + std::to_string(position) + " has another update here than at an earlier member");
  if (!fresh && found->second != update)
    faults.push_back("node " + std::to_string(index + 1) + " has " + update + " green at position " + std::to_string(position) +
                     ", another member had " + found->second);
}

void EngineCluster::log(const std::string& text) {
  logLines.push_back(std::to_string(milliseconds(world.now().time_since_epoch()).count()) + "ms " + text);
}

void EngineCluster::verify() {
  std::set<std::string> seen;
  for (const auto& [position, update] : greenOrder)
    if (!seen.insert(update).second) faults.push_back(update + " is green twice");
  for (const auto& [update, position] : acknowledged) {
    auto found = greenOrder.find(position);
    if (found == greenOrder.end() || found->second != update)
      faults.push_back(update + " was acknowledged at position " + std::to_string(position) + " and is not in the order there");
  }
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (!isUp(index)) continue;
    const auto& applied = nodes[index]->application->applied;
    for (const auto& [update, position] : acknowledged)
      if (std::find(applied.begin(), applied.end(), update) == applied.end()) {
        faults.push_back("node " + std::to_string(index + 1) + " (" + text(nodes[index]->core->engine().state()) +
                         ") lacks the acknowledged update " + update);
        break;
      }
  }
}

}  // namespace tamarindshift::testing
