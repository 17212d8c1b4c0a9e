#pragma once

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/history_index.hpp"
#include "tests/platform/lineage.hpp"

namespace tamarindshift::testing {

// UNASKED, MIXED, PINNED, TWICE, REFUSED, STALE, ONE and what LOST says of promoted logs
class StatementChecks {
 public:
  StatementChecks(const PlatformHistory& history, const HistoryIndex& index, std::vector<BrokenRule>& broken);
  void check();

 private:
  struct Acknowledged {
    const ClientTry* attempt = nullptr;
    const ClientStatement* statement = nullptr;
    const DatabaseRun* run = nullptr;
  };
  struct Names {
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::map<std::string, bool> unsure;
  };
  void unasked();
  void mixed();
  void transactionsApart();
  void transactionsWhole();
  void namesHeld();
  void names(const ClientTry& attempt, const ClientStatement& statement, const Names& names);
  void twice();
  void refused();
  void stale();
  void one();
  void lost();
  bool committed(const DatabaseRun& run) const;
  bool stale(const DatabaseRun& run, const AskedStatement& asked) const;
  void broke(const std::string& rule, const std::string& text) { broken_.push_back(BrokenRule{rule, text}); }

  const PlatformHistory& history_;
  const HistoryIndex& index_;
  std::vector<BrokenRule>& broken_;
  Lineage lineage_;
  std::map<std::uint64_t, const DatabaseRun*> commits_;
  std::map<std::string, std::vector<Acknowledged>> acknowledged_;  // by service, in the order of time, none cut back
  std::vector<Acknowledged> everAcknowledged_;
};

}  // namespace tamarindshift::testing
