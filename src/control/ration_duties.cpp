#include <algorithm>

#include "control/duties.hpp"
#include "control/ration_allocation.hpp"

// Rations crowded databases and ends their rations once all demands fit.

namespace tamarindshift {

namespace {

// with as many statements waiting at the database as running, its slots are never idle
constexpr std::uint32_t runningPerSlot = 2;

}  // namespace

std::map<DatabaseName, DemandsByNode> Duties::collectDemands(const ServiceName& name) const {
  std::map<DatabaseName, DemandsByNode> demands;
  for (const auto& [address, node] : access_.nodes()) {
    if (clock_.now() - node.lastContact > timings_.suspicionKept) continue;
    auto own = node.report.services.find(name);
    if (own == node.report.services.end()) continue;
    for (const auto& [database, orders] : own->second.demands) demands[database][address] = orders;
  }
  return demands;
}

Task<void> Duties::updateRations(ServiceName name) {
  if (!rationing_ || !discovered(name) || !state_.services().contains(name)) co_return;
  auto& reviewedAt = serviceDuties_[name].rationsReviewedAt;
  if (clock_.now() - reviewedAt < timings_.rationPause) co_return;
  reviewedAt = clock_.now();
  const auto& held = state_.services().at(name).rations;
  auto asked = collectDemands(name);
  Proposals proposals;
  for (const auto& [database, own] : state_.databases(name)) {
    auto current = held.find(database);
    const auto& demands = asked[database];
    if (demands.empty() && current == held.end()) continue;
    NodeWeights weights;
    for (const auto& [node, asks] : demands) weights[node] = state_.plan()->weightOf(node);
    auto before = current == held.end() ? Ration{} : current->second;
    auto ration = allocateRation(runningPerSlot * std::max(own.capacity, 1u), demands, weights, before);
    if (current == held.end() ? !ration : ration == before) continue;
    if (!ration || current == held.end())
      journal_.line("database " + database.get() + " of service " + name.get() +
                    (ration ? ": crowded, work is limited by order" : ": not crowded any more, work is not limited"));
    journal_.count("duties.rations");
    RationCommand update{name, database, ration};
    proposals.emplace_back(ControlCommandType::ration, packed(update));
  }
  co_await proposeAll(std::move(proposals));
}

}  // namespace tamarindshift
