#include "pooler/pooler.hpp"
#include "pooler/sending_check.hpp"

namespace tamarindshift {

namespace {

/// Whether it is the client's own work, as opposed to session state that the pooler sets on a connection or removes from it.
bool clientWork(StatementKind kind) {
  switch (kind) {
    case StatementKind::begin:
    case StatementKind::beginRead:
    case StatementKind::commit:
    case StatementKind::read:
    case StatementKind::write:
    case StatementKind::execute:
      return true;
    default:
      return false;
  }
}

/// Unless the reply says that the database did not run it.
bool mayHaveRun(const BackEndReply& reply) {
  if (reply.outcome != BackEndOutcome::replied) return reply.outcome == BackEndOutcome::lost;
  switch (reply.fault) {
    case StatementFault::busy:
    case StatementFault::behind:
    case StatementFault::readOnly:
    case StatementFault::misdirected:
    case StatementFault::overloaded:
    case StatementFault::unknownName:
    case StatementFault::malformed:
      return false;
    default:
      return true;
  }
}

}  // namespace

bool Pooler::makesDurable(const ClientSession& session, const Statement& statement) const {
  return statement.kind == StatementKind::commit || writes(session, statement);
}

void Pooler::noteAttempt(ClientSession& session, const Connection& connection, const BackEndReply& reply, Instant askedAt, bool durable) {
  auto& trace = session.trace;
  trace.add(StatementAttempt{connection->target.database, reply.outcome, reply.fault, askedAt - trace.arrivedAt, clock_.now() - askedAt});
  if (durable && mayHaveRun(reply)) trace.mayHaveRun = true;
}

void Pooler::checkSending(const ClientSession* session, const Connection& connection, const Statement& statement) {
  if (!session) return;
  const auto& target = connection->target;
  SendingFacts facts;
  facts.context = [&] {
    return "'" + statement.id + "' to " + target.database.get() + " of " + target.service.get();
  };
  facts.heldBySession = connection->holder == session;
  facts.clientWork = clientWork(statement.kind);
  facts.makesDurable = makesDurable(*session, statement);
  facts.mayHaveRunBefore = session->trace.mayHaveRun;
  facts.leased = guide_.leased(target.service);
  facts.asPrimary = connection->asPrimary;
  facts.begins = !session->transaction || statement.kind == StatementKind::begin || statement.kind == StatementKind::beginRead;
  facts.inEpoch = inEpoch(connection);
  if (const auto* view = guide_.service(target.service))
    if (auto drained = view->drained.find(target.database); drained != view->drained.end())
      facts.drainedFor = clock_.now() - drained->second;
  tamarindshift::checkSending(journal_, facts, settings_.timings.detach);
}

bool Pooler::inEpoch(const Connection& connection) const {
  const auto* view = guide_.service(connection->target.service);
  if (!view) return true;
  const auto& primary = view->primary;
  bool current = connection->epoch == primary.epoch && primary.promoted && primary.primary == connection->target.database;
  auto tracker = trackers_.find(connection->target.service);
  bool oldLeaseLasts = tracker != trackers_.end() && clock_.now() < tracker->second.previousLeaseUntil;
  bool finishes = primary.plannedSwitchover && Epoch{connection->epoch.get() + 1} == primary.epoch && oldLeaseLasts;
  return current || finishes;
}

AcknowledgementFacts Pooler::acknowledgementFacts(const ClientSession& session, const Connection& connection, bool durable) const {
  AcknowledgementFacts facts;
  facts.context = [id = session.trace.id, database = connection->target.database] {
    return "'" + id + "' at " + database.get();
  };
  facts.makesDurable = durable;
  facts.leased = guide_.leased(connection->target.service);
  facts.inEpoch = inEpoch(connection);
  return facts;
}

bool Pooler::stalledSince(Instant since) const {
  return stalledAt_ >= since || clock_.now() - supervisedAt_ > stallThreshold;
}

void Pooler::checkRepliedInTime(const ClientSession& session) {
  const auto& trace = session.trace;
  StatementTimes times{trace.arrivedAt, clock_.now(), trace.deadline, stalledSince(trace.arrivedAt)};
  checkAnsweredInTime(journal_, times, [&] {
    return "'" + trace.id + "' of " + trace.kind.get();
  });
}

}  // namespace tamarindshift
