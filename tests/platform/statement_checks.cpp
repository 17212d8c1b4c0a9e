#include "tests/platform/statement_checks.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift::testing {

namespace {

bool runsAtDatabases(const std::string& text) {
  auto statement = parseWireStatement(text);
  if (!statement) return false;
  return statement->verb == WireVerb::read || statement->verb == WireVerb::write || statement->verb == WireVerb::execute ||
         statement->verb == WireVerb::commit;
}

std::string told(const DatabaseRun& run) {
  return "'" + run.id + " " + run.text + "' at " + run.service + "/" + run.database;
}

Instant firstByte(const AskedStatement& asked) {
  if (!asked.attempt->transaction) return asked.statement->sentAt;
  for (const auto& statement : asked.attempt->statements)
    if (statement.text.starts_with("BEGIN")) return statement.sentAt;
  return asked.statement->sentAt;
}

}  // namespace

StatementChecks::StatementChecks(const PlatformHistory& history, const HistoryIndex& index, std::vector<BrokenRule>& broken)
    : history_(history), index_(index), broken_(broken), lineage_(history.services.terms) {
  for (const auto& run : history_.services.runs)
    if (run.verb == WireVerb::commit && run.kept) commits_[run.transaction] = &run;
  for (const auto& attempt : history_.clients.tries)
    for (const auto& statement : attempt.statements) {
      if (statement.reply.end != WireEnd::complete) continue;
      const auto* run = index_.stamped(statement.reply.stamp);
      if (!run || !run->kept) continue;
      everAcknowledged_.push_back(Acknowledged{&attempt, &statement, run});
      if (!lineage_.cutBack(run->service, *run->kept)) acknowledged_[run->service].push_back(everAcknowledged_.back());
    }
  for (auto& [service, all] : acknowledged_)
    std::stable_sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
      return left.statement->reply.at < right.statement->reply.at;
    });
}

void StatementChecks::check() {
  unasked();
  mixed();
  transactionsApart();
  transactionsWhole();
  namesHeld();
  twice();
  refused();
  stale();
  one();
  lost();
}

bool StatementChecks::committed(const DatabaseRun& run) const {
  return run.transaction == 0 ? run.kept.has_value() : commits_.contains(run.transaction);
}

void StatementChecks::unasked() {
  for (const auto& run : history_.services.runs) {
    bool done = run.ran || run.answer == "COMPLETE" || run.kept;
    if (!done) continue;
    if (run.id == "-") {
      if (runsAtDatabases(run.text)) broke("UNASKED", told(run) + " is nobody's");
      continue;
    }
    auto asked = index_.askedBy(run);
    if (!asked) broke("UNASKED", told(run) + " was sent by no client");
    if (asked && asked->statement->sentAt > run.arrivedAt) broke("UNASKED", told(run) + " came before it was asked");
  }
}

void StatementChecks::mixed() {
  for (const auto& attempt : history_.clients.tries)
    for (const auto& statement : attempt.statements) {
      if (statement.reply.end != WireEnd::complete || !runsAtDatabases(statement.text)) continue;
      const auto* run = index_.stamped(statement.reply.stamp);
      auto told = "'" + statement.id + " " + statement.text + "'";
      if (!run)
        broke("MIXED", told + " was answered with a stamp that no database gave");
      else if (run->id != statement.id || HistoryIndex::asked(run->text) != HistoryIndex::asked(statement.text))
        broke("MIXED", told + " was answered with the stamp of '" + run->id + " " + run->text + "'");
      else if (run->rows != statement.reply.rows)
        broke("MIXED", told + " was answered with other rows");
    }
}

void StatementChecks::transactionsApart() {
  std::map<std::uint64_t, const ClientTry*> owners;
  for (const auto& run : history_.services.runs) {
    auto asked = index_.askedBy(run);
    if (!asked || run.transaction == 0 || !(run.ran || run.answer == "COMPLETE")) continue;
    auto [owner, fresh] = owners.emplace(run.transaction, asked->attempt);
    if (owner->second != asked->attempt) broke("PINNED", told(run) + " ran in the transaction of another try");
  }
}

void StatementChecks::transactionsWhole() {
  for (const auto& attempt : history_.clients.tries) {
    const DatabaseRun* first = nullptr;
    for (const auto* run : index_.runsOf(attempt)) {
      if (!run->ran || !runsAtDatabases(run->text)) continue;
      if (!attempt.transaction) {
        if (run->transaction != 0) broke("PINNED", told(*run) + " ran inside a transaction");
        continue;
      }
      if (!first) first = run;
      if (run->transaction == 0)
        broke("PINNED", told(*run) + " ran outside its transaction");
      else if (run->connection != first->connection || run->transaction != first->transaction)
        broke("PINNED", told(*run) + " ran on another connection than its transaction");
    }
  }
}

void StatementChecks::namesHeld() {
  std::map<std::size_t, Names> sessions;
  for (const auto& attempt : history_.clients.tries) {
    auto& held = sessions[attempt.session];
    for (const auto& statement : attempt.statements) {
      names(attempt, statement, held);
      auto parsed = parseWireStatement(statement.text);
      if (!parsed) continue;
      bool done = statement.reply.end == WireEnd::complete;
      switch (parsed->verb) {
        case WireVerb::set:
          held.unsure["SET " + parsed->name] = !done;
          held.values[parsed->name] = parsed->data;
          break;
        case WireVerb::prepare:
          held.unsure["PREPARE " + parsed->name] = !done;
          held.prepared[parsed->name] = {parsed->reads, parsed->shape};
          break;
        case WireVerb::discard:
          held.unsure["PREPARE " + parsed->name] = !done;
          if (done) held.prepared.erase(parsed->name);
          break;
        default:
          break;
      }
    }
  }
}

