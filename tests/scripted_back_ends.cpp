#include "tests/scripted_back_ends.hpp"

#include <algorithm>

namespace tamarindshift {

struct ScriptedBackEnds::ServerConnection {
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
  ScriptedConnection(ScriptedBackEnds& backEnds, std::shared_ptr<ScriptedBackEnds::ServerConnection> connection)
      : backEnds_(backEnds), connection_(std::move(connection)) {}
  ~ScriptedConnection() override { backEnds_.close(*connection_); }
  Task<BackEndReply> run(Statement statement, std::optional<LogPosition> minPosition, Instant deadline) override {
    return backEnds_.run(connection_, std::move(statement), minPosition, deadline);
  }
  bool usable() const override { return connection_->open; }
  void close() override { backEnds_.close(*connection_); }

 private:
  ScriptedBackEnds& backEnds_;
  std::shared_ptr<ScriptedBackEnds::ServerConnection> connection_;
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

ScriptedDatabase& ScriptedBackEnds::add(const std::string& name, bool primary, LogPosition logPosition) {
  auto& database = databases_[name];
  database.name = name;
  database.primary = primary;
  database.logPosition = logPosition;
  return database;
}

void ScriptedBackEnds::rollBack(ServerConnection& connection) {
  connection.state = TransactionState::idle;
  connection.written.clear();
}

void ScriptedBackEnds::close(ServerConnection& connection) {
  if (!std::exchange(connection.open, false)) return;
  --connection.database->connections;
  if (!connection.running) rollBack(connection);
  connection.closed.open();
}

void ScriptedBackEnds::closeConnections(const std::string& name) {
  for (const auto& weak : connections_)
    if (auto connection = weak.lock(); connection && connection->database->name == name) close(*connection);
}

Task<BackEndOpenResult> ScriptedBackEnds::open(DatabaseTarget target, Instant deadline) {
  BackEndOpenResult opening;
  auto& database = at(target.database.get());
  ++database.openings;
  database.lastOpening = clock_.now();
  auto how = database.unresponsive ? ScriptedOpening::hangs : database.opening;
  if (how == ScriptedOpening::hangs) {
    co_await sleep(clock_, deadline - clock_.now());
    co_return opening;
  }
  co_await sleep(clock_, database.openTime);
  if (how == ScriptedOpening::refused) co_return opening;
  opening.answered = true;
  if (how == ScriptedOpening::overloaded) opening.fault = StatementFault::overloaded;
  if (how == ScriptedOpening::misdirected) opening.fault = StatementFault::misdirected;
  if (opening.fault != StatementFault::none) co_return opening;
  auto connection = std::make_shared<ServerConnection>();
  connection->number = ++lastConnection_;
  connection->database = &database;
  connections_.push_back(connection);
  database.peakConnections = std::max(database.peakConnections, ++database.connections);
  opening.logPosition = database.logPosition;
  opening.connection = std::make_unique<ScriptedConnection>(*this, connection);
  co_return opening;
}

void ScriptedBackEnds::commit(ScriptedDatabase& database, std::vector<std::string> ids) {
  if (ids.empty()) return;
  database.logPosition.position = Position{database.logPosition.position.get() + 1};
  database.committed.insert(database.committed.end(), ids.begin(), ids.end());
  for (auto& [name, other] : databases_) {
    if (&other == &database || !other.replicates) continue;
    clock_.after(other.lag, [&other, logPosition = database.logPosition] {
      other.logPosition = std::max(other.logPosition, logPosition);
    });
  }
}

StatementFault ScriptedBackEnds::effect(ServerConnection& connection, ScriptedRun& run) {
  auto& database = *connection.database;
  const auto& statement = run.statement;
  bool open = connection.state != TransactionState::idle;
  auto violate = [&](const std::string& what) {
    violations.push_back(what + ": " + statement.id + " " + statement.text + " at connection " + std::to_string(connection.number));
    return StatementFault::malformed;
  };
  bool control = statement.kind == StatementKind::set || statement.kind == StatementKind::reset ||
                 statement.kind == StatementKind::discard || statement.kind == StatementKind::prepareRead ||
                 statement.kind == StatementKind::prepareWrite;
  if (connection.state == TransactionState::failed && statement.kind != StatementKind::rollback && statement.kind != StatementKind::commit)
    return violate("statement in a failed transaction");
  if (open && !statement.id.empty() && ownerOf(statement.id) != connection.owner)
    return violate("statement in the transaction of another client");
  if (!control && !statement.id.empty() && run.minPosition && database.logPosition < *run.minPosition) return StatementFault::behind;
  switch (statement.kind) {
    case StatementKind::begin:
    case StatementKind::beginRead:
      if (open) return violate("BEGIN in a transaction");
      if (statement.kind == StatementKind::begin && !database.primary) return StatementFault::readOnly;
      connection.state = TransactionState::open;
      connection.owner = ownerOf(statement.id);
      connection.plain = statement.kind == StatementKind::begin;
      connection.valuesBefore = connection.values;
      connection.preparedBefore = connection.prepared;
      break;
    case StatementKind::commit:
    case StatementKind::rollback: {
      if (!open) return violate("COMMIT or ROLLBACK without a transaction");
      if (statement.kind == StatementKind::commit && !database.primary && !connection.written.empty()) return StatementFault::readOnly;
      bool keeps = statement.kind == StatementKind::commit && connection.state == TransactionState::open;
      auto ids = std::exchange(connection.written, {});
      auto before = std::exchange(connection.state, TransactionState::idle);
      if (keeps) commit(database, ids);
      if (!keeps && database.rollbackRestoresState) {
        connection.values = connection.valuesBefore;
        connection.prepared = connection.preparedBefore;
      }
      if (statement.kind == StatementKind::commit && before == TransactionState::failed) return StatementFault::aborted;
      break;
    }
    case StatementKind::set:
      connection.values[statement.name] = statement.value;
      break;
    case StatementKind::prepareRead:
    case StatementKind::prepareWrite:
      if (connection.prepared.contains(statement.name)) return violate("PREPARE of a name that is already prepared");
      connection.prepared[statement.name] = PreparedStatement{statement.kind == StatementKind::prepareWrite, statement.value};
      break;
    case StatementKind::discard:
      if (connection.prepared.erase(statement.name) == 0) return violate("DISCARD of a name that is not prepared");
      break;
    case StatementKind::reset:
      if (open) return violate("RESET in a transaction");
      connection.values.clear();
      connection.prepared.clear();
      break;
    case StatementKind::read:
    case StatementKind::write:
    case StatementKind::execute: {
      auto prepared = connection.prepared.find(statement.name);
      if (statement.kind == StatementKind::execute && prepared == connection.prepared.end()) return StatementFault::unknownName;
      bool writes = statement.kind == StatementKind::write || (statement.kind == StatementKind::execute && prepared->second.writes);
      if (!database.primary && (writes || (open && connection.plain))) return StatementFault::readOnly;
      if (writes && open) connection.written.push_back(statement.id);
      if (writes && !open) commit(database, {statement.id});
      break;
    }
  }
  run.ran = true;
  return StatementFault::none;
}

BackEndReply ScriptedBackEnds::execute(ServerConnection& connection, std::size_t number, std::optional<ScriptedOutcome> outcome) {
  auto& run = runs[number];
  BackEndReply reply;
  reply.outcome = BackEndOutcome::replied;
  bool open = connection.state == TransactionState::open;
  if (auto fault = notRun(outcome)) {
    reply.fault = *fault;
    if (open && *fault == StatementFault::readOnly) connection.state = TransactionState::failed;
  } else if (outcome == ScriptedOutcome::failed || outcome == ScriptedOutcome::expired) {
    run.ran = true;
    reply.fault = outcome == ScriptedOutcome::failed ? StatementFault::failed : StatementFault::timedOut;
    if (open) connection.state = TransactionState::failed;
  } else {
    reply.fault = effect(connection, run);
    if (open && reply.fault != StatementFault::none && connection.state == TransactionState::open)
      connection.state = TransactionState::failed;
  }
  if (reply.fault != StatementFault::none) reply.reason = "scripted";
  bool stamped = reply.fault == StatementFault::none && !run.statement.id.empty();
  bool reads = run.statement.kind == StatementKind::read || run.statement.kind == StatementKind::execute;
  if (stamped) run.stamp = run.database + "." + std::to_string(run.number);
  reply.stamp = stamped ? run.stamp : "-";
  if (stamped && reads) reply.rows.push_back("row of " + run.statement.text);
  reply.state = connection.state;
  reply.logPosition = connection.database->logPosition;
  run.logPosition = connection.database->logPosition;
  if (run.ran && onRun) onRun(run);
  return reply;
}

Task<BackEndReply> ScriptedBackEnds::run(std::shared_ptr<ServerConnection> connection, Statement statement,
                                         std::optional<LogPosition> minPosition, Instant deadline) {
  BackEndReply reply;
  if (!connection->open) co_return reply;
  auto& database = *connection->database;
  std::optional<ScriptedOutcome> outcome;
  if (auto& scripted = database.next[statement.kind]; !scripted.empty()) {
    outcome = scripted.front();
    scripted.pop_front();
  }
  if (outcome == ScriptedOutcome::unsent) {
    close(*connection);
    co_return reply;
  }
  if (std::exchange(connection->running, true))
    violations.push_back("two statements at once on a connection: " + statement.id + " " + statement.text);
  auto number = runs.size();
  runs.push_back(ScriptedRun{number,
                             connection->number,
                             database.name,
                             statement,
                             minPosition,
                             connection->values,
                             connection->prepared,
                             database.logPosition,
                             connection->state != TransactionState::idle,
                             false,
                             clock_.now(),
                             {}});
  reply.outcome = BackEndOutcome::lost;
  auto work = database.runTime + (outcome == ScriptedOutcome::slow ? database.slowDelay : Duration::zero());
  auto doneAt = clock_.now() + work;
  bool silent = database.unresponsive || outcome == ScriptedOutcome::silent;
  if (outcome == ScriptedOutcome::lostBeforeRunning) close(*connection);
  while (connection->open && clock_.now() < std::min(doneAt, deadline)) {
    auto until = std::min(doneAt, deadline);
    co_await connection->closed.wait(clock_, until);
  }
  if (outcome != ScriptedOutcome::lostBeforeRunning && clock_.now() < deadline) {
    auto executed = execute(*connection, number, outcome);
    if (outcome == ScriptedOutcome::lostAfterRunning) close(*connection);
    silent = silent || database.unresponsive;
    if (connection->open && !silent) reply = std::move(executed);
  }
  while (silent && connection->open && clock_.now() < deadline) co_await connection->closed.wait(clock_, deadline);
  if (reply.outcome != BackEndOutcome::replied) close(*connection);
  connection->running = false;
  if (!connection->open) rollBack(*connection);
  co_return reply;
}

}  // namespace tamarindshift
