/// Trace of a statement through the pooler, for the failure log and the invariants.
#pragma once

#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/plan.hpp"
#include "pooler/back_end.hpp"

namespace tamarindshift {

/// One attempt to run a statement at a database.
struct StatementAttempt {
  DatabaseName database;
  BackEndOutcome outcome = BackEndOutcome::unsent;
  StatementFault fault = StatementFault::none;
  /// From the arrival of the statement to the start of the attempt.
  Duration sentAfter{};
  /// Of the attempt.
  Duration latency{};
};

/// Begins when a statement arrives; the session keeps it until the next one.
struct StatementTrace {
  /// Later attempts are only counted.
  static constexpr std::size_t maxAttemptsKept = 8;

  std::string id;
  Instant arrivedAt{};
  KindName kind;
  ServiceName service;
  /// When it must be answered; Instant::max() while that is not known.
  Instant deadline = Instant::max();
  /// Time spent waiting for a connection, over all attempts.
  Duration waited{};
  /// Whether it writes or commits and an attempt may have run.
  bool mayHaveRun = false;
  std::size_t attemptsMade = 0;
  std::vector<StatementAttempt> attempts;

  void add(StatementAttempt attempt) {
    ++attemptsMade;
    if (attempts.size() < maxAttemptsKept) attempts.push_back(std::move(attempt));
  }
};

}  // namespace tamarindshift
