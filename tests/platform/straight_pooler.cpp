#include "tests/platform/straight_pooler.hpp"

#include <nlohmann/json.hpp>

#include "base/gate.hpp"
#include "tests/platform/wire_statement.hpp"
#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

using Json = nlohmann::json;

std::string StraightPooler::primaryFor(const std::string& hostName) const {
  const auto* route = knowledge_.configuration ? knowledge_.configuration->route(hostName) : nullptr;
  if (!route) return {};
  auto found = knowledge_.primaries.find(route->targetService);
  return found == knowledge_.primaries.end() ? std::string{} : found->second;
}

Task<bool> StraightPooler::connect(Session& session, std::string database) {
  auto found = knowledge_.databases.find(database);
  if (found == knowledge_.databases.end()) co_return false;
  auto service = found->second.service;
  session.channel = std::make_unique<WireChannel>(clock_, link_);
  auto patience = clock_.now() + 1s;
  bool opened = co_await session.channel->open(found->second.address, patience);
  if (!opened) co_return false;
  std::string who = "pooler";
  std::string id = database;
  auto reply = co_await session.channel->setUp(std::move(service), std::move(who), std::move(id), patience);
  session.database = std::move(database);
  co_return reply.end == WireEnd::complete;
}

Task<void> StraightPooler::serve(std::shared_ptr<LineConnection> connection) {
  auto setup = co_await connection->readLine(clock_.now() + 3s);
  if (!setup || takeWireWord(*setup) != "SETUP") co_return;
  Session session;
  session.hostName = takeWireWord(*setup);
  if (knowledge_.configuration && !knowledge_.configuration->route(session.hostName)) {
    connection->write("ERROR NODATABASE " + session.hostName + "\r\n");
    co_return;
  }
  if (stopping_ || !knowledge_.configuration) {
    connection->write("ERROR CONGESTED later\r\n");
    co_return;
  }
  connection->write("IDLE I -\r\n");
  ++sessions_;
  for (;;) {
    auto message = co_await connection->readLine(clock_.now() + 50ms);
    if (!message && connection->usable() && !(stopping_ && session.state == 'I')) continue;
    if (!message || takeWireWord(*message) != "QUERY") break;
    auto id = takeWireWord(*message);
    auto passed = co_await pass(session, std::move(id), *message);
    if (!passed.text.empty()) connection->write(std::move(passed.text));
    if (!passed.stays) break;
  }
  --sessions_;
}

StraightPooler::Passed StraightPooler::refused(Session& session, const std::string& code, bool stays) const {
  session.state = 'I';
  return Passed{"ERROR " + code + " -\r\nIDLE I -\r\n", stays};
}

Task<void> StraightPooler::spoil(Session& session, std::string& id, std::string& text) {
  if (unlucky(faults_.changesText)) text += "x";
  auto patience = clock_.now() + 1s;
  std::string reset = "RESET";
  std::string own = "-";
  if (session.state == 'I' && unlucky(faults_.forgetsValues)) co_await session.channel->query(std::move(own), std::move(reset), patience);
  if (session.state == 'I' && text.starts_with("WRITE") && unlucky(faults_.sendsTwice)) {
    auto again = id;
    auto same = text;
    co_await session.channel->query(std::move(again), std::move(same), patience);
  }
}

Task<StraightPooler::Passed> StraightPooler::pass(Session& session, std::string id, std::string text) {
  auto primary = primaryFor(session.hostName);
  if (session.state == 'I') {
    if (primary.empty()) co_return refused(session, "ABORTED", false);
    bool replica = text.starts_with("READ") && unlucky(faults_.readsReplicas);
    if (replica) {
      auto other = candidate(knowledge_.databases[primary].service, primary);
      if (!other.empty()) primary = other;
    }
    if (session.channel && session.database != primary && !replica && faults_.readsReplicas == 0)
      co_return refused(session, "ABORTED", false);
    if (!session.channel || session.database != primary) {
      bool connected = co_await connect(session, primary);
      if (!connected) co_return refused(session, "ABORTED", false);
    }
  }
  bool writes = text.starts_with("WRITE") && session.state == 'I';
  co_await spoil(session, id, text);
  const auto* route = knowledge_.configuration->route(session.hostName);
  auto patience = clock_.now() + (route ? Duration{route->guard} : Duration{1s});
  auto reply = co_await session.channel->query(std::move(id), std::move(text), patience);
  session.state = reply.state;
  if (reply.state == '?') co_return Passed{{}, false};
  if (writes && reply.end == WireEnd::complete && unlucky(faults_.refusesKept)) co_return refused(session, "ABORTED", true);
  if (!reply.rows.empty() && unlucky(faults_.otherRows)) reply.rows.front() += "x";
  std::string answer;
  for (const auto& row : reply.rows) answer += "ROW " + row + "\r\n";
  answer += reply.end == WireEnd::complete ? "COMPLETE " + reply.stamp + "\r\n" : "ERROR " + reply.code + " -\r\n";
  answer += std::string("IDLE ") + reply.state + " " + (reply.position ? wireText(*reply.position) : "-") + "\r\n";
  co_return Passed{std::move(answer), true};
}

