#include <algorithm>

#include "control/duties.hpp"

// Who may hold acknowledged commits that the databases in service lack. A database that was not asked, or has not answered,
// counts as one that holds them.

namespace tamarindshift {

// asks every database of the service, also those that leave, are silent or are suspected
Task<Duties::CommitSearch> Duties::searchCommits(ServiceName name, LogPosition needed) {
  std::set<DatabaseName> databases;
  for (const auto& [database, own] : state_.databases(name)) databases.insert(database);
  auto answers = co_await survey(name, databases);
  CommitSearch search;
  auto found = state_.services().find(name);
  if (found == state_.services().end()) co_return search;
  const auto& service = found->second;
  if (present(name, service.lastConfirmedPrimary)) search.mayReturn = "no database holds all that was acknowledged";
  for (const auto& [database, standing] : answers->standings) {
    bool leaves = service.drained.contains(database);
    if (!standing) {
      if (!search.mayReturn) search.mayReturn = "database " + database.get() + " does not answer and may hold acknowledged commits";
    } else if (standing->logEnd() >= needed && !leaves) {
      if (!search.holder || standing->logEnd() > search.holder->standing.logEnd())
        search.holder = Candidate{database, *standing, std::nullopt};
    } else if (standing->logEnd() >= needed) {
      search.mayReturn = "database " + database.get() + " leaves and holds acknowledged commits, its successor is awaited";
    }
  }
  auto predecessor = awaitedPredecessor(name);
  if (predecessor && !search.mayReturn)
    search.mayReturn = "the successor of database " + predecessor->get() + " may hold acknowledged commits and is awaited";
  co_return search;
}

// replicas that leave, are suspected or strained: no candidates, but commits may have been acknowledged by their receipt
std::vector<DatabaseName> Duties::otherReplicas(const ServiceName& name, const std::vector<DatabaseName>& among) const {
  const auto& service = state_.services().at(name);
  std::vector<DatabaseName> others;
  for (const auto& [database, own] : state_.databases(name)) {
    bool candidate = std::find(among.begin(), among.end(), database) != among.end();
    if (!candidate && database != service.lastConfirmedPrimary && database != service.primary) others.push_back(database);
  }
  return others;
}

// a replica that is no candidate and holds more than the chosen database, or may hold more and was not asked or is silent
std::optional<DatabaseName> Duties::mayHoldMoreThan(const ServiceName& name, const std::vector<DatabaseName>& among, const Survey& survey,
                                                    const DatabaseStatus& chosen) {
  const auto& drained = state_.services().at(name).drained;
  for (const auto& database : otherReplicas(name, among)) {
    auto answer = survey.standings.find(database);
    if (answer == survey.standings.end()) return database;
    const auto& standing = answer->second;
    bool mayHoldMore = standing ? standing->logEnd() > chosen.logEnd() : drained.contains(database) || diedWithPrimary(name, database);
    if (mayHoldMore) return database;
  }
  return awaitedPredecessor(name);
}

// a database that left and whose successor has not come, and may still come
std::optional<DatabaseName> Duties::awaitedPredecessor(const ServiceName& name) {
  auto& since = duties_[name].successorAwaitedSince;
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
