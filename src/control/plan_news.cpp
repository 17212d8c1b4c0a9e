#include "control/plan_news.hpp"

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
std::map<KindName, Value> kindsIn(const TopicTable& table) {
  std::map<KindName, Value> kinds;
  for (auto entry = table.lower_bound(kindPrefix); entry != table.end() && entry->first.starts_with(kindPrefix); ++entry)
    if (auto value = unpacked<Value>(entry->second)) kinds.emplace(KindName{entry->first.substr(kindPrefix.size())}, std::move(*value));
  return kinds;
}

template <class Value>
void layKinds(TopicTable& table, const std::map<KindName, Value>& kinds) {
  for (const auto& [name, kind] : kinds) table[kindPrefix + name.get()] = packed(kind);
}

}  // namespace

void layPlan(TopicTable& table, const FleetPlanNews& plan) {
  table[markKey] = packed(plan.mark);
  table[limitsKey] = packed(plan.limits);
  layKinds(table, plan.kinds);
}

void layPlan(TopicTable& table, const ServiceNews& plan) {
  table[markKey] = packed(plan.mark);
  table[serviceKey] = packed(plan.service);
  layKinds(table, plan.kinds);
}

FleetPlanNews fleetPlanIn(const TopicTable& table) {
  using Limits = std::map<std::string, std::uint64_t>;
  return FleetPlanNews{planMarkIn(table), kindsIn<ServiceName>(table), valueAt<Limits>(table, limitsKey).value_or(Limits{})};
}

std::optional<ServiceNews> servicePlanIn(const TopicTable& table) {
  auto service = valueAt<PlanService>(table, serviceKey);
  if (!service) return std::nullopt;
  return ServiceNews{planMarkIn(table), std::move(*service), kindsIn<PlanKind>(table)};
}

PlanMark planMarkIn(const TopicTable& table) {
  return valueAt<PlanMark>(table, markKey).value_or(PlanMark{});
}

bool isPlanKey(const std::string& key) {
  return key == markKey || key == limitsKey || key == serviceKey || key.starts_with(kindPrefix);
}

}  // namespace tamarindshift
