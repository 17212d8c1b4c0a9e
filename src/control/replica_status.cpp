#include "control/replica_status.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace tamarindshift {

namespace {

using Json = nlohmann::json;

std::vector<std::string> texts(const std::vector<Address>& addresses) {
  std::vector<std::string> converted;
  converted.reserve(addresses.size());
  for (const auto& address : addresses) converted.push_back(address.get());
  return converted;
}

void addEngine(Json& json, const ReplicaNode& replica, Instant now) {
  const auto& engine = replica.engine();
  json["engine"] = {{"state", text(engine.state())},
                    {"green", engine.greenLine()},
                    {"white", engine.whiteLine()},
                    {"red", engine.redCount()},
                    {"yellow", engine.yellowCount()},
                    {"ongoing", engine.ongoingCount()},
                    {"vulnerable", engine.vulnerable().valid},
                    {"on_duty", replica.duties().onDuty()}};
  if (auto fault = engine.diskFault()) json["disk_fault"] = *fault;
  if (engine.state() == EngineState::regPrim && !engine.conf().members.empty())
    json["duty_holder"] = engine.conf().members.begin()->address.get();
  Json primary = Json::array();
  for (const auto& server : engine.primComponent().servers) primary.push_back(text(server));
  json["primary_component"] = {
      {"index", engine.primComponent().primIndex}, {"attempt", engine.primComponent().attemptIndex}, {"servers", primary}};
  json["members"] = Json::object();
  for (const auto& [server, line] : engine.greenLines()) {
    auto cut = engine.redCut().find(server);
    json["members"][text(server)] = {{"green", line}, {"red_cut", cut == engine.redCut().end() ? 0 : cut->second}};
  }
  if (auto proved = engine.primaryConfirmedAt()) {
    json["proved_ms_ago"] = milliseconds(now - *proved).count();
    json["lease_ms"] = milliseconds(std::max(Duration::zero(), *proved + replica.settings().timings.lease - now)).count();
  }
}

Json serviceStatus(const ReplicaNode& replica, const ServiceName& name, const ServiceState& service, Instant now) {
  const auto& state = replica.state();
  const auto& duties = replica.duties();
  Json own{{"epoch", service.epoch.get()}, {"primary", service.primary.get()}, {"promoted", service.promoted}};
  own["drained"] = Json::array();
  for (const auto& [database, mark] : service.drained) own["drained"].push_back(database.get());
  for (const auto& [node, branches] : service.grants)
    for (const auto& [branch, amount] : branches) own["shares"][node.get()][branch.get()] = amount;
  for (const auto& [node, share] : service.reserved)
    for (const auto& [branch, amount] : share.connections) own["reserved"][node.get()][branch.get()] = amount;
  for (const auto& [database, ration] : service.rations) {
    auto& entry = own["rations"][database.get()];
    entry["free_through"] = ration.freeThrough;
    for (const auto& [node, amount] : ration.later) entry["later"][node.get()] = amount;
  }
  for (const auto& report : replica.reports().databaseReports(name, now))
    own["databases"][report.database] = {{"role", report.role},
                                         {"epoch", report.epoch},
                                         {"position", report.position},
                                         {"contact_ms", milliseconds(report.contactAge).count()},
                                         {"heard_ms_ago", milliseconds(report.age).count()}};
  for (const auto& [database, enrolled] : state.databases(name)) {
    own["addresses"][database.get()] = enrolled.address.get();
    if (auto reasons = duties.unusedReasons(name, database); !reasons.empty()) own["unused"][database.get()] = reasons;
  }
  if (!duties.onDuty()) return own;
  if (auto waits = duties.waitReasons().find(name); waits != duties.waitReasons().end()) own["waits"] = waits->second;
  if (auto awaited = duties.nodesBehindOnShares(name); !awaited.empty()) own["shares_awaited"] = texts(awaited);
  for (const auto& [node, reason] : duties.nodesWithoutShare(name)) own["shareless"][node.get()] = reason;
  return own;
}

void addNodes(Json& json, const ReplicaNode& replica, Instant now) {
  const auto& reporting = replica.reports().nodes();
  for (const auto& [address, node] : replica.state().nodes()) {
    auto& own = json["nodes"][address.get()];
    own = {{"zone", node.zone.get()}, {"draining", node.draining}};
    auto known = reporting.find(address);
    if (known == reporting.end()) continue;
    own["heard_ms_ago"] = milliseconds(now - known->second.lastContact).count();
    own["plan_mark"] = known->second.report.mark.get();
    own["lease_ms"] = milliseconds(known->second.report.lease).count();
  }
  for (const auto& [address, node] : reporting)
    if (!replica.state().nodes().contains(address))
      json["unregistered"][address.get()] = {{"zone", node.report.zone.get()},
                                             {"heard_ms_ago", milliseconds(now - node.lastContact).count()}};
}

}  // namespace

Json replicaStatus(const ReplicaNode& replica, Instant now) {
  const auto& state = replica.state();
  Json json;
  json["address"] = replica.settings().address.get();
  json["zone"] = replica.settings().zone.get();
  json["view"] = text(replica.group().view());
  addEngine(json, replica, now);
  json["plan_mark"] = state.plan() ? state.plan()->mark.get() : 0;
  for (const auto& [name, service] : state.services()) json["services"][name.get()] = serviceStatus(replica, name, service, now);
  addNodes(json, replica, now);
  return json;
}

}  // namespace tamarindshift
