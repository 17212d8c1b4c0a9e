#include "proxy/service_directory.hpp"

#include <algorithm>

#include "control/plan_entries.hpp"

namespace tamarindshift {

void ServiceDirectory::refresh() {
  readFleet();
  fleetLeaseWhenRead_ = feed_.leaseUntil(fleetTopic);
  std::set<ServiceName> wanted;
  for (const auto& [kind, service] : fleetPlan_.kinds) wanted.insert(service);
  std::erase_if(services_, [&](const auto& each) {
    return !wanted.contains(each.first);
  });
  for (const auto& service : wanted) {
    const auto* entry = feed_.updates().find(service.get());
    if (!entry) continue;
    readService(service, *entry);
    auto& view = services_[service];
    view.share = registered(service) ? view.granted : PublishedShare{};
    view.leaseWhenRead = feed_.leaseUntil(service.get());
  }
}

bool ServiceDirectory::registered(const ServiceName& name) const {
  return nodeRegistered_ && nodeState_.boot == boot_ && feed_.position(name.get()) >= nodeState_.enrolledAt;
}

std::optional<std::string> ServiceDirectory::missingShareReason(const ServiceName& name) const {
  const auto* view = service(name);
  if (!view) return "no updates of the service received yet";
  if (!nodeRegistered_) return "not registered";
  if (nodeState_.boot != boot_) return "registered under another boot";
  if (feed_.position(name.get()) < nodeState_.enrolledAt) return "updates of the service are older than the registration of this node";
  bool granted = std::any_of(view->granted.connections.begin(), view->granted.connections.end(), [](const auto& each) {
    return each.second > 0;
  });
  if (granted) return std::nullopt;
  return "nothing is granted; the status of the duty holder says why";
}

void ServiceDirectory::readFleet() {
  const auto* entry = feed_.updates().find(fleetTopic);
  if (!entry || entry->mark == fleetMark_) return;
  fleetMark_ = entry->mark;
  if (entry->planChangeMark != fleetPlanChangeMark_) fleetPlan_ = readFleetPlan(entry->table);
  fleetPlanChangeMark_ = entry->planChangeMark;
  auto nodeEntry = entry->table.find(nodePrefix + node_.get());
  nodeRegistered_ = nodeEntry != entry->table.end();
  if (nodeRegistered_)
    if (auto node = unpacked<PublishedNode>(nodeEntry->second)) nodeState_ = *node;
}

void ServiceDirectory::readService(const ServiceName& name, const UpdateStore::TopicState& entry) {
  auto& view = services_[name];
  if (view.mark == entry.mark) return;
  auto drainedBefore = std::move(view.drained);
  auto planBefore = std::move(view.plan);
  bool samePlan = planBefore && view.planChangeMark == entry.planChangeMark;
  view = ServiceView{};
  view.mark = entry.mark;
  view.planChangeMark = entry.planChangeMark;
  static const std::string drainedPrefix = "drained/";
  static const std::string databasePrefix = "database/";
  static const std::string rationPrefix = "ration/";
  view.plan = samePlan ? std::move(planBefore) : readServicePlan(entry.table);
  for (const auto& [key, value] : entry.table) {
    if (key.starts_with(planPrefix)) continue;
    if (key == "primary")
      view.primary = unpacked<PublishedPrimary>(value).value_or(PublishedPrimary{});
    else if (key.starts_with(databasePrefix))
      view.databases[DatabaseName{key.substr(databasePrefix.size())}] = unpacked<PublishedDatabase>(value).value_or(PublishedDatabase{});
    else if (key.starts_with(rationPrefix))
      view.rations[DatabaseName{key.substr(rationPrefix.size())}] = unpacked<Ration>(value).value_or(Ration{});
    else if (key.starts_with(drainedPrefix)) {
      DatabaseName database{key.substr(drainedPrefix.size())};
      auto before = drainedBefore.find(database);
      view.drained[database] = before == drainedBefore.end() ? clock_.now() : before->second;
    } else if (key == sharePrefix + node_.get())
      view.granted = unpacked<PublishedShare>(value).value_or(PublishedShare{});
  }
  if (view.plan && !view.plan->service.discovered)
    for (const auto& [database, planned] : view.plan->service.databases)
      view.databases[database] = PublishedDatabase{planned.address, {}, planned.cap};
}

bool ServiceDirectory::KindView::selects(const DatabaseName& database) const {
  if (kind->databases.empty()) return service->databases.contains(database);
  auto planned = service->plan->service.databases.find(database);
  if (planned == service->plan->service.databases.end()) return false;
  const auto& labels = planned->second.labels;
  return std::includes(labels.begin(), labels.end(), kind->databases.begin(), kind->databases.end());
}

ServiceDirectory::KindView ServiceDirectory::kind(const KindName& name) const {
  auto found = fleetPlan_.kinds.find(name);
  if (found == fleetPlan_.kinds.end()) return {nullptr, nullptr, "unknown kind of work"};
  const auto* view = service(found->second);
  if (!view || !view->plan || !view->plan->kinds.contains(name)) return {nullptr, nullptr, "no news of the service yet"};
  const auto& kind = view->plan->kinds.at(name);
  if (!std::includes(nodeState_.labels.begin(), nodeState_.labels.end(), kind.machines.begin(), kind.machines.end()))
    return {nullptr, nullptr, "this machine is not selected for the kind"};
  return {&kind, view, {}};
}

const ServiceDirectory::ServiceView* ServiceDirectory::service(const ServiceName& name) const {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

std::optional<Instant> ServiceDirectory::leaseUntil(const ServiceName& name) const {
  const auto* view = service(name);
  if (!view) return std::nullopt;
  auto serviceUntil = coveringLease(name.get(), view->mark, view->leaseWhenRead);
  auto fleetUntil = coveringLease(fleetTopic, fleetMark_, fleetLeaseWhenRead_);
  if (!serviceUntil || !fleetUntil) return std::nullopt;
  return std::min(*serviceUntil, *fleetUntil);
}

std::optional<Instant> ServiceDirectory::coveringLease(const Topic& topic, std::uint64_t readMark,
                                                       std::optional<Instant> leaseWhenRead) const {
  if (feed_.updates().mark(topic) == readMark) return feed_.leaseUntil(topic);
  return leaseWhenRead && *leaseWhenRead > clock_.now() ? leaseWhenRead : std::nullopt;
}

bool ServiceDirectory::routesKnown() const {
  if (!anyLease() || fleetPlan_.mark == PlanVersion{}) return false;
  return std::all_of(fleetPlan_.kinds.begin(), fleetPlan_.kinds.end(), [this](const auto& each) {
    const auto* view = service(each.second);
    return view && view->plan && view->plan->mark >= fleetPlan_.mark && view->plan->kinds.contains(each.first) && leased(each.second);
  });
}

bool ServiceDirectory::servicesKnown() const {
  if (!anyLease() || fleetPlan_.mark == PlanVersion{}) return false;
  return std::all_of(fleetPlan_.kinds.begin(), fleetPlan_.kinds.end(), [this](const auto& each) {
    const auto* view = service(each.second);
    return view && view->plan && leased(each.second);
  });
}

bool ServiceDirectory::leased(const ServiceName& name) const {
  return leaseUntil(name).has_value();
}

bool ServiceDirectory::draining() const {
  return nodeRegistered_ && nodeState_.draining;
}

std::vector<DatabaseReport> ServiceDirectory::databaseReports(const ServiceName& name) const {
  return feed_.databaseReports(name.get());
}

}  // namespace tamarindshift
