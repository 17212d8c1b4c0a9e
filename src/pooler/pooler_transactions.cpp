#include <algorithm>

#include "pooler/pooler.hpp"

namespace tamarindshift {

namespace {

/// Per statement, or per start of a transaction.
constexpr int maxAttempts = 8;
/// Pause before a retry at the same database; doubles up to `maxRetryPause`.
constexpr Duration minRetryPause = 10ms;
constexpr Duration maxRetryPause = 80ms;

/// Whether the database refused the statement without running it, so that any statement may be retried.
bool notRun(StatementFault fault) {
  return fault == StatementFault::busy || fault == StatementFault::behind || fault == StatementFault::readOnly ||
         fault == StatementFault::misdirected || fault == StatementFault::unknownName;
}

/// The faults after which a client may rely on the statement having had no lasting effect.
bool guaranteesNoEffect(StatementFault fault) {
  return fault == StatementFault::busy || fault == StatementFault::aborted || fault == StatementFault::behind ||
         fault == StatementFault::readOnly || fault == StatementFault::misdirected || fault == StatementFault::overloaded;
}

/// The further faults after which a read may be retried.
bool readMayBeRetried(StatementFault fault) {
  return fault == StatementFault::failed || fault == StatementFault::timedOut;
}

}  // namespace

Task<StatementReply> Pooler::runSingle(Session session, Statement statement) {
  auto arrived = clock_.now();
  auto found = route(session->host);
  if (!found) co_return refuse(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "no route to this database now");
  auto kind = found->name;
  const Statement* executes = statement.kind == StatementKind::execute ? &statement : nullptr;
  if (executes && !session->prepared.contains(statement.name)) co_return refuse(StatementFault::unknownName, "no such prepared name");
  bool durable = writes(*session, statement);
  bool atPrimary = durable || found->kind->consistency == Consistency::primary;
  auto deadline = arrived + statementTimeout(kind);
  session->trace.kind = kind;
  session->trace.service = found->kind->service;
  session->trace.deadline = deadline;
  std::set<DatabaseName> avoid;
  auto pause = minRetryPause;
  std::string lastReason = "no database could take it in time";
  for (int attempt = 0; attempt < maxAttempts && clock_.now() < deadline; ++attempt) {
    auto acquired = co_await acquire(session, kind, atPrimary, executes, arrived, deadline, avoid);
    if (!acquired.connection) co_return refuse(acquired.fault, acquired.reason);
    auto connection = acquired.connection;
    auto database = connection->target.database;
    if (!co_await applySessionState(session, connection, executes, deadline)) {
      pool_.drop(connection);
      continue;
    }
    if (!mayRunOn(connection, kind, false)) {
      pool_.release(connection);
      continue;
    }
    auto until = durable ? deadline : std::min(deadline, clock_.now() + attemptTimeout(connection, kind, attempt));
    auto askedAt = clock_.now();
    auto reply = co_await runOn(session.get(), connection, statement, acquired.minPosition, until);
    if (reply.outcome == BackEndOutcome::replied) noteLatency(kind, clock_.now() - askedAt);
    if (reply.outcome != BackEndOutcome::replied) {
      pool_.drop(connection);
      if (reply.outcome == BackEndOutcome::lost) {
        if (durable) co_return refuse(StatementFault::unknownOutcome, "the reply was lost");
        if (clock_.now() >= deadline) co_return refuse(StatementFault::timedOut, "the database took too long");
      }
      avoid.insert(database);
      continue;
    }
    if (reply.fault == StatementFault::none) {
      bool mayAcknowledgeReply = !durable || mayAcknowledge(connection);
      if (durable) noteCommitPosition(*session, connection, reply);
      auto facts = acknowledgementFacts(*session, connection, durable);
      pool_.release(connection);
      if (!mayAcknowledgeReply) co_return refuse(StatementFault::unknownOutcome, "the lease ended before the reply");
      checkAcknowledgement(journal_, facts);
      co_return toStatementReply(std::move(reply));
    }
    journal_.count("replies.faults");
    if (reply.fault == StatementFault::unknownName) connection->stateUnknown = true;
    if (reply.state != TransactionState::idle)
      pool_.drop(connection);
    else
      pool_.release(connection);
    bool retry = notRun(reply.fault) || (!durable && readMayBeRetried(reply.fault));
    if (!retry || clock_.now() - arrived > statementTimeout(kind) * 45 / 100) {
      auto result = toStatementReply(std::move(reply));
      result.state = TransactionState::idle;
      if (notRun(result.fault)) result.retryAfter = settings_.timings.comeBack;
      co_return result;
    }
    avoid.insert(database);
    if (atPrimary || avoid.size() > 1) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, maxRetryPause);
    }
  }
  co_return refuse(StatementFault::busy, lastReason);
}

