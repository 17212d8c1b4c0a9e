#include "simulated/standin_callers.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

using Json = nlohmann::json;

struct StandinCallers::Caller {
  std::size_t number = 0;
  CallerKind kind;
  std::size_t proxy = 0;
  std::unique_ptr<WebConnection> connection;
  std::string session;
  std::uint64_t tokens = 0;
  std::set<std::string> own;
  std::uint64_t position = 0;
  Duration comeBack{};
};

StandinCallers::StandinCallers(Clock& clock, WebLink& web, Journal& journal, StandinCallersSettings settings)
    : clock_(clock), web_(web), journal_(journal), settings_(std::move(settings)), random_(settings_.seed) {
  for (const auto& kind : settings_.kinds)
    for (std::size_t number = 0; number < kind.callers; ++number) scope_.spawn(call(number, kind));
}

Task<void> StandinCallers::call(std::size_t number, CallerKind kind) {
  Caller caller;
  caller.number = number;
  caller.kind = kind;
  caller.proxy = number;
  ++running_;
  co_await sleep(clock_, Duration{below(static_cast<std::uint64_t>(kind.pause.count()) + 1)});
  while (!stopping_) {
    bool stayed = co_await visit(caller);
    caller.connection.reset();
    if (!stayed) ++caller.proxy;
    co_await sleep(clock_, std::max(caller.comeBack, Duration{50ms}));
    caller.comeBack = {};
  }
  --running_;
}

Task<bool> StandinCallers::visit(Caller& caller) {
  const auto& proxy = settings_.proxies[caller.proxy % settings_.proxies.size()];
  auto ready = co_await web_.call(proxy, "GET", "/ready", {}, clock_.now() + 500ms);
  if (!ready || ready->status != 200) co_return false;
  caller.connection = co_await web_.open(proxy, clock_.now() + 1s);
  if (!caller.connection) co_return false;
  Json open{{"kind", caller.kind.kind.get()}};
  if (caller.position > 0) open["after"][caller.kind.service.get()] = caller.position;
  auto opened = co_await caller.connection->exchange("POST", "/sessions", open.dump(), clock_.now() + 2s);
  if (opened.fate != PassFate::replied || opened.status != 201) co_return false;
  caller.session = Json::parse(opened.body).at("session").get<std::string>();
  bool well = true;
  while (!stopping_ && well) {
    auto pause = caller.kind.pause * 100 / pace_;
    co_await sleep(clock_, pause / 2 + Duration{below(static_cast<std::uint64_t>(pause.count()) + 1)});
    if (stopping_) break;
    well = co_await act(caller);
    if (well && caller.comeBack > Duration::zero()) {
      co_await sleep(clock_, caller.comeBack);
      caller.comeBack = {};
    }
  }
  if (well && caller.connection->usable()) co_await caller.connection->exchange("DELETE", "/sessions/" + caller.session, {}, clock_.now() + 1s);
  co_return well;
}

Task<bool> StandinCallers::act(Caller& caller) {
  auto dice = below(1000);
  if (caller.kind.stateful) co_return co_await prepared(caller);
  if (dice < caller.kind.writes) co_return co_await write(caller);
  if (dice < caller.kind.writes + caller.kind.transactions) co_return co_await transaction(caller);
  co_return co_await read(caller);
}

std::string StandinCallers::key(const KindName& kind, std::size_t caller) const {
  auto found = generations_.find({kind, caller});
  return kind.get() + "-" + std::to_string(caller) + "." + std::to_string(found == generations_.end() ? 0 : found->second);
}

std::string StandinCallers::writeKey(Caller& caller) {
  auto generation = caller.tokens / tokensPerKey;
  auto& held = generations_[{caller.kind.kind, caller.number}];
  if (held != generation) caller.own.clear();
  held = generation;
  return key(caller.kind.kind, caller.number);
}

const CallerKind& StandinCallers::writersOf(const ServiceName& service) const {
  for (const auto& kind : settings_.kinds)
    if (kind.service == service && kind.primary && !kind.stateful) return kind;
  return settings_.kinds.front();
}

std::string StandinCallers::token(Caller& caller) {
  return caller.kind.kind.get() + ":" + std::to_string(caller.number) + ":" + std::to_string(++caller.tokens);
}

std::string StandinCallers::statement(const std::string& operation, const std::string& text, bool reads) {
  Json json{{"operation", operation}};
  if (!text.empty()) {
    json["text"] = text;
    texts_.insert(text);
  }
  if (reads) json["reads"] = true;
  return json.dump();
}

Task<WebOutcome> StandinCallers::run(Caller& caller, std::string body) {
  co_return co_await caller.connection->exchange("POST", "/sessions/" + caller.session + "/run", std::move(body), clock_.now() + settings_.patience);
}

