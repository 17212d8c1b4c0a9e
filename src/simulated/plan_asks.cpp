#include "simulated/plan_asks.hpp"

#include <algorithm>

#include "control/plan_reader.hpp"

namespace tamarindshift {

std::size_t PlanAsks::asked(std::uint64_t mark, bool sound, std::string text, Instant now) {
  auto plan = sound ? PlanReader{}.read(text) : std::nullopt;
  asks_.push_back(PlanAsk{mark, sound, std::move(text), now, {}, 0, std::move(plan)});
  return asks_.size() - 1;
}

void PlanAsks::ended(std::size_t index, int status, Instant now) {
  asks_[index].status = status;
  asks_[index].endedAt = now;
}

std::uint64_t PlanAsks::required(Instant at) const {
  std::uint64_t mark = 0;
  for (const auto& ask : asks_)
    if (ask.status == 200 && ask.endedAt + followed < at) mark = std::max(mark, ask.mark);
  return mark;
}

std::vector<const Plan*> PlanAsks::inForce(Instant at) const {
  std::vector<const Plan*> plans;
  auto least = required(at);
  for (const auto& ask : asks_)
    if (ask.plan && ask.askedAt <= at && ask.mark >= least) plans.push_back(&*ask.plan);
  return plans;
}

bool PlanAsks::allows(const KindName& kind, const ServiceName& service, const DatabaseName& database, const Address& databaseAddress,
                      const Address& machine, Instant at) const {
  auto plans = inForce(at);
  return std::any_of(plans.begin(), plans.end(), [&](const Plan* plan) {
    auto planned = plan->kinds.find(kind);
    if (planned == plan->kinds.end() || planned->second.service != service) return false;
    const auto& databases = plan->services.at(service).databases;
    auto own = databases.find(database);
    if (own == databases.end() || own->second.address != databaseAddress) return false;
    auto labels = plan->machines.find(machine);
    auto of = labels == plan->machines.end() ? std::set<Label>{} : labels->second;
    const auto& [wantsMachine, wantsDatabase] = std::tie(planned->second.machines, planned->second.databases);
    return std::includes(of.begin(), of.end(), wantsMachine.begin(), wantsMachine.end()) &&
           std::includes(own->second.labels.begin(), own->second.labels.end(), wantsDatabase.begin(), wantsDatabase.end());
  });
}

std::uint32_t PlanAsks::cap(const ServiceName& service, Instant at) const {
  std::uint32_t most = 0;
  for (const auto* plan : inForce(at))
    if (auto found = plan->services.find(service); found != plan->services.end()) most = std::max(most, found->second.connections);
  return most;
}

}  // namespace tamarindshift
