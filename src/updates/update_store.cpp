#include "updates/update_store.hpp"

#include "wire/deflate.hpp"

namespace tamarindshift {

namespace {

// bound on the memory that a damaged or hostile reply can claim
constexpr std::size_t maxInflatedPlanBytes = 64u << 20;

bool isPlanEntry(const std::string& key) {
  return key.starts_with(planPrefix);
}

bool isFor(const std::string& key, const std::optional<Address>& onlyNode) {
  return !onlyNode || !key.starts_with(sharePrefix) || key.compare(sharePrefix.size(), std::string::npos, onlyNode->get()) == 0;
}

}  // namespace

UpdateStore::TopicState& UpdateStore::state(const Topic& topic) {
  auto& state = topics_[topic];
  if (!state) state = std::make_unique<TopicState>();
  return *state;
}

const UpdateStore::TopicState* UpdateStore::find(const Topic& topic) const {
  auto found = topics_.find(topic);
  return found == topics_.end() ? nullptr : found->second.get();
}

std::uint64_t UpdateStore::mark(const Topic& topic) const {
  const auto* state = find(topic);
  return state ? state->mark : 0;
}

std::uint64_t UpdateStore::completeMark(const Topic& topic, const std::optional<Address>& onlyNode) const {
  const auto* state = find(topic);
  return state && (!state->onlyNode || state->onlyNode == onlyNode) ? state->mark : 0;
}

void UpdateStore::applyChange(TopicState& state, TopicChange change) {
  state.mark = change.mark;
  if (isPlanEntry(change.key)) {
    state.planChangeMark = change.mark;
    state.compressedPlan.clear();
  }
  if (change.removed)
    state.table.erase(change.key);
  else
    state.table[change.key] = change.value;
  state.changes.push_back(std::move(change));
  while (state.changes.size() > maxKeptChanges) {
    state.changesSince = state.changes.front().mark;
    state.changes.pop_front();
  }
}

void UpdateStore::publish(const Topic& topic, std::uint64_t mark, TopicTable table) {
  auto& state = this->state(topic);
  if (mark <= state.mark) return;
  std::vector<TopicChange> changes;
  for (const auto& [key, value] : table) {
    auto old = state.table.find(key);
    if (old == state.table.end() || old->second != value) changes.push_back(TopicChange{mark, key, false, value});
  }
  for (const auto& [key, value] : state.table)
    if (!table.contains(key)) changes.push_back(TopicChange{mark, key, true, {}});
  if (changes.empty()) return;
  for (auto& each : changes) applyChange(state, std::move(each));
  changed_.open();
}

void UpdateStore::publishChanges(const Topic& topic, std::uint64_t mark, std::vector<TopicChange> changes) {
  auto& state = this->state(topic);
  if (mark <= state.mark) return;
  std::erase_if(changes, [&](const TopicChange& each) {
    auto old = state.table.find(each.key);
    return each.removed ? old == state.table.end() : old != state.table.end() && old->second == each.value;
  });
  if (changes.empty()) return;
  for (auto& each : changes) applyChange(state, std::move(each));
  changed_.open();
}

void UpdateStore::restore(const Topic& topic, std::uint64_t mark, TopicTable table) {
  auto& state = this->state(topic);
  state.mark = state.changesSince = state.planChangeMark = mark;
  state.table = std::move(table);
  state.compressedPlan.clear();
  state.changes.clear();
  changed_.open();
}

bool UpdateStore::apply(const Topic& topic, const TopicReply& reply, const std::optional<Address>& onlyNode) {
  auto& state = this->state(topic);
  if (reply.result == FollowResult::notCurrent || reply.mark < state.mark) return false;
  if (reply.result == FollowResult::snapshot) {
    if (reply.mark == state.mark && (!state.onlyNode || state.onlyNode == onlyNode)) return true;
    auto table = reply.table;
    if (!reply.compressedPlan.empty()) {
      auto bytes = inflated(reply.compressedPlan, maxInflatedPlanBytes);
      auto plan = bytes ? unpacked<TopicTable>(*bytes) : std::nullopt;
      if (!plan) return false;
      table.merge(*plan);
    }
    state.onlyNode = onlyNode;
    restore(topic, reply.mark, std::move(table));
    return true;
  }
  bool changed = reply.mark > state.mark;
  if (changed) state.onlyNode = onlyNode;
  auto markBefore = state.mark;
  for (const auto& each : reply.changes) {
    if (each.mark <= markBefore) continue;
    applyChange(state, each);
  }
  state.mark = reply.mark;
  if (changed) changed_.open();
  return true;
}

bool UpdateStore::needsLargeSnapshot(const Topic& topic, std::uint64_t knownMark, std::size_t bytes) const {
  const auto* state = find(topic);
  if (!state || (knownMark != 0 && knownMark >= state->changesSince)) return false;
  std::size_t size = 0;
  for (const auto& [key, value] : state->table)
    if ((size += key.size() + value.size()) > bytes) return true;
  return false;
}

const std::string& UpdateStore::compressedPlanOf(const TopicState& state) {
  if (!state.compressedPlan.empty()) return state.compressedPlan;
  TopicTable plan;
  std::size_t size = 0;
  for (auto each = state.table.lower_bound(planPrefix); each != state.table.end() && isPlanEntry(each->first); ++each) {
    plan.insert(*each);
    size += each->first.size() + each->second.size();
  }
  if (size >= minCompressedPlanBytes) state.compressedPlan = deflated(packed(plan));
  return state.compressedPlan;
}

void UpdateStore::fillReply(const Topic& topic, std::uint64_t knownMark, TopicReply& reply, const std::optional<Address>& onlyNode) const {
  const auto* state = find(topic);
  if (!state || state->mark < knownMark || (state->onlyNode && state->onlyNode != onlyNode)) {
    reply.result = FollowResult::notCurrent;
    return;
  }
  reply.mark = state->mark;
  if (knownMark < state->changesSince || knownMark == 0) {
    reply.result = FollowResult::snapshot;
    reply.compressedPlan = compressedPlanOf(*state);
    bool planIsSeparate = !reply.compressedPlan.empty();
    for (const auto& [key, value] : state->table)
      if (isFor(key, onlyNode) && !(planIsSeparate && isPlanEntry(key))) reply.table.emplace(key, value);
    return;
  }
  reply.result = FollowResult::changes;
  for (const auto& each : state->changes)
    if (each.mark > knownMark && isFor(each.key, onlyNode)) reply.changes.push_back(each);
}

}  // namespace tamarindshift
