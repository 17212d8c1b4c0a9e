#include "tests/platform/history_index.hpp"

#include <algorithm>

#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

std::string HistoryIndex::asked(const std::string& text) {
  auto rest = text;
  auto word = takeWireWord(rest);
  if (word != "EXECUTE" && word != "PREPARE" && word != "DISCARD") return text;
  takeWireWord(rest);
  return word + " * " + rest;
}

HistoryIndex::HistoryIndex(const PlatformHistory& history) {
  for (const auto& attempt : history.clients.tries)
    for (const auto& statement : attempt.statements)
      asked_[{statement.id, asked(statement.text)}].push_back(AskedStatement{&attempt, &statement});
  std::map<std::pair<std::string, std::string>, std::size_t> times;
  for (const auto& run : history.services.runs) {
    if (!run.stamp.empty() && run.stamp != "-") byStamp_[run.stamp] = &run;
    if (run.id == "-") continue;
    auto key = std::pair{run.id, asked(run.text)};
    auto found = asked_.find(key);
    if (found == asked_.end()) continue;
    auto which = std::min(run.ran ? times[key]++ : times[key], found->second.size() - 1);
    const auto& by = found->second[which];
    byRun_[&run] = by;
    byTry_[by.attempt].push_back(&run);
    byStatement_[by.statement].push_back(&run);
  }
}

std::optional<AskedStatement> HistoryIndex::askedBy(const DatabaseRun& run) const {
  auto found = byRun_.find(&run);
  if (found == byRun_.end()) return std::nullopt;
  return found->second;
}

const std::vector<const DatabaseRun*>& HistoryIndex::runsOf(const ClientTry& attempt) const {
  auto found = byTry_.find(&attempt);
  return found == byTry_.end() ? none_ : found->second;
}

const std::vector<const DatabaseRun*>& HistoryIndex::runsOf(const ClientStatement& statement) const {
  auto found = byStatement_.find(&statement);
  return found == byStatement_.end() ? none_ : found->second;
}

const DatabaseRun* HistoryIndex::stamped(const std::string& stamp) const {
  auto found = byStamp_.find(stamp);
  return found == byStamp_.end() ? nullptr : found->second;
}

}  // namespace tamarindshift::testing
