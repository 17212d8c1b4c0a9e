#include "tests/pooler_trial.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

#include "../platform/wire_words.hpp"

namespace tamarindshift {

namespace {

const Address node{"10.1.0.1:1"};
constexpr std::uint64_t boot = 5;
const ServiceName serviceName{"s1"};
const BranchName branch{"work"};

bool guaranteesNoEffect(StatementFault fault) {
  return fault == StatementFault::busy || fault == StatementFault::aborted || fault == StatementFault::behind ||
         fault == StatementFault::readOnly || fault == StatementFault::misdirected || fault == StatementFault::overloaded;
}

}  // namespace

std::string SentStatement::outcome() const {
  if (!reply) return "no reply";
  return reply->fault == StatementFault::none ? "OK" : platform::faultWord(reply->fault);
}

TrialClient::TrialClient(PoolerTrial& trial, std::string name, const std::string& host)
    : trial_(trial), name_(std::move(name)), host_(host) {
  session = trial_.pooler->open(host, refusal);
  trial_.clients_[name_] = this;
}

TrialClient::~TrialClient() {
  leave();
  trial_.clients_.erase(name_);
}

void TrialClient::leave() {
  if (session) trial_.pooler->closeSession(session);
  session = nullptr;
}

std::shared_ptr<SentStatement> TrialClient::start(const std::string& text) {
  last = std::make_shared<SentStatement>();
  last->id = name_ + "." + std::to_string(++lastNumber_);
  last->text = text;
  last->sentAt = trial_.world.now();
  REQUIRE(session);
  trial_.scope_.spawn(send(last));
  return last;
}

Task<void> TrialClient::send(std::shared_ptr<SentStatement> asked) {
  auto statement = platform::clientStatement(asked->id, asked->text);
  if (!statement) {
    trial_.violations.push_back("not a statement: " + asked->text);
    co_return;
  }
  bool begins = statement->kind == StatementKind::begin || statement->kind == StatementKind::beginRead;
  if (begins && !inTransaction_) {
    writes_.clear();
    pinned_ = 0;
    transactionAt_ = asked->sentAt;
  }
  auto held = session;
  auto reply = co_await trial_.pooler->run(held, *statement);
  asked->reply = std::move(reply);
  asked->repliedAt = trial_.world.now();
  checkReply(*asked);
}

void TrialClient::checkReply(const SentStatement& asked) {
  auto statement = *platform::clientStatement(asked.id, asked.text);
  const auto& reply = *asked.reply;
  bool succeeded = reply.fault == StatementFault::none;
  bool single = !inTransaction_;
  bool writes = statement.kind == StatementKind::write ||
                (statement.kind == StatementKind::execute && prepared_.contains(statement.name) && prepared_.at(statement.name).writes);
  bool ends = statement.kind == StatementKind::commit || statement.kind == StatementKind::rollback;
  bool begins = statement.kind == StatementKind::begin || statement.kind == StatementKind::beginRead;
  bool atDatabase = statement.kind == StatementKind::read || statement.kind == StatementKind::write ||
                    statement.kind == StatementKind::execute || statement.kind == StatementKind::commit;
  if (statement.kind == StatementKind::set && succeeded) values_[statement.name] = statement.value;
  if (succeeded && (statement.kind == StatementKind::prepareRead || statement.kind == StatementKind::prepareWrite))
    prepared_[statement.name] = PreparedStatement{statement.kind == StatementKind::prepareWrite, statement.value};
  if (statement.kind == StatementKind::discard && succeeded) prepared_.erase(statement.name);
  if (begins && succeeded) inTransaction_ = true;
  if (writes) writes_.push_back(asked.id);
  if (succeeded && atDatabase) {
    auto same = [&](const ScriptedRun& run) {
      return run.statement.id == asked.id && run.ran && run.stamp == reply.stamp;
    };
    if (std::none_of(trial_.backEnds.runs.begin(), trial_.backEnds.runs.end(), same))
      trial_.violations.push_back("success without the database's completion tag: " + asked.id);
  }
  if (succeeded && !atDatabase && reply.stamp != "-")
    trial_.violations.push_back("reply of the pooler itself with a completion tag: " + asked.id);
  if (succeeded && ((single && writes) || statement.kind == StatementKind::commit)) {
    for (const auto& id : writes_) trial_.acknowledgedWrites_[id] = asked.id;
    if (!writes_.empty()) trial_.acknowledged_.emplace_back(trial_.world.now(), trial_.positions_[asked.id]);
  }
  bool rolledBack = statement.kind == StatementKind::rollback && succeeded && inTransaction_;
  if (guaranteesNoEffect(reply.fault) || rolledBack)
    for (const auto& id : writes_) trial_.mustNotCommit_.insert(id);
  if (reply.state == TransactionState::idle) inTransaction_ = false;
  if (single || (ends && !inTransaction_)) writes_.clear();
}

std::string TrialClient::finish(const std::shared_ptr<SentStatement>& asked) {
  trial_.runUntil(30s, [&] {
    return asked->reply.has_value();
  });
  REQUIRE(asked->reply);
  return asked->outcome();
}

std::string TrialClient::ask(const std::string& text) {
  return finish(start(text));
}

PoolerTrial::PoolerTrial(Options options)
    : world(options.seed),
      clock(world),
      updates(clock),
      guide(clock, updates, node, boot),
      journal("pooler", [](const std::string&) {}),
      backEnds(clock),
      settings(options.settings) {
  settings.node = node;
  settings.zone = Zone{"z1"};
  backEnds.onRun = [this](const ScriptedRun& run) {
    observe(run);
  };
  backEnds.add("d1", true, LogPosition{Epoch{3}, Position{100}});
  backEnds.add("d2", false, LogPosition{Epoch{3}, Position{100}});
  backEnds.add("d3", false, LogPosition{Epoch{3}, Position{100}});
  pooler.emplace(clock, guide, backEnds, journal, settings, boot, [this](NodeReport report) {
    reports.push_back(std::move(report));
  });
  if (!options.published) return;
  addRoute("strict", Consistency::primary);
  addRoute("bounded", Consistency::lookups);
  addRoute("house", Consistency::status);
  publishFleet();
  for (const char* name : {"d1", "d2", "d3"}) publishDatabase(name);
  publishPrimary(1, "d1", true);
  publishShare(options.share);
  publishService();
  run(700ms);
}

PoolerTrial::~PoolerTrial() {
  scope_.clear();
  checkPromises();
  for (const auto& each : backEnds.violations) violations.push_back(each);
  CHECK(violations == std::vector<std::string>{});
  pooler.reset();
}

void PoolerTrial::checkPromises() {
  std::map<std::string, int> times;
  for (const auto& [name, database] : backEnds.databases())
    for (const auto& id : database.committed) ++times[id];
  for (const auto& [id, count] : times)
    if (count > 1) violations.push_back("committed twice: " + id);
  for (const auto& id : mustNotCommit_)
    if (times.contains(id)) violations.push_back("committed although the reply guaranteed no effect: " + id);
  for (const auto& [id, by] : acknowledgedWrites_)
    if (!times.contains(id)) violations.push_back("acknowledged but not committed: " + id + " by " + by);
}

void PoolerTrial::observe(const ScriptedRun& run) {
  const auto& id = run.statement.id;
  auto found = clients_.find(id.substr(0, id.find('.')));
  if (id.empty() || found == clients_.end()) return;
  positions_[id] = run.logPosition;
  auto& client = *found->second;
  auto violate = [&](const std::string& what) {
    violations.push_back(what + ": " + id + " " + run.statement.text);
  };
  bool read = run.statement.kind == StatementKind::read || run.statement.kind == StatementKind::execute;
  bool begins = run.statement.kind == StatementKind::begin || run.statement.kind == StatementKind::beginRead;
  if (!begins && run.statement.kind != StatementKind::commit && run.values != client.values_) violate("variables differ from the client's");
  if (run.statement.kind == StatementKind::execute) {
    auto held = run.prepared.find(run.statement.name);
    auto own = client.prepared_.find(run.statement.name);
    if (held == run.prepared.end() || own == client.prepared_.end() || held->second != own->second)
      violate("prepared statement differs from the client's");
  }
  if (client.inTransaction_ != run.inTransaction && !begins) violate("transaction state differs from the client's");
  if (client.inTransaction_) {
    if (client.pinned_ == 0 || begins) client.pinned_ = run.connection;
    if (client.pinned_ != run.connection) violate("not on the connection of its transaction");
  }
  if (!read) return;
  auto consistency = kinds.contains(KindName{client.host_}) ? kinds.at(KindName{client.host_}).consistency : Consistency::primary;
  auto bound = consistency == Consistency::primary ? Duration::zero() : kinds.at(KindName{client.host_}).stalenessBound();
  auto since = (client.inTransaction_ ? client.transactionAt_ : client.last->sentAt) - bound;
  for (const auto& [at, logPosition] : acknowledged_)
    if (at < since && run.logPosition < logPosition) return violate("a stale read");
}

bool PoolerTrial::runUntil(Duration atMost, const std::function<bool()>& reached) {
  auto deadline = world.now() + atMost;
  while (world.now() < deadline && !reached()) run(1ms);
  return reached();
}

std::unique_ptr<TrialClient> PoolerTrial::client(const std::string& name, const std::string& host) {
  return std::make_unique<TrialClient>(*this, name, host);
}

void PoolerTrial::publishFleet() {
  PublishedFleetPlan plan;
  plan.mark = PlanVersion{++planMark_};
  for (const auto& [name, kind] : kinds) plan.kinds[name] = kind.service;
  plan.limits["idle-transaction-ms"] = 3000;
  updates.putPlan(fleetTopic, plan);
  PublishedNode own;
  own.zone = settings.zone;
  own.boot = boot;
  updates.put(fleetTopic, "node/" + node.get(), own);
}

void PoolerTrial::publishService(const std::string& name) {
  PublishedServicePlan service;
  service.mark = PlanVersion{planMark_};
  service.service.discovered = true;
  service.service.connections = 100;
  service.service.branches[branch].connections = 100;
  for (const auto& [kindName, kind] : kinds)
    if (kind.service == ServiceName{name}) service.kinds[kindName] = kind;
  updates.putPlan(name, service);
}

void PoolerTrial::publishPrimary(std::uint64_t epoch, const std::string& name, bool promoted, bool planned, const std::string& service) {
  updates.put(service, "primary", PublishedPrimary{Epoch{epoch}, DatabaseName{name}, promoted, planned});
}

void PoolerTrial::publishShare(std::uint32_t most, const std::string& service) {
  PublishedShare own;
  own.connections[branch] = most;
  updates.put(service, "share/" + node.get(), own);
}

void PoolerTrial::publishDatabase(const std::string& name, const std::string& zone, const std::string& service) {
  updates.put(service, "database/" + name, PublishedDatabase{Address{"10.2.0." + name.substr(1) + ":1"}, Zone{zone}, 100});
}

void PoolerTrial::publishDrained(const std::string& name) {
  updates.put("s1", "drained/" + name, std::string{});
}

void PoolerTrial::makePrimary(const std::string& name) {
  std::uint64_t term = 0;
  for (const auto& [each, database] : backEnds.databases()) {
    backEnds.at(each).primary = each == name;
    term = std::max(term, database.logPosition.epoch.get());
  }
  backEnds.at(name).logPosition.epoch = Epoch{term + 1};
}

void PoolerTrial::addRoute(const std::string& name, Consistency consistency, std::uint32_t order) {
  auto& own = kinds[KindName{name}];
  own.service = serviceName;
  own.branch = branch;
  own.consistency = consistency;
  own.statementTimeout = 1000ms;
  own.order = order;
  own.host = name;
}

void PoolerTrial::setStatementTimeout(const std::string& route, Duration timeout) {
  kinds.at(KindName{route}).statementTimeout = timeout;
  publishFleet();
  publishService();
  run(10ms);
}

const ServiceReport& PoolerTrial::serviceReport() const {
  static const ServiceReport none;
  for (auto report = reports.rbegin(); report != reports.rend(); ++report)
    if (auto found = report->services.find(serviceName); found != report->services.end()) return found->second;
  return none;
}

std::vector<ScriptedRun> PoolerTrial::runsOf(const std::string& text) const {
  std::vector<ScriptedRun> found;
  for (const auto& run : backEnds.runs)
    if (run.statement.text == text) found.push_back(run);
  return found;
}

std::size_t PoolerTrial::committed(const std::string& id) const {
  std::size_t times = 0;
  for (const auto& [name, database] : backEnds.databases())
    times += static_cast<std::size_t>(std::count(database.committed.begin(), database.committed.end(), id));
  return times;
}

std::vector<std::string> PoolerTrial::idsOf(const std::string& text) const {
  std::vector<std::string> ids;
  for (const auto& run : runsOf(text)) ids.push_back(run.statement.id);
  return ids;
}

std::uint64_t PoolerTrial::counterValue(const std::string& name) const {
  auto found = journal.counters().find(name);
  return found == journal.counters().end() ? 0 : found->second;
}

}  // namespace tamarindshift
