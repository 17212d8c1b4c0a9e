#include <algorithm>

#include "pooler/pooler.hpp"

namespace tamarindshift {

namespace {

constexpr int mostAttempts = 8;
constexpr Duration leastPause = 10ms;
constexpr Duration mostPause = 80ms;

bool notRun(StatementFault fault) {
  return fault == StatementFault::busy || fault == StatementFault::behind || fault == StatementFault::readOnly ||
         fault == StatementFault::misdirected || fault == StatementFault::unknownName;
}

bool promisesNothingKept(StatementFault fault) {
  return fault == StatementFault::busy || fault == StatementFault::aborted || fault == StatementFault::behind ||
         fault == StatementFault::readOnly || fault == StatementFault::misdirected || fault == StatementFault::overloaded;
}

bool mayBeReadAgain(StatementFault fault) {
  return fault == StatementFault::failed || fault == StatementFault::timedOut;
}

}  // namespace

Task<StatementReply> Pooler::runSingle(Session session, Statement statement) {
  auto arrived = clock_.now();
  auto found = route(session->host);
  if (!found) co_return refused(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "no route to this database now");
  auto kind = found->name;
  const Statement* executes = statement.kind == StatementKind::execute ? &statement : nullptr;
  if (executes && !session->prepared.contains(statement.name)) co_return refused(StatementFault::unknownName, "no such prepared name");
  bool keeps = writes(*session, statement);
  bool atPrimary = keeps || found->kind->consistency == Consistency::primary;
  auto deadline = arrived + statementBound(kind);
  session->trace.kind = kind;
  session->trace.service = found->kind->service;
  session->trace.endsBy = deadline;
  std::set<DatabaseName> avoid;
  auto pause = leastPause;
  std::string lastReason = "no database could take it in time";
  for (int attempt = 0; attempt < mostAttempts && clock_.now() < deadline; ++attempt) {
    auto acquired = co_await acquire(session, kind, atPrimary, executes, arrived, deadline, avoid);
    if (!acquired.connection) co_return refused(acquired.fault, acquired.reason);
    auto connection = acquired.connection;
    auto database = connection->target.database;
    if (!co_await conform(session, connection, executes, deadline)) {
      pool_.drop(connection);
      continue;
    }
    if (!mayPass(connection, kind, false)) {
      pool_.release(connection);
      continue;
    }
    auto until = keeps ? deadline : std::min(deadline, clock_.now() + patience(connection, kind, attempt));
    auto askedAt = clock_.now();
    auto reply = co_await runOn(session.get(), connection, statement, acquired.after, until);
    if (reply.fate == BackEndFate::replied) noteTaken(kind, clock_.now() - askedAt);
    if (reply.fate != BackEndFate::replied) {
      pool_.drop(connection);
      if (reply.fate == BackEndFate::lost) {
        if (keeps) co_return refused(StatementFault::unknownOutcome, "the reply was lost");
        if (clock_.now() >= deadline) co_return refused(StatementFault::timedOut, "the database took too long");
      }
      avoid.insert(database);
      continue;
    }
    if (reply.fault == StatementFault::none) {
      bool good = !keeps || mayAcknowledge(connection);
      if (keeps) noteOwn(*session, connection, reply);
      auto facts = acknowledgementFacts(*session, connection, keeps);
      pool_.release(connection);
      if (!good) co_return refused(StatementFault::unknownOutcome, "the lease ended before the reply");
      checkAcknowledgement(journal_, facts);
      co_return passed(std::move(reply));
    }
    journal_.count("replies.faults");
    if (reply.fault == StatementFault::unknownName) connection->dubious = true;
    if (reply.state != TransactionState::idle)
      pool_.drop(connection);
    else
      pool_.release(connection);
    bool again = notRun(reply.fault) || (!keeps && mayBeReadAgain(reply.fault));
    if (!again || clock_.now() - arrived > statementBound(kind) * 45 / 100) {
      auto given = passed(std::move(reply));
      given.state = TransactionState::idle;
      if (notRun(given.fault)) given.comeBack = settings_.timings.comeBack;
      co_return given;
    }
    avoid.insert(database);
    if (atPrimary || avoid.size() > 1) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, mostPause);
    }
  }
  co_return refused(StatementFault::busy, lastReason);
}

