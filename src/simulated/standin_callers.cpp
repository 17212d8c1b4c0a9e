#include "simulated/standin_callers.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "proxy/database_json.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

struct StandinCallers::Caller {
  std::size_t number = 0;
  CallerKind kind;
  std::size_t moves = 0;
  std::unique_ptr<WebConnection> connection;
  std::string session;
  Address at;
  std::size_t sessionNumber = 0;
  std::uint64_t sequence = 0;
  std::uint64_t transaction = 0;
  std::uint64_t transactions = 0;
  std::uint64_t tokens = 0;
  std::uint64_t reads = 0;
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
  ++running_;
  co_await sleep(clock_, Duration{below(static_cast<std::uint64_t>(kind.pause.count()) + 1)});
  while (!stopping_) {
    co_await visit(caller);
    caller.connection.reset();
    co_await sleep(clock_, std::max(caller.comeBack, Duration{50ms}));
    caller.comeBack = {};
  }
  --running_;
}

std::vector<Address> StandinCallers::nodesFor(const Caller& caller) const {
  std::vector<Address> own;
  std::vector<Address> others;
  auto zone = (caller.number + caller.moves) % settings_.zones;
  for (std::size_t index = 0; index < settings_.proxies.size(); ++index)
    (index % settings_.zones == zone ? own : others).push_back(settings_.proxies[index]);
  if (!own.empty())
    std::rotate(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(caller.number / settings_.zones % own.size()), own.end());
  own.insert(own.end(), others.begin(), others.end());
  return own;
}

