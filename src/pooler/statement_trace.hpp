#pragma once

#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/plan.hpp"
#include "pooler/back_end.hpp"

namespace tamarindshift {

/// What became of a statement at one database.
struct StatementAttempt {
  DatabaseName database;
  BackEndOutcome outcome = BackEndOutcome::unsent;
  StatementFault fault = StatementFault::none;
  Duration sentAfter{};
  Duration latency{};
};

/// The way of one statement through the pooler, kept until it ends.
struct StatementTrace {
  /// Later attempts are counted but not kept.
  static constexpr std::size_t maxAttemptsKept = 8;

  std::string id;
  Instant arrivedAt{};
  KindName kind;
  ServiceName service;
  /// When it may be held no longer, if that is known.
  Instant deadline = Instant::max();
  /// Time in which no database could take it, in all attempts together.
  Duration waited{};
  /// Whether it keeps something and was sent in a way that it may have run.
  bool mayHaveRun = false;
  std::size_t attemptsMade = 0;
  std::vector<StatementAttempt> attempts;

  void add(StatementAttempt attempt) {
    ++attemptsMade;
    if (attempts.size() < maxAttemptsKept) attempts.push_back(std::move(attempt));
  }
};

}  // namespace tamarindshift
