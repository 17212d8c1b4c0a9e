#pragma once

#include <random>

#include "base/gate.hpp"
#include "base/journal.hpp"
#include "base/task_scope.hpp"
#include "edge/web_link.hpp"
#include "simulated/caller_operation.hpp"
#include "simulated/sent_request.hpp"

namespace tamarindshift {

struct CallerKind {
  KindName kind;
  ServiceName service;
  std::size_t callers = 1;
  Duration pause = 100ms;
  unsigned writes = 500;
  unsigned transactions = 100;
  unsigned walksAway = 0;
  unsigned ownReads = 300;
  Duration idle = 5ms;
  std::size_t steps = 2;
  bool stateful = false;
  bool primary = true;
};

struct StandinCallersSettings {
  std::vector<Address> proxies;
  std::size_t zones = 1;
  std::vector<CallerKind> kinds;
  std::uint64_t seed = 1;
  Duration patience = 15s;
};

class StandinCallers {
 public:
  StandinCallers(Clock& clock, WebLink& web, Journal& journal, StandinCallersSettings settings);
  const std::vector<CallerOperation>& operations() const { return operations_; }
  const std::vector<SentRequest>& sent() const { return sent_; }
  const std::vector<std::string>& faults() const { return faults_; }
  void stop() { stopping_ = true; }
  void add(Address proxy) { settings_.proxies.push_back(std::move(proxy)); }
  void move() { ++moves_; }
  void pace(unsigned percent) { pace_ = percent; }
  std::size_t running() const { return running_; }

 private:
  struct Caller;
  Task<void> call(std::size_t number, CallerKind kind);
  Task<void> visit(Caller& caller);
  std::vector<Address> nodesFor(const Caller& caller) const;
  Task<bool> act(Caller& caller);
  Task<bool> write(Caller& caller);
  Task<bool> transaction(Caller& caller);
  Task<bool> read(Caller& caller);
  Task<bool> prepared(Caller& caller);
  Task<WebOutcome> run(Caller& caller, DatabaseRequest request, std::optional<KindName> kind = std::nullopt);
  bool note(Caller& caller, CallerOperation operation, const WebOutcome& outcome, const std::string& whenLost,
            const std::string& whenDone = "done");
  const CallerKind& writersOf(const ServiceName& service) const;
  static constexpr std::uint64_t tokensPerKey = 30;
  std::string key(const KindName& kind, std::size_t caller) const;
  std::string writeKey(Caller& caller);
  std::string token(Caller& caller);
  static DatabaseRequest statement(std::string text, bool reads);
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  Clock& clock_;
  WebLink& web_;
  Journal& journal_;
  StandinCallersSettings settings_;
  std::mt19937_64 random_;
  std::vector<CallerOperation> operations_;
  std::vector<SentRequest> sent_;
  std::size_t sessions_ = 0;
  std::vector<std::string> faults_;
  std::map<std::pair<KindName, std::size_t>, std::uint64_t> generations_;
  bool stopping_ = false;
  std::size_t moves_ = 0;
  unsigned pace_ = 100;
  std::size_t running_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift
