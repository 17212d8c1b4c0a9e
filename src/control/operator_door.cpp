#include "control/operator_door.hpp"

#include <nlohmann/json.hpp>

#include "control/heartbeat_json.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

Task<DoorReply> OperatorDoor::serve(DoorRequest request) {
  const auto& path = request.path;
  if (path == "/plan") {
    if (request.method == "GET") {
      if (!replica_.leaseUntil(fleetTopic)) co_return refusal(503, "not in a proved primary component", {}, replica_.settings().timings.comeBack);
      if (!replica_.state().plan()) co_return refusal(404, "no plan is held yet");
      co_return DoorReply{200, replica_.state().planText(), std::nullopt};
    }
    if (request.method == "PUT" || request.method == "POST") co_return co_await replica_.replacePlan(std::move(request.body));
    co_return refusal(405, "wrong method");
  }
  if (path == "/heartbeat" || path == "/detach") {
    if (request.method != "POST") co_return refusal(405, "wrong method");
    auto heartbeat = heartbeatFromJson(request.body);
    if (!heartbeat) {
      replica_.journal().count("heartbeats.malformed");
      co_return refusal(400, "not a heartbeat");
    }
    if (path == "/detach") co_return co_await replica_.detach(*heartbeat);
    co_return co_await replica_.heartbeat(*heartbeat);
  }
  if (path.starts_with("/members/")) {
    if (request.method != "DELETE") co_return refusal(405, "wrong method");
    Address member{path.substr(9)};
    co_return co_await replica_.removeMember(member);
  }
  if (request.method != "GET") co_return refusal(path == "/status" || path == "/counters" || path == "/ready" ? 405 : 404, "no such path or method");
  if (path == "/status") co_return status();
  if (path == "/counters") co_return DoorReply{200, nlohmann::json(replica_.journal().counters()).dump(2), std::nullopt};
  if (path == "/ready") {
    if (replica_.draining()) co_return refusal(503, "this node is leaving", {}, replica_.settings().timings.comeBack);
    if (replica_.leaseUntil(fleetTopic)) co_return DoorReply{200, "{}", std::nullopt};
    co_return refusal(503, "not in a proved primary component", {}, replica_.settings().timings.comeBack);
  }
  co_return refusal(404, "no such path");
}

DoorReply OperatorDoor::status() const {
  using Json = nlohmann::json;
  const auto& engine = replica_.engine();
  const auto& state = replica_.state();
  auto now = clock_.now();
  Json json;
  json["address"] = replica_.settings().address.get();
  json["zone"] = replica_.settings().zone.get();
  json["view"] = text(replica_.group().view());
  json["engine"] = {{"state", text(engine.state())},        {"green", engine.greenLine()}, {"white", engine.whiteLine()},
                    {"red", engine.redCount()},              {"yellow", engine.yellowCount()}, {"ongoing", engine.ongoingCount()},
                    {"vulnerable", engine.vulnerable().valid}, {"on_duty", replica_.duties().onDuty()}};
  Json primary = Json::array();
  for (const auto& server : engine.primComponent().servers) primary.push_back(text(server));
  json["primary_component"] = {{"index", engine.primComponent().primIndex}, {"attempt", engine.primComponent().attemptIndex}, {"servers", primary}};
  for (const auto& [server, line] : engine.greenLines()) {
    auto cut = engine.redCut().find(server);
    json["members"][text(server)] = {{"green", line}, {"red_cut", cut == engine.redCut().end() ? 0 : cut->second}};
  }
  if (auto proved = engine.provedAt()) json["proved_ms_ago"] = milliseconds(now - *proved).count();
  json["plan_mark"] = state.plan() ? state.plan()->mark.get() : 0;
  for (const auto& [name, service] : state.services()) {
    auto& own = json["services"][name.get()];
    own = {{"epoch", service.epoch.get()}, {"primary", service.primary.get()}, {"promoted", service.promoted}};
    own["drained"] = Json::array();
    for (const auto& [database, mark] : service.drained) own["drained"].push_back(database.get());
    for (const auto& [node, branches] : service.grants)
      for (const auto& [branch, amount] : branches) own["shares"][node.get()][branch.get()] = amount;
    for (const auto& [node, share] : service.reserved)
      for (const auto& [branch, amount] : share.most) own["reserved"][node.get()][branch.get()] = amount;
    for (const auto& sign : replica_.access().signs(name, now))
      own["databases"][sign.database] = {{"role", sign.role}, {"epoch", sign.epoch}, {"position", sign.position},
                                         {"contact_ms", milliseconds(sign.contactAge).count()}, {"heard_ms_ago", milliseconds(sign.age).count()}};
    for (const auto& [database, enrolled] : state.databases(name)) own["addresses"][database.get()] = enrolled.address.get();
    auto waits = replica_.duties().waits().find(name);
    if (waits != replica_.duties().waits().end()) own["waits"] = waits->second;
  }
  for (const auto& [address, node] : state.nodes()) {
    auto& own = json["nodes"][address.get()];
    own = {{"zone", node.zone.get()}, {"draining", node.draining}};
    auto heard = replica_.access().nodes().find(address);
    if (heard == replica_.access().nodes().end()) continue;
    own["heard_ms_ago"] = milliseconds(now - heard->second.heardAt).count();
    own["plan_mark"] = heard->second.report.mark.get();
    own["lease_ms"] = milliseconds(heard->second.report.lease).count();
  }
  return DoorReply{200, json.dump(2), std::nullopt};
}

}  // namespace tamarindshift
