#include "updates/update_store.hpp"

#include "wire/deflate.hpp"

namespace tamarindshift {

namespace {

constexpr std::size_t mostWholePlan = 64u << 20;

bool ofPlan(const std::string& key) {
  return key.starts_with(planPrefix);
}

bool concerns(const std::string& key, const std::optional<Address>& own) {
  return !own || !key.starts_with(sharePrefix) || key.compare(sharePrefix.size(), std::string::npos, own->get()) == 0;
}

}  // namespace

UpdateStore::TopicState& UpdateStore::entry(const Topic& topic) {
  auto& entry = entries_[topic];
  if (!entry) entry = std::make_unique<TopicState>();
  return *entry;
}

const UpdateStore::TopicState* UpdateStore::find(const Topic& topic) const {
  auto found = entries_.find(topic);
  return found == entries_.end() ? nullptr : found->second.get();
}

std::uint64_t UpdateStore::mark(const Topic& topic) const {
  const auto* entry = find(topic);
  return entry ? entry->mark : 0;
}

std::uint64_t UpdateStore::completeMark(const Topic& topic, const std::optional<Address>& own) const {
  const auto* entry = find(topic);
  return entry && (!entry->own || entry->own == own) ? entry->mark : 0;
}

void UpdateStore::change(TopicState& entry, TopicChange change) {
  entry.mark = change.mark;
  if (ofPlan(change.key)) {
    entry.planChangeMark = change.mark;
    entry.compressedPlan.clear();
  }
  if (change.removed)
    entry.table.erase(change.key);
  else
    entry.table[change.key] = change.value;
  entry.changes.push_back(std::move(change));
  while (entry.changes.size() > keptChanges) {
    entry.changesSince = entry.changes.front().mark;
    entry.changes.pop_front();
  }
}

void UpdateStore::publish(const Topic& topic, std::uint64_t mark, TopicTable table) {
  auto& entry = this->entry(topic);
  if (mark <= entry.mark) return;
  std::vector<TopicChange> changes;
  for (const auto& [key, value] : table) {
    auto old = entry.table.find(key);
    if (old == entry.table.end() || old->second != value) changes.push_back(TopicChange{mark, key, false, value});
  }
  for (const auto& [key, value] : entry.table)
    if (!table.contains(key)) changes.push_back(TopicChange{mark, key, true, {}});
  if (changes.empty()) return;
  for (auto& each : changes) change(entry, std::move(each));
  changed_.open();
}

void UpdateStore::publishChanges(const Topic& topic, std::uint64_t mark, std::vector<TopicChange> changes) {
  auto& entry = this->entry(topic);
  if (mark <= entry.mark) return;
  std::erase_if(changes, [&](const TopicChange& each) {
    auto old = entry.table.find(each.key);
    return each.removed ? old == entry.table.end() : old != entry.table.end() && old->second == each.value;
  });
  if (changes.empty()) return;
  for (auto& each : changes) change(entry, std::move(each));
  changed_.open();
}

void UpdateStore::restore(const Topic& topic, std::uint64_t mark, TopicTable table) {
  auto& entry = this->entry(topic);
  entry.mark = entry.changesSince = entry.planChangeMark = mark;
  entry.table = std::move(table);
  entry.compressedPlan.clear();
  entry.changes.clear();
  changed_.open();
}

bool UpdateStore::apply(const Topic& topic, const TopicReply& reply, const std::optional<Address>& own) {
  auto& entry = this->entry(topic);
  if (reply.result == FollowResult::notCurrent || reply.mark < entry.mark) return false;
  if (reply.result == FollowResult::snapshot) {
    if (reply.mark == entry.mark && (!entry.own || entry.own == own)) return true;
    auto table = reply.table;
    if (!reply.compressedPlan.empty()) {
      auto bytes = inflated(reply.compressedPlan, mostWholePlan);
      auto plan = bytes ? unpacked<TopicTable>(*bytes) : std::nullopt;
      if (!plan) return false;
      table.merge(*plan);
    }
    entry.own = own;
    restore(topic, reply.mark, std::move(table));
    return true;
  }
  bool changed = reply.mark > entry.mark;
  if (changed) entry.own = own;
  auto held = entry.mark;
  for (const auto& each : reply.changes) {
    if (each.mark <= held) continue;
    change(entry, each);
  }
  entry.mark = reply.mark;
  if (changed) changed_.open();
  return true;
}

bool UpdateStore::needsLargeSnapshot(const Topic& topic, std::uint64_t have, std::size_t bytes) const {
  const auto* entry = find(topic);
  if (!entry || (have != 0 && have >= entry->changesSince)) return false;
  std::size_t size = 0;
  for (const auto& [key, value] : entry->table)
    if ((size += key.size() + value.size()) > bytes) return true;
  return false;
}

const std::string& UpdateStore::compressedPlan(const TopicState& entry) {
  if (!entry.compressedPlan.empty()) return entry.compressedPlan;
  TopicTable plan;
  std::size_t size = 0;
  for (auto each = entry.table.lower_bound(planPrefix); each != entry.table.end() && ofPlan(each->first); ++each) {
    plan.insert(*each);
    size += each->first.size() + each->second.size();
  }
  if (size >= leastWholePlan) entry.compressedPlan = deflated(packed(plan));
  return entry.compressedPlan;
}

void UpdateStore::fill(const Topic& topic, std::uint64_t have, TopicReply& reply, const std::optional<Address>& own) const {
  const auto* entry = find(topic);
  if (!entry || entry->mark < have || (entry->own && entry->own != own)) {
    reply.result = FollowResult::notCurrent;
    return;
  }
  reply.mark = entry->mark;
  if (have < entry->changesSince || have == 0) {
    reply.result = FollowResult::snapshot;
    reply.compressedPlan = compressedPlan(*entry);
    bool planApart = !reply.compressedPlan.empty();
    for (const auto& [key, value] : entry->table)
      if (concerns(key, own) && !(planApart && ofPlan(key))) reply.table.emplace(key, value);
    return;
  }
  reply.result = FollowResult::changes;
  for (const auto& each : entry->changes)
    if (each.mark > have && concerns(each.key, own)) reply.changes.push_back(each);
}

}  // namespace tamarindshift
