#include <algorithm>

#include "control/duties.hpp"

// Finds databases that may hold acknowledged commits that the databases in service lack. A database that was not asked or did
// not answer counts as one that holds them.

namespace tamarindshift {

// Asks every database of the service, including those that leave, are silent or are suspected.
Task<Duties::CommitSearch> Duties::searchCommits(ServiceName name, LogPosition required) {
  std::set<DatabaseName> databases;
  for (const auto& [database, own] : state_.databases(name)) databases.insert(database);
  auto answers = co_await pollStatus(name, databases);
  CommitSearch search;
  auto found = state_.services().find(name);
  if (found == state_.services().end()) co_return search;
  const auto& service = found->second;
  if (present(name, service.lastConfirmedPrimary)) search.waitReason = "no database holds all that was acknowledged";
  for (const auto& [database, standing] : answers->standings) {
    bool leaves = service.drained.contains(database);
    if (!standing) {
      if (!search.waitReason) search.waitReason = "database " + database.get() + " does not answer and may hold acknowledged commits";
    } else if (standing->logEnd() >= required && !leaves) {
      if (!search.holder || standing->logEnd() > search.holder->standing.logEnd())
        search.holder = Candidate{database, *standing, std::nullopt};
    } else if (standing->logEnd() >= required) {
      search.waitReason = "database " + database.get() + " leaves and holds acknowledged commits, its successor is awaited";
    }
  }
  auto predecessor = awaitedPredecessor(name);
  if (predecessor && !search.waitReason)
    search.waitReason = "the successor of database " + predecessor->get() + " may hold acknowledged commits and is awaited";
  co_return search;
}

// Replicas that leave, are suspected or are degraded. They are no candidates, but commits may have been acknowledged because
// they had received them.
std::vector<DatabaseName> Duties::nonCandidateReplicas(const ServiceName& name, const std::vector<DatabaseName>& among) const {
  const auto& service = state_.services().at(name);
  std::vector<DatabaseName> others;
  for (const auto& [database, own] : state_.databases(name)) {
    bool candidate = std::find(among.begin(), among.end(), database) != among.end();
    if (!candidate && database != service.lastConfirmedPrimary && database != service.primary) others.push_back(database);
  }
  return others;
}

// A replica that is no candidate and holds more than the chosen database, or that may hold more and was not asked or did not
// answer.
std::optional<DatabaseName> Duties::replicaThatMayHoldMore(const ServiceName& name, const std::vector<DatabaseName>& among,
                                                           const StatusPoll& poll, const DatabaseStatus& chosen) {
  const auto& drained = state_.services().at(name).drained;
  for (const auto& database : nonCandidateReplicas(name, among)) {
    auto answer = poll.standings.find(database);
    if (answer == poll.standings.end()) return database;
    const auto& standing = answer->second;
    bool mayHoldMore = standing ? standing->logEnd() > chosen.logEnd() : drained.contains(database) || lostWithPrimary(name, database);
    if (mayHoldMore) return database;
  }
  return awaitedPredecessor(name);
}

// A database that left and whose successor has not enrolled yet but still may.
std::optional<DatabaseName> Duties::awaitedPredecessor(const ServiceName& name) {
  auto& since = serviceDuties_[name].successorAwaitedSince;
  const auto& awaited = state_.services().at(name).awaitedSuccessors;
  std::erase_if(since, [&](const auto& each) {
    return std::none_of(awaited.begin(), awaited.end(), [&](const auto& successor) {
      return successor.predecessor == each.first;
    });
  });
  for (const auto& successor : awaited) {
    auto began = since.try_emplace(successor.predecessor, clock_.now()).first->second;
    if (clock_.now() - began <= timings_.databaseGone) return successor.predecessor;
  }
  return std::nullopt;
}

}  // namespace tamarindshift