void StatementChecks::names(const ClientTry&, const ClientStatement& statement, const Names& names) {
  auto unsure = [&](const std::string& name) {
    auto found = names.unsure.find(name);
    return found != names.unsure.end() && found->second;
  };
  auto parsed = parseWireStatement(statement.text);
  bool executes = parsed && parsed->verb == WireVerb::execute && !unsure("PREPARE " + parsed->name);
  auto prepared = executes ? names.prepared.find(parsed->name) : names.prepared.end();
  if (prepared != names.prepared.end() && statement.reply.end == WireEnd::error && statement.reply.code == "UNKNOWN")
    broke("PINNED", "'" + statement.id + " " + statement.text + "' is unknown although it was prepared");
  for (const auto* run : index_.runsOf(statement)) {
    if (prepared != names.prepared.end() && run->answer == "UNKNOWN") broke("PINNED", told(*run) + " was unknown although it was prepared");
    if (!run->ran) continue;
    if (prepared != names.prepared.end() && (run->shape != prepared->second.second || run->writes == prepared->second.first))
      broke("PINNED", told(*run) + " ran the shape " + run->shape + " and not " + prepared->second.second);
    if (!runsAtDatabases(run->text)) continue;
    auto expected = names.values;
    auto found = run->values;
    for (const auto& [name, doubtful] : names.unsure)
      if (doubtful && name.starts_with("SET ")) {
        expected.erase(name.substr(4));
        found.erase(name.substr(4));
      }
    if (expected != found) broke("PINNED", told(*run) + " ran with other session values");
  }
}

void StatementChecks::twice() {
  for (const auto& attempt : history_.clients.tries)
    for (const auto& statement : attempt.statements) {
      const auto& runs = index_.runsOf(statement);
      auto times = std::count_if(runs.begin(), runs.end(), [&](const auto* run) {
        return run->writes && run->ran && committed(*run);
      });
      if (times > 1) broke("TWICE", "'" + statement.id + " " + statement.text + "' took effect " + std::to_string(times) + " times");
    }
}

void StatementChecks::refused() {
  for (const auto& attempt : history_.clients.tries) {
    auto promise = std::find_if(attempt.statements.begin(), attempt.statements.end(), [](const auto& statement) {
      return statement.reply.end == WireEnd::error && promisesNothingKept(statement.reply.code);
    });
    if (promise == attempt.statements.end()) continue;
    for (const auto* run : index_.runsOf(attempt))
      if (run->kept) broke("REFUSED", told(*run) + " was kept although the client was told " + promise->reply.code);
  }
}

bool StatementChecks::stale(const DatabaseRun& run, const AskedStatement& asked) const {
  auto found = acknowledged_.find(run.service);
  if (found == acknowledged_.end()) return false;
  auto asks = firstByte(asked);
  auto bound = asked.attempt->routeClass == RouteClass::primary ? asks : asks - asked.attempt->staleness;
  return std::any_of(found->second.begin(), found->second.end(), [&](const auto& each) {
    auto at = each.statement->reply.at;
    if (at >= asks) return false;
    bool own = asked.attempt->routeClass == RouteClass::inHouse && each.attempt->session == asked.attempt->session;
    return (own || at < bound) && !Lineage::contains(run.log, *each.run->kept);
  });
}

void StatementChecks::stale() {
  for (const auto& run : history_.services.runs) {
    if (!run.ran || run.writes || (run.verb != WireVerb::read && run.verb != WireVerb::execute)) continue;
    auto asked = index_.askedBy(run);
    if (asked && stale(run, *asked)) broke("STALE", told(run) + " ran on the log " + wireText(run.log));
  }
}

void StatementChecks::one() {
  for (const auto& each : everAcknowledged_)
    for (const auto& start : history_.services.terms) {
      if (start.service != each.run->service || start.term <= each.run->kept->term || start.at >= each.run->keptAt) continue;
      if (!history_.troubles.calm(each.attempt->node, each.run->keptAt - history_.bounds.thawSlack, each.run->keptAt)) continue;
      broke("ONE", told(*each.run) + " was kept as " + wireText(*each.run->kept) + " after term " + std::to_string(start.term) + " began");
      break;
    }
}

void StatementChecks::lost() {
  for (const auto& start : history_.services.terms) {
    auto sync = history_.services.syncReplicas.find(start.service);
    if (sync == history_.services.syncReplicas.end() || !sync->second) continue;
    for (const auto& each : everAcknowledged_) {
      const auto& kept = *each.run->kept;
      if (each.run->service != start.service || kept.term >= start.term || kept.number <= start.number || each.run->keptAt > start.at)
        continue;
      broke("LOST",
            told(*each.run) + " was acknowledged as " + wireText(kept) + " and is not in the log of term " + std::to_string(start.term));
    }
  }
}

}  // namespace tamarindshift::testing