Task<StatementReply> Pooler::startTransaction(Session session, Statement next, Instant deadline) {
  auto arrived = clock_.now();
  auto kind = session->transaction->kind;
  auto begin = session->transaction->begin;
  auto readOnly = session->transaction->readOnly;
  const Statement* executes = next.kind == StatementKind::execute ? &next : nullptr;
  std::set<DatabaseName> avoid;
  auto pause = minRetryPause;
  for (int attempt = 0; attempt < maxAttempts && clock_.now() < deadline; ++attempt) {
    auto found = routeNamed(kind);
    if (!found)
      co_return refuse(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "the route is gone",
                       TransactionState::failed);
    bool atPrimary = !readOnly || found->kind->consistency == Consistency::primary;
    auto acquired = co_await acquire(session, kind, atPrimary, executes, arrived, deadline, avoid);
    if (!acquired.connection) co_return refuse(acquired.fault, acquired.reason, TransactionState::failed);
    auto connection = acquired.connection;
    if (!co_await applySessionState(session, connection, executes, deadline)) {
      pool_.drop(connection);
      continue;
    }
    if (!mayRunOn(connection, kind, false)) {
      pool_.release(connection);
      continue;
    }
    auto reply = co_await runOn(session.get(), connection, begin, acquired.minPosition, deadline);
    if (reply.outcome == BackEndOutcome::replied && reply.fault == StatementFault::none && reply.state == TransactionState::open) {
      session->transaction->connection = connection;
      co_return StatementReply{};
    }
    avoid.insert(connection->target.database);
    bool sound = reply.outcome == BackEndOutcome::replied && reply.state == TransactionState::idle;
    if (sound)
      pool_.release(connection);
    else
      pool_.drop(connection);
    if (reply.outcome == BackEndOutcome::replied && !notRun(reply.fault))
      co_return refuse(StatementFault::aborted, "the transaction could not begin", TransactionState::failed);
    if (atPrimary || avoid.size() > 1) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, maxRetryPause);
    }
  }
  co_return refuse(StatementFault::busy, "no database could take it in time", TransactionState::failed);
}

Task<StatementReply> Pooler::runInTransaction(Session session, Statement statement) {
  auto& transaction = *session->transaction;
  const Statement* executes = statement.kind == StatementKind::execute ? &statement : nullptr;
  if (executes && !session->prepared.contains(statement.name)) {
    failTransaction(*session);
    co_return refuse(StatementFault::unknownName, "no such prepared name", TransactionState::failed);
  }
  auto deadline = clock_.now() + statementTimeout(transaction.kind);
  session->trace.kind = transaction.kind;
  session->trace.deadline = deadline;
  bool durable = writes(*session, statement);
  if (!transaction.connection) {
    auto started = co_await startTransaction(session, statement, deadline);
    if (started.fault != StatementFault::none) {
      failTransaction(*session);
      co_return started;
    }
  }
  auto connection = transaction.connection;
  auto pause = minRetryPause;
  for (;;) {
    if (!mayRunOn(connection, transaction.kind, true)) {
      failTransaction(*session);
      co_return refuse(StatementFault::aborted, "the transaction's database may not be used any more", TransactionState::failed);
    }
    if (!co_await applySessionState(session, connection, executes, deadline)) {
      pool_.drop(connection);
      failTransaction(*session);
      co_return refuse(StatementFault::aborted, "the transaction's connection was lost", TransactionState::failed);
    }
    if (!mayRunOn(connection, transaction.kind, true)) continue;
    if (durable) transaction.wrote = true;
    auto until = std::min(deadline, clock_.now() + attemptTimeout(connection, transaction.kind, 0));
    auto reply = co_await runOn(session.get(), connection, statement, std::nullopt, until);
    if (reply.outcome != BackEndOutcome::replied) {
      pool_.drop(connection);
      failTransaction(*session);
      co_return refuse(StatementFault::aborted, "the transaction's connection was lost", TransactionState::failed);
    }
    if (reply.state == TransactionState::open && reply.fault == StatementFault::busy && clock_.now() + pause < deadline) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, maxRetryPause);
      continue;
    }
    if (reply.state == TransactionState::idle) {
      journal_.count("transactions.ended_by_database");
      pool_.drop(connection);
      failTransaction(*session);
      co_return refuse(StatementFault::aborted, "the database ended the transaction", TransactionState::failed);
    }
    if (reply.state == TransactionState::failed) transaction.failed = true;
    if (reply.fault != StatementFault::none) journal_.count("replies.faults");
    auto result = toStatementReply(std::move(reply));
    if (notRun(result.fault)) result.retryAfter = settings_.timings.comeBack;
    if (result.state == TransactionState::open && guaranteesNoEffect(result.fault)) {
      failTransaction(*session);
      result.state = TransactionState::failed;
    }
    co_return result;
  }
}

