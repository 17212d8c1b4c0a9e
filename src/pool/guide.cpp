#include "pool/guide.hpp"

#include <algorithm>

namespace tamarindshift {

Guide::Guide(Clock& clock, Desk& desk, Journal& journal, const Timings& timings, Address agent, Address node)
    : clock_(clock), desk_(desk), journal_(journal), timings_(timings), agent_(std::move(agent)), node_(std::move(node)) {
  fleet_ = std::make_unique<Follower>(clock_, desk_, board_, journal_, fleetTopic, [this] { return std::vector{agent_}; },
                                      FollowTimings{timings_.newsPatience, 50ms});
}

void Guide::refresh() {
  readFleet();
  std::set<ServiceName> wanted;
  for (const auto& [kind, service] : fleetPlan_.kinds) wanted.insert(service);
  std::erase_if(followers_, [&](const auto& each) { return !wanted.contains(each.first); });
  std::erase_if(services_, [&](const auto& each) { return !wanted.contains(each.first); });
  for (const auto& service : wanted) {
    if (!followers_.contains(service))
      followers_[service] = std::make_unique<Follower>(clock_, desk_, board_, journal_, service.get(), [this] { return std::vector{agent_}; },
                                                       FollowTimings{timings_.newsPatience, 50ms});
    if (const auto* entry = board_.find(service.get())) readService(service, *entry);
  }
}

void Guide::readFleet() {
  const auto* entry = board_.find(fleetTopic);
  if (!entry || entry->mark == fleetMark_) return;
  fleetMark_ = entry->mark;
  if (auto plan = entry->table.find("plan"); plan != entry->table.end())
    if (auto news = unpacked<FleetPlanNews>(plan->second)) fleetPlan_ = *news;
  auto own = entry->table.find("node/" + node_.get());
  nodeKnown_ = own != entry->table.end();
  if (nodeKnown_)
    if (auto news = unpacked<NodeNews>(own->second)) node_news_ = *news;
}

void Guide::readService(const ServiceName& name, const NewsBoard::Entry& entry) {
  auto& view = services_[name];
  if (view.mark == entry.mark) return;
  auto drainedBefore = std::move(view.drained);
  view = ServiceView{};
  view.mark = entry.mark;
  static const std::string drainedPrefix = "drained/";
  for (const auto& [key, value] : entry.table) {
    if (key == "plan")
      view.plan = unpacked<ServiceNews>(value);
    else if (key == "primary")
      view.primary = unpacked<PrimaryNews>(value).value_or(PrimaryNews{});
    else if (key.starts_with(drainedPrefix)) {
      DatabaseName database{key.substr(drainedPrefix.size())};
      auto before = drainedBefore.find(database);
      view.drained[database] = before == drainedBefore.end() ? clock_.now() : before->second;
    } else if (key == "share/" + node_.get())
      view.share = unpacked<ShareNews>(value).value_or(ShareNews{});
  }
}

Guide::KindView Guide::kind(const KindName& name) const {
  auto found = fleetPlan_.kinds.find(name);
  if (found == fleetPlan_.kinds.end()) return {nullptr, nullptr, "unknown kind of work"};
  const auto* own = service(found->second);
  if (!own || !own->plan || !own->plan->kinds.contains(name)) return {nullptr, nullptr, "no news of the service yet"};
  const auto& kind = own->plan->kinds.at(name);
  if (!std::includes(node_news_.labels.begin(), node_news_.labels.end(), kind.machines.begin(), kind.machines.end()))
    return {nullptr, nullptr, "this machine is not selected for the kind"};
  return {&kind, own, {}};
}

const Guide::ServiceView* Guide::service(const ServiceName& name) const {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

std::optional<Instant> Guide::leaseUntil(const ServiceName& name) const {
  auto found = followers_.find(name);
  if (found == followers_.end()) return std::nullopt;
  auto own = found->second->leaseUntil();
  auto fleet = fleet_->leaseUntil();
  if (!own || !fleet) return std::nullopt;
  return std::min(*own, *fleet);
}

bool Guide::leased(const ServiceName& name) const { return leaseUntil(name).has_value(); }

bool Guide::draining() const { return nodeKnown_ && node_news_.draining; }

std::vector<DatabaseSign> Guide::signs(const ServiceName& name) const {
  auto found = followers_.find(name);
  return found == followers_.end() ? std::vector<DatabaseSign>{} : found->second->signs();
}

}  // namespace tamarindshift