Task<StatementReply> Pooler::startTransaction(Session session, Statement next, Instant deadline) {
  auto arrived = clock_.now();
  auto kind = session->transaction->kind;
  auto begin = session->transaction->begin;
  auto readOnly = session->transaction->readOnly;
  const Statement* executes = next.kind == StatementKind::execute ? &next : nullptr;
  std::set<DatabaseName> avoid;
  auto pause = leastPause;
  for (int attempt = 0; attempt < mostAttempts && clock_.now() < deadline; ++attempt) {
    auto found = routeNamed(kind);
    if (!found)
      co_return refused(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "the route is gone",
                        TransactionState::failed);
    bool atPrimary = !readOnly || found->kind->consistency == Consistency::primary;
    auto acquired = co_await acquire(session, kind, atPrimary, executes, arrived, deadline, avoid);
    if (!acquired.connection) co_return refused(acquired.fault, acquired.reason, TransactionState::failed);
    auto connection = acquired.connection;
    if (!co_await conform(session, connection, executes, deadline)) {
      pool_.drop(connection);
      continue;
    }
    if (!mayPass(connection, kind, false)) {
      pool_.release(connection);
      continue;
    }
    auto reply = co_await runOn(session.get(), connection, begin, acquired.after, deadline);
    if (reply.fate == BackEndFate::replied && reply.fault == StatementFault::none && reply.state == TransactionState::open) {
      session->transaction->connection = connection;
      co_return StatementReply{};
    }
    avoid.insert(connection->target.database);
    bool sound = reply.fate == BackEndFate::replied && reply.state == TransactionState::idle;
    if (sound)
      pool_.release(connection);
    else
      pool_.drop(connection);
    if (reply.fate == BackEndFate::replied && !notRun(reply.fault))
      co_return refused(StatementFault::aborted, "the transaction could not begin", TransactionState::failed);
    if (atPrimary || avoid.size() > 1) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, mostPause);
    }
  }
  co_return refused(StatementFault::busy, "no database could take it in time", TransactionState::failed);
}

Task<StatementReply> Pooler::runInTransaction(Session session, Statement statement) {
  auto& transaction = *session->transaction;
  const Statement* executes = statement.kind == StatementKind::execute ? &statement : nullptr;
  if (executes && !session->prepared.contains(statement.name)) {
    failTransaction(*session);
    co_return refused(StatementFault::unknownName, "no such prepared name", TransactionState::failed);
  }
  auto deadline = clock_.now() + statementBound(transaction.kind);
  session->trace.kind = transaction.kind;
  session->trace.endsBy = deadline;
  bool keeps = writes(*session, statement);
  if (!transaction.connection) {
    auto started = co_await startTransaction(session, statement, deadline);
    if (started.fault != StatementFault::none) {
      failTransaction(*session);
      co_return started;
    }
  }
  auto connection = transaction.connection;
  auto pause = leastPause;
  for (;;) {
    if (!mayPass(connection, transaction.kind, true)) {
      failTransaction(*session);
      co_return refused(StatementFault::aborted, "the transaction's database may not be used any more", TransactionState::failed);
    }
    if (!co_await conform(session, connection, executes, deadline)) {
      pool_.drop(connection);
      failTransaction(*session);
      co_return refused(StatementFault::aborted, "the transaction's connection was lost", TransactionState::failed);
    }
    if (!mayPass(connection, transaction.kind, true)) continue;
    if (keeps) transaction.wrote = true;
    auto until = std::min(deadline, clock_.now() + patience(connection, transaction.kind, 0));
    auto reply = co_await runOn(session.get(), connection, statement, std::nullopt, until);
    if (reply.fate != BackEndFate::replied) {
      pool_.drop(connection);
      failTransaction(*session);
      co_return refused(StatementFault::aborted, "the transaction's connection was lost", TransactionState::failed);
    }
    if (reply.state == TransactionState::open && reply.fault == StatementFault::busy && clock_.now() + pause < deadline) {
      co_await sleep(clock_, pause);
      pause = std::min(2 * pause, mostPause);
      continue;
    }
    if (reply.state == TransactionState::idle) {
      journal_.count("transactions.ended_by_database");
      pool_.drop(connection);
      failTransaction(*session);
      co_return refused(StatementFault::aborted, "the database ended the transaction", TransactionState::failed);
    }
    if (reply.state == TransactionState::failed) transaction.failed = true;
    if (reply.fault != StatementFault::none) journal_.count("replies.faults");
    auto given = passed(std::move(reply));
    if (notRun(given.fault)) given.comeBack = settings_.timings.comeBack;
    if (given.state == TransactionState::open && promisesNothingKept(given.fault)) {
      failTransaction(*session);
      given.state = TransactionState::failed;
    }
    co_return given;
  }
}

