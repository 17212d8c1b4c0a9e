#include "simulated/session_checks.hpp"

#include <algorithm>

#include "proxy/database_json.hpp"

namespace tamarindshift {

SessionChecks::SessionChecks(const std::vector<SentRequest>& sent, const DatabaseHistories& histories, FaultSink fault)
    : sent_(sent), histories_(histories), fault_(std::move(fault)) {
  for (const auto& each : sent_) {
    byPlace_[{each.session, each.sequence}] = &each;
    byContent_[requestToJson(each.request)] = &each;
    if (each.request.operation == Operation::begin) begins_.push_back(&each);
  }
}

void SessionChecks::eachConnection() {
  for (const auto& [database, history] : histories_) {
    std::map<ConnectionId, Stretch> stretches;
    for (const auto& entry : history) walk(database, stretches[entry.connection], entry);
  }
}

const SentRequest* SessionChecks::of(std::size_t session, std::uint64_t sequence) const {
  auto found = byPlace_.find({session, sequence});
  return found == byPlace_.end() ? nullptr : found->second;
}

void SessionChecks::ran(const std::string& database, const StandinHistoryEntry& entry, const SentRequest& sent) {
  runs_.push_back(RunAtDatabase{database, &entry, &sent});
  if (++times_[&sent] > 1 && !sent.request.reads)
    fault_("ran twice: " + requestToJson(sent.request) + " of session " + std::to_string(sent.session) + " at " + database);
}

void SessionChecks::walk(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry) {
  switch (entry.request.operation) {
    case Operation::begin:
      if (stretch.open) fault_("begin within a transaction at " + database);
      if (!begunInTime(entry)) fault_("no session sent the begin that " + database + " ran");
      stretch.open = true;
      stretch.last = nullptr;
      return;
    case Operation::commit:
    case Operation::rollback:
      return end(database, stretch, entry);
    default:
      return statement(database, stretch, entry);
  }
}

bool SessionChecks::begunInTime(const StandinHistoryEntry& entry) const {
  return std::any_of(begins_.begin(), begins_.end(), [&](const auto* sent) {
    return sent->sentAt <= entry.at && entry.at <= sent->endedAt;
  });
}

void SessionChecks::end(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry) {
  std::string name = operationName(entry.request.operation);
  if (!stretch.open) return fault_(name + " outside of a transaction at " + database);
  stretch.open = false;
  if (!stretch.last) return fault_(name + " of nothing at " + database);
  const auto* sent = of(stretch.last->session, stretch.last->sequence + 1);
  if (!sent || sent->request.operation != entry.request.operation || sent->transaction != stretch.last->transaction)
    return fault_(name + " that its session did not send at " + database);
  ran(database, entry, *sent);
}

void SessionChecks::statement(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry) {
  auto content = requestToJson(entry.request);
  auto found = byContent_.find(content);
  if (found == byContent_.end()) return fault_("ran what no session sent: " + content + " at " + database);
  const auto& sent = *found->second;
  ran(database, entry, sent);
  auto who = content + " of session " + std::to_string(sent.session) + " at " + database;
  if (stretch.stateOf && *stretch.stateOf != sent.session) fault_("on a connection with another session's values or shapes: " + who);
  if (stretch.open) {
    const auto* before = stretch.last ? stretch.last : of(sent.session, sent.sequence - 1);
    bool follows = before && before->session == sent.session && before->sequence + 1 == sent.sequence && sent.transaction != 0 &&
                   before->transaction == sent.transaction;
    if (!stretch.last && follows) {
      follows = before->request.operation == Operation::begin;
      ran(database, entry, *before);
    }
    if (!follows) fault_("not in its own transaction: " + who);
    stretch.last = &sent;
  } else if (sent.transaction != 0) {
    fault_("outside of its transaction: " + who);
  }
  auto& sequence = stretch.sequences[sent.session];
  if (sent.sequence < sequence) fault_("out of the session's order: " + who);
  sequence = sent.sequence;
  if (entry.request.operation == Operation::set || entry.request.operation == Operation::prepare) stretch.stateOf = sent.session;
}

}  // namespace tamarindshift