Task<void> StandinCallers::visit(Caller& caller) {
  caller.moves = moves_;
  auto began = clock_.now();
  auto turnedAway = [&](const std::string& body) {
    CallerOperation operation;
    operation.startedAt = began;
    note(caller, std::move(operation), WebOutcome{body.empty() ? PassFate::unsent : PassFate::replied, 503, body}, "no-session",
         "no-session");
    operations_.back().outcome = "no-session";
  };
  std::optional<WebOutcome> ready;
  Address proxy;
  for (const auto& node : nodesFor(caller)) {
    proxy = node;
    ready = co_await web_.call(proxy, "GET", "/ready", {}, clock_.now() + 500ms);
    if (stopping_ || (ready && ready->status == 200)) break;
  }
  if (!ready || ready->status != 200) co_return turnedAway(ready ? ready->body : "");
  caller.connection = co_await web_.open(proxy, clock_.now() + 1s);
  if (!caller.connection) co_return turnedAway("");
  Json open{{"kind", caller.kind.kind.get()}};
  if (caller.position > 0) open["after"][caller.kind.service.get()] = caller.position;
  auto opened = co_await caller.connection->exchange("POST", "/sessions", open.dump(), clock_.now() + 2s);
  if (opened.fate != PassFate::replied || opened.status != 201) co_return turnedAway(opened.fate == PassFate::replied ? opened.body : "");
  caller.session = Json::parse(opened.body).at("session").get<std::string>();
  caller.at = proxy;
  caller.sessionNumber = ++sessions_;
  caller.sequence = caller.transaction = 0;
  bool well = true;
  while (!stopping_ && well && caller.moves == moves_) {
    auto pause = caller.kind.pause * 100 / pace_;
    co_await sleep(clock_, pause / 2 + Duration{below(static_cast<std::uint64_t>(pause.count()) + 1)});
    if (stopping_) break;
    well = co_await act(caller);
    if (well && caller.comeBack > Duration::zero()) {
      co_await sleep(clock_, caller.comeBack);
      caller.comeBack = {};
    }
  }
  if (well && caller.connection->usable())
    co_await caller.connection->exchange("DELETE", "/sessions/" + caller.session, {}, clock_.now() + 1s);
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

DatabaseRequest StandinCallers::statement(std::string text, bool reads) {
  DatabaseRequest request;
  request.text = std::move(text);
  request.reads = reads;
  return request;
}

Task<WebOutcome> StandinCallers::run(Caller& caller, DatabaseRequest request, std::optional<KindName> kind) {
  auto operation = request.operation;
  if (operation == Operation::begin) caller.transaction = ++caller.transactions;
  auto place = sent_.size();
  sent_.push_back(SentRequest{caller.sessionNumber, ++caller.sequence, caller.transaction, kind.value_or(caller.kind.kind), caller.at,
                              request, clock_.now(), Instant::max()});
  auto body = Json::parse(requestToJson(request));
  if (request.text.empty()) body.erase("text");
  if (kind) body["kind"] = kind->get();
  auto outcome =
      co_await caller.connection->exchange("POST", "/sessions/" + caller.session + "/run", body.dump(), clock_.now() + settings_.patience);
  sent_[place].endedAt = clock_.now();
  bool ended =
      operation == Operation::commit || operation == Operation::rollback || outcome.fate != PassFate::replied || outcome.status != 200;
  if (ended) caller.transaction = 0;
  co_return outcome;
}

bool StandinCallers::note(Caller& caller, CallerOperation operation, const WebOutcome& outcome, const std::string& whenLost,
                          const std::string& whenDone) {
  operation.caller = caller.number;
  if (operation.kind.get().empty()) operation.kind = caller.kind.kind;
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
      stays = outcome.status != 404 && outcome.status != 410 && operation.reason != "this node is leaving" &&
              operation.reason != "no current lease";
      if (operation.outcome == "done") operation.outcome = whenDone;
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
  auto outcome = co_await run(caller, statement("append " + operation.key + " " + operation.tokens[0], false));
  co_return note(caller, std::move(operation), outcome, "unknown");
}

Task<bool> StandinCallers::transaction(Caller& caller) {
  CallerOperation operation;
  for (std::size_t step = 0; step < caller.kind.steps; ++step) operation.tokens.push_back(token(caller));
  operation.key = writeKey(caller);
  operation.startedAt = clock_.now();
  DatabaseRequest begin, commit;
  begin.operation = Operation::begin;
  commit.operation = Operation::commit;
  auto outcome = co_await run(caller, begin);
  if (outcome.fate != PassFate::replied || outcome.status != 200) co_return note(caller, std::move(operation), outcome, "refused");
  for (const auto& each : operation.tokens) {
    co_await sleep(clock_, caller.kind.idle);
    if (below(1000) < caller.kind.walksAway) {
      caller.connection->close();
      operation.outcome = "refused";
      operation.reason = "walked away";
      WebOutcome walked{PassFate::unsent, 0, {}};
      co_return note(caller, std::move(operation), walked, "refused");
    }
    outcome = co_await run(caller, statement("append " + operation.key + " " + each, false));
    if (outcome.fate != PassFate::replied || outcome.status != 200) co_return note(caller, std::move(operation), outcome, "refused");
  }
  if (below(10) == 0) {
    commit.operation = Operation::rollback;
    outcome = co_await run(caller, commit);
    co_return note(caller, std::move(operation), outcome, "refused", "rolled-back");
  }
  outcome = co_await run(caller, commit);
  co_return note(caller, std::move(operation), outcome, "unknown");
}

Task<bool> StandinCallers::read(Caller& caller) {
  CallerOperation operation;
  bool own = caller.kind.primary && below(1000) < caller.kind.ownReads;
  bool other = !own && (!caller.kind.primary || below(4) == 0);
  const auto& writers = writersOf(caller.kind.service);
  auto whose = other ? below(writers.callers) : caller.number;
  operation.key = key(other ? writers.kind : caller.kind.kind, whose);
  operation.reads = true;
  operation.startedAt = clock_.now();
  if (!other) operation.ownBefore = caller.own;
  std::optional<KindName> kind;
  if (own) kind = KindName{(below(2) == 0 ? "lookup" : "status") + caller.kind.service.get().substr(1)};
  auto text = "get " + operation.key + " " + std::to_string(caller.sessionNumber) + ":" + std::to_string(++caller.reads);
  auto outcome = co_await run(caller, statement(text, true), kind);
  if (kind) operation.kind = *kind;
  co_return note(caller, std::move(operation), outcome, "refused");
}

Task<bool> StandinCallers::prepared(Caller& caller) {
  auto mine = caller.session + "/" + std::to_string(++caller.tokens);
  DatabaseRequest set, prepare, execute;
  set.operation = Operation::set;
  set.name = "who";
  set.text = mine;
  prepare.operation = Operation::prepare;
  prepare.name = "shape";
  prepare.text = "echo " + mine + " $1";
  execute.operation = Operation::execute;
  execute.name = "shape";
  execute.parameters = {"it's \"so\" \u00e9\U0001F98A", mine};
  execute.reads = true;
  std::vector<std::pair<DatabaseRequest, std::string>> steps{
      {set, ""}, {prepare, ""}, {statement("show who " + mine, true), mine}, {execute, "echo " + mine + " " + *execute.parameters[0]}};
  for (const auto& [request, expected] : steps) {
    CallerOperation operation;
    operation.reads = true;
    operation.startedAt = clock_.now();
    auto outcome = co_await run(caller, request);
    bool stays = note(caller, std::move(operation), outcome, "refused");
    const auto& noted = operations_.back();
    if (!expected.empty() && noted.outcome == "done" && noted.result != expected)
      faults_.push_back("session " + caller.session + " expected '" + expected + "' and got '" + noted.result + "'");
    if (!stays || noted.outcome != "done") co_return false;
  }
  co_return true;
}

}  // namespace tamarindshift
