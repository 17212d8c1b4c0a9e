#include "tests/scripted_back_ends.hpp"

#include <algorithm>

namespace tamarindshift {

struct ScriptedBackEnds::Wire {
  std::uint64_t number = 0;
  ScriptedDatabase* database = nullptr;
  bool open = true;
  bool running = false;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  std::map<std::string, std::string> valuesBefore;
  std::map<std::string, PreparedStatement> preparedBefore;
  TransactionState state = TransactionState::idle;
  std::string owner;
  bool plain = false;
  std::vector<std::string> written;
  Gate closed;
};

class ScriptedConnection : public BackEndConnection {
 public:
  ScriptedConnection(ScriptedBackEnds& backEnds, std::shared_ptr<ScriptedBackEnds::Wire> wire)
      : backEnds_(backEnds), wire_(std::move(wire)) {}
  ~ScriptedConnection() override { backEnds_.close(*wire_); }
  Task<BackEndReply> run(Statement statement, std::optional<LogPosition> after, Instant deadline) override {
    return backEnds_.run(wire_, std::move(statement), after, deadline);
  }
  bool usable() const override { return wire_->open; }
  void close() override { backEnds_.close(*wire_); }

 private:
  ScriptedBackEnds& backEnds_;
  std::shared_ptr<ScriptedBackEnds::Wire> wire_;
};

namespace {

std::string ownerOf(const std::string& id) {
  return id.substr(0, id.find('.'));
}

std::optional<StatementFault> notRun(std::optional<ScriptedOutcome> outcome) {
  if (outcome == ScriptedOutcome::busy) return StatementFault::busy;
  if (outcome == ScriptedOutcome::behind) return StatementFault::behind;
  if (outcome == ScriptedOutcome::readOnly) return StatementFault::readOnly;
  if (outcome == ScriptedOutcome::unknownName) return StatementFault::unknownName;
  return std::nullopt;
}

}  // namespace

ScriptedDatabase& ScriptedBackEnds::add(const std::string& name, bool primary, LogPosition place) {
  auto& database = databases_[name];
  database.name = name;
  database.primary = primary;
  database.place = place;
  return database;
}

void ScriptedBackEnds::rollBack(Wire& wire) {
  wire.state = TransactionState::idle;
  wire.written.clear();
}

void ScriptedBackEnds::close(Wire& wire) {
  if (!std::exchange(wire.open, false)) return;
  --wire.database->connections;
  if (!wire.running) rollBack(wire);
  wire.closed.open();
}

void ScriptedBackEnds::breakOff(const std::string& name) {
  for (const auto& weak : wires_)
    if (auto wire = weak.lock(); wire && wire->database->name == name) close(*wire);
}

Task<BackEndOpening> ScriptedBackEnds::open(DatabaseTarget target, Instant deadline) {
  BackEndOpening opening;
  auto& database = at(target.database.get());
  ++database.openings;
  database.lastOpening = clock_.now();
  auto how = database.dark ? ScriptedOpening::hangs : database.opening;
  if (how == ScriptedOpening::hangs) {
    co_await sleep(clock_, deadline - clock_.now());
    co_return opening;
  }
  co_await sleep(clock_, database.openWork);
  if (how == ScriptedOpening::refused) co_return opening;
  opening.answered = true;
  if (how == ScriptedOpening::overloaded) opening.fault = StatementFault::overloaded;
  if (how == ScriptedOpening::misdirected) opening.fault = StatementFault::misdirected;
  if (opening.fault != StatementFault::none) co_return opening;
  auto wire = std::make_shared<Wire>();
  wire->number = ++lastConnection_;
  wire->database = &database;
  wires_.push_back(wire);
  database.mostConnections = std::max(database.mostConnections, ++database.connections);
  opening.place = database.place;
  opening.connection = std::make_unique<ScriptedConnection>(*this, wire);
  co_return opening;
}

void ScriptedBackEnds::commit(ScriptedDatabase& database, std::vector<std::string> ids) {
  if (ids.empty()) return;
  database.place.position = Position{database.place.position.get() + 1};
  database.committed.insert(database.committed.end(), ids.begin(), ids.end());
  for (auto& [name, other] : databases_) {
    if (&other == &database || !other.follows) continue;
    clock_.after(other.lag, [&other, place = database.place] {
      other.place = std::max(other.place, place);
    });
  }
}

StatementFault ScriptedBackEnds::effect(Wire& wire, ScriptedRun& run) {
  auto& database = *wire.database;
  const auto& statement = run.statement;
  bool open = wire.state != TransactionState::idle;
  auto violate = [&](const std::string& what) {
    violations.push_back(what + ": " + statement.id + " " + statement.text + " at connection " + std::to_string(wire.number));
    return StatementFault::malformed;
  };
  bool control = statement.kind == StatementKind::set || statement.kind == StatementKind::reset ||
                 statement.kind == StatementKind::discard || statement.kind == StatementKind::prepareRead ||
                 statement.kind == StatementKind::prepareWrite;
  if (wire.state == TransactionState::failed && statement.kind != StatementKind::rollback && statement.kind != StatementKind::commit)
    return violate("a statement in a failed transaction");
  if (open && !statement.id.empty() && ownerOf(statement.id) != wire.owner) return violate("a statement in another's transaction");
  if (!control && !statement.id.empty() && run.after && database.place < *run.after) return StatementFault::behind;
  switch (statement.kind) {
    case StatementKind::begin:
    case StatementKind::beginRead:
      if (open) return violate("BEGIN in a transaction");
      if (statement.kind == StatementKind::begin && !database.primary) return StatementFault::readOnly;
      wire.state = TransactionState::open;
      wire.owner = ownerOf(statement.id);
      wire.plain = statement.kind == StatementKind::begin;
      wire.valuesBefore = wire.values;
      wire.preparedBefore = wire.prepared;
      break;
    case StatementKind::commit:
    case StatementKind::rollback: {
      if (!open) return violate("an end without a transaction");
      if (statement.kind == StatementKind::commit && !database.primary && !wire.written.empty()) return StatementFault::readOnly;
      bool keeps = statement.kind == StatementKind::commit && wire.state == TransactionState::open;
      auto ids = std::exchange(wire.written, {});
      auto before = std::exchange(wire.state, TransactionState::idle);
      if (keeps) commit(database, ids);
      if (!keeps && database.rollbackForgets) {
        wire.values = wire.valuesBefore;
        wire.prepared = wire.preparedBefore;
      }
      if (statement.kind == StatementKind::commit && before == TransactionState::failed) return StatementFault::aborted;
      break;
    }
    case StatementKind::set:
      wire.values[statement.name] = statement.value;
      break;
    case StatementKind::prepareRead:
    case StatementKind::prepareWrite:
      if (wire.prepared.contains(statement.name)) return violate("PREPARE of a name that exists");
      wire.prepared[statement.name] = PreparedStatement{statement.kind == StatementKind::prepareWrite, statement.value};
      break;
    case StatementKind::discard:
      if (wire.prepared.erase(statement.name) == 0) return violate("DISCARD of no name");
      break;
    case StatementKind::reset:
      if (open) return violate("RESET in a transaction");
      wire.values.clear();
      wire.prepared.clear();
      break;
    case StatementKind::read:
    case StatementKind::write:
    case StatementKind::execute: {
      auto prepared = wire.prepared.find(statement.name);
      if (statement.kind == StatementKind::execute && prepared == wire.prepared.end()) return StatementFault::unknownName;
      bool writes = statement.kind == StatementKind::write || (statement.kind == StatementKind::execute && prepared->second.writes);
      if (!database.primary && (writes || (open && wire.plain))) return StatementFault::readOnly;
      if (writes && open) wire.written.push_back(statement.id);
      if (writes && !open) commit(database, {statement.id});
      break;
    }
  }
  run.ran = true;
  return StatementFault::none;
}

BackEndReply ScriptedBackEnds::execute(Wire& wire, std::size_t number, std::optional<ScriptedOutcome> outcome) {
  auto& run = runs[number];
  BackEndReply reply;
  reply.fate = BackEndFate::replied;
  bool open = wire.state == TransactionState::open;
  if (auto fault = notRun(outcome)) {
    reply.fault = *fault;
    if (open && *fault == StatementFault::readOnly) wire.state = TransactionState::failed;
  } else if (outcome == ScriptedOutcome::failed || outcome == ScriptedOutcome::expired) {
    run.ran = true;
    reply.fault = outcome == ScriptedOutcome::failed ? StatementFault::failed : StatementFault::timedOut;
    if (open) wire.state = TransactionState::failed;
  } else {
    reply.fault = effect(wire, run);
    if (open && reply.fault != StatementFault::none && wire.state == TransactionState::open) wire.state = TransactionState::failed;
  }
  if (reply.fault != StatementFault::none) reply.reason = "scripted";
  bool stamped = reply.fault == StatementFault::none && !run.statement.id.empty();
  bool reads = run.statement.kind == StatementKind::read || run.statement.kind == StatementKind::execute;
  if (stamped) run.stamp = run.database + "." + std::to_string(run.number);
  reply.stamp = stamped ? run.stamp : "-";
  if (stamped && reads) reply.rows.push_back("row of " + run.statement.text);
  reply.state = wire.state;
  reply.place = wire.database->place;
  run.place = wire.database->place;
  if (run.ran && observed) observed(run);
  return reply;
}

Task<BackEndReply> ScriptedBackEnds::run(std::shared_ptr<Wire> wire, Statement statement, std::optional<LogPosition> after,
                                         Instant deadline) {
  BackEndReply reply;
  if (!wire->open) co_return reply;
  auto& database = *wire->database;
  std::optional<ScriptedOutcome> outcome;
  if (auto& scripted = database.next[statement.kind]; !scripted.empty()) {
    outcome = scripted.front();
    scripted.pop_front();
  }
  if (outcome == ScriptedOutcome::unsent) {
    close(*wire);
    co_return reply;
  }
  if (std::exchange(wire->running, true)) violations.push_back("two statements at once: " + statement.id + " " + statement.text);
  auto number = runs.size();
  runs.push_back(ScriptedRun{number,
                             wire->number,
                             database.name,
                             statement,
                             after,
                             wire->values,
                             wire->prepared,
                             database.place,
                             wire->state != TransactionState::idle,
                             false,
                             clock_.now(),
                             {}});
  reply.fate = BackEndFate::lost;
  auto work = database.work + (outcome == ScriptedOutcome::slow ? database.slowness : Duration::zero());
  auto doneAt = clock_.now() + work;
  bool silent = database.dark || outcome == ScriptedOutcome::silent;
  if (outcome == ScriptedOutcome::lostBeforeRunning) close(*wire);
  while (wire->open && clock_.now() < std::min(doneAt, deadline)) {
    auto until = std::min(doneAt, deadline);
    co_await wire->closed.wait(clock_, until);
  }
  if (outcome != ScriptedOutcome::lostBeforeRunning && clock_.now() < deadline) {
    auto executed = execute(*wire, number, outcome);
    if (outcome == ScriptedOutcome::lostAfterRunning) close(*wire);
    silent = silent || database.dark;
    if (wire->open && !silent) reply = std::move(executed);
  }
  while (silent && wire->open && clock_.now() < deadline) co_await wire->closed.wait(clock_, deadline);
  if (reply.fate != BackEndFate::replied) close(*wire);
  wire->running = false;
  if (!wire->open) rollBack(*wire);
  co_return reply;
}

}  // namespace tamarindshift