Task<DoorReply> StraightPooler::serve(DoorRequest request) {
  static const std::string heartbeatPath = "/api/Instances.Heartbeat/";
  static const std::string detach = "/api/Instances.Detach/";
  if (request.path == "/api/readiness") co_return DoorReply{!stopping_ && knowledge_.configuration ? 200 : 503, "{}", std::nullopt};
  if (request.path.starts_with(heartbeatPath)) co_return heartbeat(request, request.path.substr(heartbeatPath.size()));
  if (request.path.starts_with(detach)) {
    knowledge_.databases.erase(request.path.substr(detach.size()));
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.path == "/api/Configuration.Replace") co_return replace(request);
  if (request.path == "/api/Configuration.Retrieve" && knowledge_.configuration)
    co_return DoorReply{200, knowledge_.configurationBody, std::nullopt};
  co_return DoorReply{404, "{}", std::nullopt};
}

DoorReply StraightPooler::heartbeat(const DoorRequest& request, const std::string& id) {
  auto json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return DoorReply{400, "{}", std::nullopt};
  auto& database = knowledge_.databases[id];
  database.service = json.value("targetService", "");
  database.address = Address{json.value("address", "")};
  database.primary = json.value("dbRole", "") == "primary";
  database.quiescing = json.value("condition", "") == "quiescing";
  database.heartbeatAt = clock_.now();
  auto& primary = knowledge_.primaries[database.service];
  bool promoted = knowledge_.promotingSince.contains(database.service);
  if (database.primary && !database.quiescing && (primary.empty() || promoted)) {
    primary = id;
    knowledge_.promotingSince.erase(database.service);
  }
  return DoorReply{200, "{}", std::nullopt};
}

DoorReply StraightPooler::replace(const DoorRequest& request) {
  auto read = parseConfiguration(request.body);
  if (!read || !read->valid()) return DoorReply{400, "{}", std::nullopt};
  if (knowledge_.configuration && knowledge_.configuration->revision >= read->revision) return DoorReply{200, "{}", std::nullopt};
  knowledge_.configuration = std::move(read);
  knowledge_.configurationBody = request.body;
  return DoorReply{200, "{}", std::nullopt};
}

std::string StraightPooler::candidate(const std::string& service, const std::string& but) const {
  for (const auto& [id, database] : knowledge_.databases)
    if (id != but && database.service == service && !database.quiescing && clock_.now() - database.heartbeatAt < 3s) return id;
  return {};
}

Task<void> StraightPooler::watch() {
  for (;;) {
    co_await sleep(clock_, 200ms);
    auto primaries = knowledge_.primaries;
    for (const auto& [service, primary] : primaries) {
      auto found = knowledge_.databases.find(primary);
      auto since = knowledge_.promotingSince.find(service);
      bool again = since != knowledge_.promotingSince.end() && clock_.now() - since->second > 2s;
      bool silent = found == knowledge_.databases.end() || found->second.quiescing || clock_.now() - found->second.heartbeatAt > 3s;
      if (!(silent || again) || (since != knowledge_.promotingSince.end() && !again)) continue;
      auto next = candidate(service, primary);
      if (next.empty()) continue;
      knowledge_.primaries[service].clear();
      knowledge_.promotingSince[service] = clock_.now();
      auto body = Json{{"targetService", service}, {"id", next}}.dump();
      WebHeaders headers{{"Tamarindshift-Duty-Holder", "core-1"}, {"Tamarindshift-Fence-Number", std::to_string(++knowledge_.fence)}};
      co_await web_.call(platform_, "POST", "/promotion", std::move(body), clock_.now() + 1s, std::move(headers));
    }
  }
}

Task<void> StraightPooler::drain(Duration patience) {
  stopping_ = true;
  auto until = clock_.now() + patience;
  while (sessions_ > 0 && clock_.now() < until) co_await sleep(clock_, 20ms);
}

}  // namespace tamarindshift::testing