bool StandinCallers::note(Caller& caller, CallerOperation operation, const WebOutcome& outcome, const std::string& whenLost) {
  operation.caller = caller.number;
  operation.kind = caller.kind.kind;
  operation.endedAt = clock_.now();
  operation.outcome = whenLost;
  operation.reason = outcome.fate == PassFate::lost ? "connection lost" : "";
  bool stays = false;
  if (outcome.fate == PassFate::replied) {
    auto json = Json::parse(outcome.body, nullptr, false);
    if (json.is_object()) {
      operation.outcome = json.value("outcome", "refused");
      operation.reason = json.value("reason", "");
      operation.result = json.value("result", "");
      stays = outcome.status != 404 && outcome.status != 410 && operation.reason != "this node is leaving" && operation.reason != "no current lease";
      if (operation.outcome == "done") caller.position = std::max(caller.position, json.value("position", std::uint64_t{0}));
      caller.comeBack = std::chrono::milliseconds{json.value("come_back_ms", 0)};
    }
  } else if (outcome.fate == PassFate::unsent) {
    operation.outcome = "refused";
    operation.reason = "not sent";
  }
  if (operation.outcome == "done")
    for (const auto& token : operation.tokens) caller.own.insert(token);
  journal_.count(operation.kind.get() + "." + operation.outcome);
  operations_.push_back(std::move(operation));
  return stays;
}

Task<bool> StandinCallers::write(Caller& caller) {
  CallerOperation operation;
  operation.tokens = {token(caller)};
  operation.key = writeKey(caller);
  operation.startedAt = clock_.now();
  auto outcome = co_await run(caller, statement("statement", "append " + operation.key + " " + operation.tokens[0], false));
  co_return note(caller, std::move(operation), outcome, "unknown");
}

Task<bool> StandinCallers::transaction(Caller& caller) {
  CallerOperation operation;
  operation.tokens = {token(caller), token(caller)};
  operation.key = writeKey(caller);
  operation.startedAt = clock_.now();
  auto outcome = co_await run(caller, statement("begin", "", false));
  if (outcome.fate != PassFate::replied || outcome.status != 200) co_return note(caller, std::move(operation), outcome, "refused");
  for (const auto& each : operation.tokens) {
    co_await sleep(clock_, 5ms);
    if (below(1000) < caller.kind.walksAway) {
      caller.connection->close();
      operation.outcome = "refused";
      operation.reason = "walked away";
      WebOutcome walked{PassFate::unsent, 0, {}};
      co_return note(caller, std::move(operation), walked, "refused");
    }
    outcome = co_await run(caller, statement("statement", "append " + operation.key + " " + each, false));
    if (outcome.fate != PassFate::replied || outcome.status != 200) co_return note(caller, std::move(operation), outcome, "refused");
  }
  outcome = co_await run(caller, statement("commit", "", false));
  co_return note(caller, std::move(operation), outcome, "unknown");
}

Task<bool> StandinCallers::read(Caller& caller) {
  CallerOperation operation;
  bool other = !caller.kind.primary || below(4) == 0;
  const auto& writers = writersOf(caller.kind.service);
  auto whose = other ? below(writers.callers) : caller.number;
  operation.key = key(other ? writers.kind : caller.kind.kind, whose);
  operation.reads = true;
  operation.startedAt = clock_.now();
  if (!other) operation.ownBefore = caller.own;
  auto outcome = co_await run(caller, statement("statement", "get " + operation.key, true));
  co_return note(caller, std::move(operation), outcome, "refused");
}

Task<bool> StandinCallers::prepared(Caller& caller) {
  auto mine = caller.session + "/" + std::to_string(++caller.tokens);
  std::string text = "echo " + mine + " $1";
  texts_.insert(text);
  texts_.insert(mine);
  Json set{{"operation", "set"}, {"name", "who"}, {"text", mine}};
  Json prepare{{"operation", "prepare"}, {"name", "shape"}, {"text", text}};
  Json execute{{"operation", "execute"}, {"name", "shape"}, {"parameters", Json::array({"it's \"so\" \u00e9\U0001F98A"})}, {"reads", true}};
  std::vector<std::pair<std::string, std::string>> steps;
  steps.emplace_back(set.dump(), "");
  steps.emplace_back(prepare.dump(), "");
  steps.emplace_back(statement("statement", "show who", true), mine);
  steps.emplace_back(execute.dump(), "echo " + mine + " it's \"so\" \u00e9\U0001F98A");
  for (const auto& [body, expected] : steps) {
    CallerOperation operation;
    operation.reads = true;
    operation.startedAt = clock_.now();
    auto outcome = co_await run(caller, body);
    bool stays = note(caller, std::move(operation), outcome, "refused");
    const auto& noted = operations_.back();
    if (!expected.empty() && noted.outcome == "done" && noted.result != expected)
      faults_.push_back("session " + caller.session + " expected '" + expected + "' and got '" + noted.result + "'");
    if (!stays || noted.outcome != "done") co_return false;
  }
  co_return true;
}

}  // namespace tamarindshift