Task<StatementReply> Pooler::commit(Session session, Statement statement) {
  auto& transaction = *session->transaction;
  if (transaction.failed) {
    rollback(session);
    co_return refuse(StatementFault::aborted, "the transaction had failed");
  }
  auto deadline = clock_.now() + statementTimeout(transaction.kind);
  session->trace.kind = transaction.kind;
  session->trace.deadline = deadline;
  if (!transaction.connection) {
    auto started = co_await startTransaction(session, statement, deadline);
    if (started.fault != StatementFault::none) {
      session->transaction.reset();
      started.state = TransactionState::idle;
      co_return started;
    }
  }
  auto connection = transaction.connection;
  if (!mayRunOn(connection, transaction.kind, true)) {
    rollback(session);
    co_return refuse(StatementFault::aborted, "the transaction's database may not be used any more");
  }
  bool wrote = transaction.wrote;
  bool stateApplied = transaction.stateApplied;
  auto reply = co_await runOn(session.get(), connection, statement, std::nullopt, deadline);
  auto notRunYet = [&reply] {
    return reply.outcome == BackEndOutcome::replied && reply.fault == StatementFault::busy && reply.state == TransactionState::open;
  };
  for (auto pause = minRetryPause; notRunYet() && clock_.now() + pause < deadline; pause = std::min(2 * pause, maxRetryPause)) {
    co_await sleep(clock_, pause);
    if (!mayRunOn(connection, transaction.kind, true)) {
      rollback(session);
      co_return refuse(StatementFault::aborted, "the transaction's database may not be used any more");
    }
    reply = co_await runOn(session.get(), connection, statement, std::nullopt, deadline);
  }
  session->transaction.reset();
  if (reply.outcome != BackEndOutcome::replied) {
    pool_.drop(connection);
    if (wrote && reply.outcome == BackEndOutcome::lost)
      co_return refuse(StatementFault::unknownOutcome, "the reply to the commit was lost");
    co_return refuse(StatementFault::aborted, "the transaction's connection was lost");
  }
  if (reply.fault != StatementFault::none && stateApplied) connection->stateUnknown = true;
  bool mayAcknowledgeReply = !wrote || mayAcknowledge(connection);
  auto facts = acknowledgementFacts(*session, connection, wrote);
  if (wrote && reply.fault == StatementFault::none) noteCommitPosition(*session, connection, reply);
  if (reply.state == TransactionState::idle)
    pool_.release(connection);
  else
    scope_.spawn(finishRollback(connection));
  if (reply.fault == StatementFault::none && !mayAcknowledgeReply)
    co_return refuse(StatementFault::unknownOutcome, "the lease ended before the reply");
  if (reply.fault == StatementFault::none) checkAcknowledgement(journal_, facts);
  auto result = toStatementReply(std::move(reply));
  result.state = TransactionState::idle;
  if (notRun(result.fault)) result.retryAfter = settings_.timings.comeBack;
  co_return result;
}

StatementReply Pooler::rollback(const Session& session) {
  auto transaction = std::move(*session->transaction);
  session->transaction.reset();
  if (transaction.connection) {
    if (transaction.stateApplied) transaction.connection->stateUnknown = true;
    scope_.spawn(finishRollback(transaction.connection));
  }
  return localReply(TransactionState::idle);
}

Task<void> Pooler::finishRollback(Connection connection) {
  connection->holder = nullptr;
  if (connection->dropped || connection->running || !connection->link->usable()) {
    pool_.drop(connection);
    co_return;
  }
  Statement statement{StatementKind::rollback, {}, {}, {}, {}};
  auto reply = co_await runOn(nullptr, connection, statement, std::nullopt, clock_.now() + 1s);
  if (reply.outcome == BackEndOutcome::replied && reply.state == TransactionState::idle)
    pool_.release(connection);
  else
    pool_.drop(connection);
}

void Pooler::failTransaction(ClientSession& session) {
  auto& transaction = *session.transaction;
  transaction.failed = true;
  auto connection = std::exchange(transaction.connection, nullptr);
  if (!connection) return;
  if (transaction.stateApplied) connection->stateUnknown = true;
  scope_.spawn(finishRollback(connection));
}

void Pooler::noteCommitPosition(ClientSession& session, const Connection& connection, const BackEndReply& reply) {
  if (!reply.logPosition) return;
  const auto& service = connection->target.service;
  auto& own = session.lastCommitPositions[service];
  own = std::max(own, *reply.logPosition);
  auto& tracker = trackers_[service];
  tracker.acknowledgedPosition = std::max(tracker.acknowledgedPosition, *reply.logPosition);
}

}  // namespace tamarindshift
