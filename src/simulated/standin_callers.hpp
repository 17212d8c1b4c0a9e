#pragma once

#include <random>

#include "base/gate.hpp"
#include "base/journal.hpp"
#include "base/task_scope.hpp"
#include "edge/web_link.hpp"
#include "simulated/caller_operation.hpp"

namespace tamarindshift {

struct CallerKind {
  KindName kind;
  ServiceName service;
  std::size_t callers = 1;
  Duration pause = 100ms;
  unsigned writes = 500;
  unsigned transactions = 100;
  unsigned walksAway = 0;
  bool stateful = false;
  bool primary = true;
};

struct StandinCallersSettings {
  std::vector<Address> proxies;
  std::vector<CallerKind> kinds;
  std::uint64_t seed = 1;
  Duration patience = 15s;
};

class StandinCallers {
 public:
  StandinCallers(Clock& clock, WebLink& web, Journal& journal, StandinCallersSettings settings);
  const std::vector<CallerOperation>& operations() const { return operations_; }
  const std::set<std::string>& texts() const { return texts_; }
  const std::vector<std::string>& faults() const { return faults_; }
  void stop() { stopping_ = true; }
  void pace(unsigned percent) { pace_ = percent; }
  std::size_t running() const { return running_; }

 private:
  struct Caller;
  Task<void> call(std::size_t number, CallerKind kind);
  Task<bool> visit(Caller& caller);
  Task<bool> act(Caller& caller);
  Task<bool> write(Caller& caller);
  Task<bool> transaction(Caller& caller);
  Task<bool> read(Caller& caller);
  Task<bool> prepared(Caller& caller);
  Task<WebOutcome> run(Caller& caller, std::string body);
  bool note(Caller& caller, CallerOperation operation, const WebOutcome& outcome, const std::string& whenLost);
  const CallerKind& writersOf(const ServiceName& service) const;
  static constexpr std::uint64_t tokensPerKey = 30;
  std::string key(const KindName& kind, std::size_t caller) const;
  std::string writeKey(Caller& caller);
  std::string token(Caller& caller);
  std::string statement(const std::string& operation, const std::string& text, bool reads);
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  Clock& clock_;
  WebLink& web_;
  Journal& journal_;
  StandinCallersSettings settings_;
  std::mt19937_64 random_;
  std::vector<CallerOperation> operations_;
  std::set<std::string> texts_;
  std::vector<std::string> faults_;
  std::map<std::pair<KindName, std::size_t>, std::uint64_t> generations_;
  bool stopping_ = false;
  unsigned pace_ = 100;
  std::size_t running_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift
