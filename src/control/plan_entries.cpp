#include "control/plan_entries.hpp"

#include "wire/pack.hpp"

namespace tamarindshift {

namespace {

const std::string markKey = "plan-mark";
const std::string limitsKey = "plan-limits";
const std::string serviceKey = "plan-service";
const std::string kindPrefix = "plan-kind/";

template <class Value>
std::optional<Value> valueAt(const TopicTable& table, const std::string& key) {
  auto found = table.find(key);
  return found == table.end() ? std::nullopt : unpacked<Value>(found->second);
}

template <class Value>
std::map<KindName, Value> readKinds(const TopicTable& table) {
  std::map<KindName, Value> kinds;
  for (auto entry = table.lower_bound(kindPrefix); entry != table.end() && entry->first.starts_with(kindPrefix); ++entry)
    if (auto value = unpacked<Value>(entry->second)) kinds.emplace(KindName{entry->first.substr(kindPrefix.size())}, std::move(*value));
  return kinds;
}

template <class Value>
void writeKinds(TopicTable& table, const std::map<KindName, Value>& kinds) {
  for (const auto& [name, kind] : kinds) table[kindPrefix + name.get()] = packed(kind);
}

}  // namespace

void writePlanEntries(TopicTable& table, const PublishedFleetPlan& plan) {
  table[markKey] = packed(plan.mark);
  table[limitsKey] = packed(plan.limits);
  writeKinds(table, plan.kinds);
}

void writePlanEntries(TopicTable& table, const PublishedServicePlan& plan) {
  table[markKey] = packed(plan.mark);
  table[serviceKey] = packed(plan.service);
  writeKinds(table, plan.kinds);
}

PublishedFleetPlan readFleetPlan(const TopicTable& table) {
  using Limits = std::map<std::string, std::uint64_t>;
  return PublishedFleetPlan{readPlanVersion(table), readKinds<ServiceName>(table), valueAt<Limits>(table, limitsKey).value_or(Limits{})};
}

std::optional<PublishedServicePlan> readServicePlan(const TopicTable& table) {
  auto service = valueAt<PlanService>(table, serviceKey);
  if (!service) return std::nullopt;
  return PublishedServicePlan{readPlanVersion(table), std::move(*service), readKinds<PlanKind>(table)};
}

PlanVersion readPlanVersion(const TopicTable& table) {
  return valueAt<PlanVersion>(table, markKey).value_or(PlanVersion{});
}

bool isPlanKey(const std::string& key) {
  return key == markKey || key == limitsKey || key == serviceKey || key.starts_with(kindPrefix);
}

}  // namespace tamarindshift
