#include "edge/session_door.hpp"

#include <nlohmann/json.hpp>

#include "edge/door_replies.hpp"
#include "proxy/database_json.hpp"

namespace tamarindshift {

namespace {

using Json = nlohmann::json;
constexpr std::size_t mostBody = 1 << 20;

const char* text(RequestOutcome outcome) {
  static constexpr const char* names[] = {"done", "failed", "refused", "unknown", "lost"};
  return names[static_cast<int>(outcome)];
}

bool onlyKeys(const Json& json, std::initializer_list<const char*> allowed) {
  for (const auto& [key, value] : json.items())
    if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) return false;
  return true;
}

}  // namespace

Task<DoorReply> SessionDoor::serve(DoorRequest request) {
  const auto& path = request.path;
  static const std::string prefix = "/sessions/";
  if (path == "/ready") {
    if (request.method != "GET") co_return refusal(405, "wrong method");
    auto reason = proxy_.notReady();
    if (reason) co_return refusal(503, *reason, {}, proxy_.settings().timings.comeBack);
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (path == "/status" && request.method == "GET") co_return status();
  if (path == "/counters" && request.method == "GET") co_return pageReply(Json(proxy_.journal().counters()));
  if (path == "/sessions") {
    if (request.method != "POST") co_return refusal(405, "wrong method");
    co_return open(request);
  }
  if (!path.starts_with(prefix)) co_return refusal(path == "/status" || path == "/counters" ? 405 : 404, "no such path or method");
  auto rest = path.substr(prefix.size());
  auto slash = rest.find('/');
  auto session = proxy_.session(SessionId{rest.substr(0, slash)});
  if (!session) co_return refusal(404, "unknown session");
  if (slash == std::string::npos) {
    if (request.method != "DELETE") co_return refusal(405, "wrong method");
    proxy_.closeSession(session);
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (rest.substr(slash) != "/run") co_return refusal(404, "no such path");
  if (request.method != "POST") co_return refusal(405, "wrong method");
  if (request.body.size() > mostBody) co_return refusal(413, "body too large");
  if (session->busy) co_return refusal(409, "the session has a request underway");
  co_return co_await run(std::move(request), session);
}

DoorReply SessionDoor::open(const DoorRequest& request) {
  auto json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return refusal(400, "malformed JSON");
  if (!onlyKeys(json, {"kind", "after"})) return refusal(400, "unknown key");
  if (!json.contains("kind") || !json["kind"].is_string()) return refusal(400, "kind must be a string");
  std::map<ServiceName, Position> own;
  if (json.contains("after")) {
    if (!json["after"].is_object()) return refusal(400, "after must map a service to a position");
    for (const auto& [service, position] : json["after"].items()) {
      if (!position.is_number_unsigned()) return refusal(400, "after must map a service to a position");
      own[ServiceName{service}] = Position{position.get<std::uint64_t>()};
    }
  }
  KindName kind{json["kind"].get<std::string>()};
  auto view = proxy_.directory().kind(kind);
  auto comeBack = proxy_.settings().timings.comeBack;
  if (!view.kind) {
    if (view.refusal == "unknown kind of work" && proxy_.directory().anyLease()) return refusal(403, view.refusal);
    return refusal(503, view.refusal, {}, comeBack);
  }
  auto session = proxy_.openSession(kind, std::move(own), request.connection);
  if (!session) return refusal(503, proxy_.draining() ? "this node is leaving" : "too many sessions", {}, comeBack);
  return DoorReply{201, Json{{"session", session->id.get()}}.dump(), std::nullopt};
}

Task<DoorReply> SessionDoor::run(DoorRequest request, std::shared_ptr<Session> session) {
  auto json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) co_return refusal(400, "malformed JSON");
  if (!onlyKeys(json, {"operation", "text", "name", "parameters", "reads", "kind"})) co_return refusal(400, "unknown key");
  for (const char* key : {"operation", "text", "name", "kind"})
    if (json.contains(key) && !json[key].is_string()) co_return refusal(400, std::string(key) + " must be a string");
  if (json.contains("reads") && !json["reads"].is_boolean()) co_return refusal(400, "reads must be true or false");
  if (json.contains("parameters")) {
    if (!json["parameters"].is_array()) co_return refusal(400, "parameters must be a list of strings and nulls");
    for (const auto& parameter : json["parameters"])
      if (!parameter.is_string() && !parameter.is_null()) co_return refusal(400, "parameters must be a list of strings and nulls");
  }
  auto operation = parseOperation(json.value("operation", "statement"));
  if (!operation) co_return refusal(400, "unknown operation");
  bool named = *operation == Operation::prepare || *operation == Operation::execute || *operation == Operation::set;
  if (named != json.contains("name")) co_return refusal(400, "prepare, execute and set, and only they, take a name");
  bool texted = *operation == Operation::statement || *operation == Operation::prepare || *operation == Operation::set;
  if (texted != json.contains("text")) co_return refusal(400, "statement, prepare and set, and only they, take a text");
  json["operation"] = operationName(*operation);
  auto read = requestFromJson(json.dump());
  if (!read) co_return refusal(400, "malformed request");
  session->clientConnection = request.connection;
  KindName kind{json.value("kind", session->kind.get())};
  auto reply = co_await proxy_.run(session, kind, std::move(*read));
  Json body{{"outcome", text(reply.outcome)}};
  if (!reply.reason.empty()) body["reason"] = reply.reason;
  if (reply.outcome == RequestOutcome::done || reply.outcome == RequestOutcome::failed) {
    body["result"] = reply.result;
    body["database"] = reply.database.get();
    body["position"] = reply.position.get();
  }
  if (reply.retryAfter) body["come_back_ms"] = milliseconds(*reply.retryAfter).count();
  co_return DoorReply{reply.status, body.dump(), reply.retryAfter};
}

DoorReply SessionDoor::status() const {
  Json json;
  const auto& directory = proxy_.directory();
  json["plan_mark"] = directory.planMark().get();
  json["sessions"] = proxy_.sessionCount();
  json["underway"] = proxy_.requests().inFlight();
  json["draining"] = proxy_.draining();
  for (const auto& [name, view] : directory.services()) {
    auto& own = json["services"][name.get()];
    own = {{"epoch", view.primary.epoch.get()},
           {"primary", view.primary.primary.get()},
           {"promoted", view.primary.promoted},
           {"leased", directory.leased(name)}};
    for (const auto& [branch, most] : view.share.connections)
      own["branches"][branch.get()] = {{"share", most},
                                       {"busy", proxy_.pool().mostBusyOnOneDatabase(name, branch)},
                                       {"waiting", proxy_.requests().waitingCount(name, branch)}};
    if (!view.plan) continue;
    for (const auto& [database, planned] : view.databases)
      own["connections"][database.get()] = proxy_.pool().openConnections(name, database);
  }
  return pageReply(json);
}

}  // namespace tamarindshift
