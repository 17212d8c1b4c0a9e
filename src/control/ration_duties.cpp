#include <algorithm>

#include "control/duties.hpp"
#include "control/ration_cut.hpp"

namespace tamarindshift {

namespace {

// with as much waiting at the database as running its slots are never idle
constexpr std::uint32_t runningPerSlot = 2;

}  // namespace

NodeDemands Duties::demands(const ServiceName& name, const DatabaseName& database) const {
  NodeDemands demands;
  for (const auto& [address, node] : access_.nodes()) {
    if (clock_.now() - node.heardAt > timings_.suspicionKept) continue;
    auto own = node.report.services.find(name);
    if (own == node.report.services.end()) continue;
    if (auto found = own->second.demands.find(database); found != own->second.demands.end()) demands[address] = found->second;
  }
  return demands;
}

Task<void> Duties::rations(ServiceName name) {
  if (!rationing_ || !discovered(name) || !state_.services().contains(name)) co_return;
  auto& kept = duties_[name].rationsReviewedAt;
  auto held = state_.services().at(name).rations;
  auto databases = state_.databases(name);
  std::erase_if(kept, [&](const auto& each) { return !databases.contains(each.first); });
  Orders orders;
  for (const auto& [database, own] : databases) {
    auto current = held.find(database);
    auto& reviewedAt = kept[database];
    if (clock_.now() - reviewedAt < timings_.rationPause) continue;
    reviewedAt = clock_.now();
    auto asked = demands(name, database);
    Weights weights;
    for (const auto& [node, orders] : asked) weights[node] = state_.plan()->weightOf(node);
    auto before = current == held.end() ? Ration{} : current->second;
    auto ration = cutRation(runningPerSlot * std::max(own.capacity, 1u), asked, weights, before);
    if (current == held.end() ? !ration : ration == before) continue;
    if (!ration || current == held.end())
      journal_.line("database " + database.get() + " of " + name.get() + (ration ? " is crowded, its work goes by order" : " is rationed no more"));
    journal_.count("duties.rations");
    RationUpdate update{name, database, ration};
    orders.emplace_back(ControlMatter::ration, packed(update));
  }
  co_await orderAll(std::move(orders));
}

}  // namespace tamarindshift