Task<StatementReply> Pooler::commit(Session session, Statement statement) {
  auto& transaction = *session->transaction;
  if (transaction.failed) {
    rollback(session);
    co_return refused(StatementFault::aborted, "the transaction had failed");
  }
  auto deadline = clock_.now() + statementBound(transaction.kind);
  session->trace.kind = transaction.kind;
  session->trace.endsBy = deadline;
  if (!transaction.connection) {
    auto started = co_await startTransaction(session, statement, deadline);
    if (started.fault != StatementFault::none) {
      session->transaction.reset();
      started.state = TransactionState::idle;
      co_return started;
    }
  }
  auto connection = transaction.connection;
  if (!mayPass(connection, transaction.kind, true)) {
    rollback(session);
    co_return refused(StatementFault::aborted, "the transaction's database may not be used any more");
  }
  bool wrote = transaction.wrote;
  bool laid = transaction.laid;
  auto reply = co_await runOn(session.get(), connection, statement, std::nullopt, deadline);
  auto notRunYet = [&reply] {
    return reply.fate == BackEndFate::replied && reply.fault == StatementFault::busy && reply.state == TransactionState::open;
  };
  for (auto pause = leastPause; notRunYet() && clock_.now() + pause < deadline; pause = std::min(2 * pause, mostPause)) {
    co_await sleep(clock_, pause);
    if (!mayPass(connection, transaction.kind, true)) {
      rollback(session);
      co_return refused(StatementFault::aborted, "the transaction's database may not be used any more");
    }
    reply = co_await runOn(session.get(), connection, statement, std::nullopt, deadline);
  }
  session->transaction.reset();
  if (reply.fate != BackEndFate::replied) {
    pool_.drop(connection);
    if (wrote && reply.fate == BackEndFate::lost) co_return refused(StatementFault::unknownOutcome, "the reply to the commit was lost");
    co_return refused(StatementFault::aborted, "the transaction's connection was lost");
  }
  if (reply.fault != StatementFault::none && laid) connection->dubious = true;
  bool good = !wrote || mayAcknowledge(connection);
  auto facts = acknowledgementFacts(*session, connection, wrote);
  if (wrote && reply.fault == StatementFault::none) noteOwn(*session, connection, reply);
  if (reply.state == TransactionState::idle)
    pool_.release(connection);
  else
    scope_.spawn(finishRollback(connection));
  if (reply.fault == StatementFault::none && !good) co_return refused(StatementFault::unknownOutcome, "the lease ended before the reply");
  if (reply.fault == StatementFault::none) checkAcknowledgement(journal_, facts);
  auto given = passed(std::move(reply));
  given.state = TransactionState::idle;
  if (notRun(given.fault)) given.comeBack = settings_.timings.comeBack;
  co_return given;
}

StatementReply Pooler::rollback(const Session& session) {
  auto transaction = std::move(*session->transaction);
  session->transaction.reset();
  if (transaction.connection) {
    if (transaction.laid) transaction.connection->dubious = true;
    scope_.spawn(finishRollback(transaction.connection));
  }
  return answeredHere(TransactionState::idle);
}

Task<void> Pooler::finishRollback(Connection connection) {
  connection->holder = nullptr;
  if (connection->cut || connection->running || !connection->link->usable()) {
    pool_.drop(connection);
    co_return;
  }
  Statement statement{StatementKind::rollback, {}, {}, {}, {}};
  auto reply = co_await runOn(nullptr, connection, statement, std::nullopt, clock_.now() + 1s);
  if (reply.fate == BackEndFate::replied && reply.state == TransactionState::idle)
    pool_.release(connection);
  else
    pool_.drop(connection);
}

void Pooler::failTransaction(ClientSession& session) {
  auto& transaction = *session.transaction;
  transaction.failed = true;
  auto connection = std::exchange(transaction.connection, nullptr);
  if (!connection) return;
  if (transaction.laid) connection->dubious = true;
  scope_.spawn(finishRollback(connection));
}

void Pooler::noteOwn(ClientSession& session, const Connection& connection, const BackEndReply& reply) {
  if (!reply.place) return;
  const auto& service = connection->target.service;
  auto& own = session.own[service];
  own = std::max(own, *reply.place);
  auto& watch = watches_[service];
  watch.acknowledged = std::max(watch.acknowledged, *reply.place);
}

}  // namespace tamarindshift
