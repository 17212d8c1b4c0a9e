#include "proxy/proxy_node.hpp"

#include <algorithm>

// ProxyNode: forwards requests, and decides what a reply or its loss means for request, session and connection.

namespace tamarindshift {

Task<void> ProxyNode::forward(Record record, std::shared_ptr<PooledConnection> connection, Choice choice) {
  if (!connection) {
    auto deadline = std::min(record->queueDeadline, clock_.now() + settings_.timings.queuePatience / 2);
    connection = co_await pool_.open(record->service, choice.database, record->branch, choice.address, deadline);
    if (!connection) {
      recordUnreachable(record->service, choice.database);
      record->avoidedDatabases.insert(choice.database);
      queue_.put([this, record] {
        retry(record);
      });
      co_return;
    }
  }
  connection->epoch = choice.epoch;
  if (record->session->pinned != connection) connection->kind = record->kind;
  bool abandoned = record->stage == RequestStage::replied || record->session->closing;
  if (abandoned || !mayForward(record, *connection)) {
    if (record->session->pinned == connection)
      closePinnedConnection(record->session);
    else if (abandoned)
      pool_.release(connection);
    else
      pool_.drop(connection);
    queue_.put([this, record] {
      retry(record);
    });
    co_return;
  }
  ++record->attempts;
  lastWorkAt_[record->service] = clock_.now();
  auto forwardedAt = clock_.now();
  connection->running = true;
  auto outcome = co_await connection->link->run(record->request, clock_.now() + settings_.timings.statementPatience);
  connection->running = false;
  recordDuration(record->service, clock_.now() - forwardedAt);
  handleOutcome(record, connection, std::move(outcome));
  queue_.put([] {});
}

void ProxyNode::recordDuration(const ServiceName& service, Duration duration) {
  auto& mean = meanDurationUs_[service];
  mean = mean * 0.95 + static_cast<double>(duration.count()) * 0.05;
}

void ProxyNode::retry(const Record& record) {
  if (record->stage == RequestStage::replied) return;
  if (record->attempts >= settings_.maxAttempts) return refuse(record, "no database did it in three attempts");
  requests_.markWaiting(record);
}

void ProxyNode::refuse(const Record& record, const std::string& reason, int status) {
  journal_.count("requests.refused");
  journal_.count("refused: " + reason);
  RequestReply reply;
  reply.outcome = status == 410 ? RequestOutcome::stateLost : RequestOutcome::refused;
  reply.status = status;
  reply.reason = reason;
  if (status == 503) reply.retryAfter = settings_.timings.comeBack;
  requests_.reply(record, std::move(reply));
}

void ProxyNode::replyUnknown(const Record& record, const std::string& reason) {
  journal_.count("requests.unknown");
  RequestReply reply;
  reply.outcome = RequestOutcome::unknown;
  reply.status = 504;
  reply.reason = reason;
  requests_.reply(record, std::move(reply));
}

void ProxyNode::refuseLostTransaction(const Record& record) {
  record->session->inTransaction = false;
  if (record->session->stateful) record->session->stateLost = true;
  refuse(record, "transaction lost, nothing was kept", 410);
}

void ProxyNode::handleOutcome(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseOutcome outcome) {
  if (outcome.fate == PassFate::replied) unreachable_[record->service].erase(connection->database);
  if (outcome.fate == PassFate::replied)
    handleReply(record, connection, std::move(outcome.reply));
  else
    handleLostReply(record, connection, outcome.fate == PassFate::lost);
}

void ProxyNode::handleLostReply(const Record& record, const std::shared_ptr<PooledConnection>& connection, bool sent) {
  journal_.count(sent ? "passes.lost" : "passes.unsent");
  recordUnreachable(record->service, connection->database);
  const auto& session = record->session;
  bool pinned = session->pinned == connection;
  if (pinned) session->pinned.reset();
  pool_.drop(connection);
  bool mayBeCommitted = sent && record->request.mayWrite() && record->request.operation != Operation::rollback;
  if (session->inTransaction) {
    if (sent && record->request.operation == Operation::commit) {
      session->inTransaction = false;
      if (session->stateful) session->stateLost = true;
      return replyUnknown(record, "the reply to the commit was lost");
    }
    return refuseLostTransaction(record);
  }
  if (pinned) session->stateLost = true;
  if (mayBeCommitted && record->request.operation != Operation::begin) return replyUnknown(record, "the reply was lost");
  if (pinned) return refuse(record, "session state lost, open a new session", 410);
  record->avoidedDatabases.insert(connection->database);
  retry(record);
}

void ProxyNode::handleReply(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseReply reply) {
  const auto& session = record->session;
  auto view = directory_.kind(record->kind);
  auto operation = record->request.operation;
  const auto* service = directory_.service(record->service);
  bool atPrimary = service && service->primary.primary == connection->database;
  bool current = service && directory_.leased(record->service) && service->primary.epoch == connection->epoch && (atPrimary || view.kind);
  if (current && atPrimary) current = reply.status.role == "primary" && reply.status.epoch == connection->epoch;
  bool inTransaction = session->inTransaction && session->pinned == connection;
  bool committed =
      reply.done && record->request.mayWrite() &&
      (operation == Operation::commit || (!inTransaction && (operation == Operation::statement || operation == Operation::execute)));

  if (!current) {
    journal_.count("passes.replied_late");
    if (session->pinned == connection) session->pinned.reset();
    pool_.drop(connection);
    if (committed) {
      session->inTransaction = false;
      if (session->stateful) session->stateLost = true;
      return replyUnknown(record, "the reply came after the lease or the epoch it was passed under");
    }
    if (inTransaction) return refuseLostTransaction(record);
    if (session->stateful) {
      session->stateLost = true;
      return refuse(record, "session state lost, open a new session", 410);
    }
    if (!record->request.reads) return refuse(record, "the database is not the primary");
    record->avoidedDatabases.insert(connection->database);
    return retry(record);
  }
  if (committed && !reply.replicated) {
    auto& position = session->minPositions[record->service];
    position = std::max(position, reply.commitPosition);
    if (operation == Operation::commit) session->inTransaction = false;
    pinOrRelease(record, connection);
    return replyUnknown(record, "kept by the primary alone");
  }
  if (record->request.reads && !atPrimary) {
    auto minPosition = session->minPositions.find(record->service);
    bool behind = reply.status.epoch != connection->epoch ||
                  (minPosition != session->minPositions.end() && reply.status.position < minPosition->second);
    bool stale = reply.status.contactAge > view.kind->stalenessBound();
    if (behind || stale) {
      journal_.count("reads.too_stale");
      if (session->pinned != connection) {
        pool_.release(connection);
        record->avoidedDatabases.insert(connection->database);
        return retry(record);
      }
      return refuse(record, "the replica is too far behind");
    }
  }
  if (committed) {
    auto& minPosition = session->minPositions[record->service];
    minPosition = std::max(minPosition, reply.commitPosition);
    auto& acknowledged = acknowledged_[record->service];
    acknowledged = std::max(acknowledged, LogPosition{reply.status.epoch, reply.commitPosition});
  }
  if (operation == Operation::begin && reply.done) session->inTransaction = true;
  if (operation == Operation::commit || operation == Operation::rollback) session->inTransaction = false;
  if (reply.done && (operation == Operation::prepare || operation == Operation::set)) session->stateful = true;
  pinOrRelease(record, connection);
  RequestReply answer;
  answer.outcome = reply.done ? RequestOutcome::done : RequestOutcome::failed;
  answer.status = reply.done ? 200 : 422;
  answer.reason = reply.reason;
  answer.result = std::move(reply.result);
  answer.database = connection->database;
  answer.position = committed ? reply.commitPosition : reply.status.position;
  journal_.count(reply.done ? "requests.done" : "requests.failed");
  requests_.reply(record, std::move(answer));
}

void ProxyNode::pinOrRelease(const Record& record, const std::shared_ptr<PooledConnection>& connection) {
  const auto& session = record->session;
  bool holds = session->inTransaction || session->stateful;
  bool abandoned =
      session->closing || session->clientLeft || session->transactionLost || session->stateLost || record->stage == RequestStage::replied;
  if (holds && !abandoned && !connection->dropped) {
    session->pinned = connection;
    connection->pinnedBy = session;
    return;
  }
  if (session->pinned == connection) session->pinned.reset();
  if (holds) {
    if (session->inTransaction) session->transactionLost = true;
    if (session->stateful) session->stateLost = true;
    session->inTransaction = session->stateful = false;
    pool_.drop(connection);
  } else {
    pool_.release(connection);
  }
}

std::uint32_t ProxyNode::pinnedCount(const ServiceName& service, const BranchName& branch) const {
  std::uint32_t amount = 0;
  for (const auto& [id, session] : sessions_)
    amount += session->stateful && session->pinned && session->pinned->service == service && session->pinned->branch == branch;
  return amount;
}

void ProxyNode::revokeConnection(const std::shared_ptr<PooledConnection>& connection) {
  auto session = connection->pinnedBy.lock();
  if (connection->running || !session || session->pinned != connection) return pool_.drop(connection);
  journal_.count("sessions.pins_closed");
  if (session->inTransaction) session->transactionLost = true;
  if (session->stateful) session->stateLost = true;
  session->inTransaction = false;
  closePinnedConnection(session);
}

}  // namespace tamarindshift
