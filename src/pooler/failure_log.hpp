/// Record of failed statements, from which an operator learns afterwards why one failed.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/journal.hpp"
#include "pooler/statement_trace.hpp"

namespace tamarindshift {

/// A statement that was refused or failed, with the state of its node at that moment.
struct FailedStatement {
  Instant at{};
  std::string host;
  StatementTrace trace;
  StatementFault fault = StatementFault::none;
  std::string reason;
  /// From the arrival of the statement to its reply.
  Duration elapsed{};
  /// The primary and epoch that the node knew.
  DatabaseName primary;
  Epoch epoch;
  /// Zero if there was no lease.
  Duration leaseLeft{};
  /// Why the service was not available at its primary, in the words of the status page.
  std::vector<std::string> unavailabilityReasons;
};

/// The name of a fault in logs, metrics and the list of failures.
std::string_view faultName(StatementFault fault);

/// Keeps the last failures in full and counts all of them by cause. A period in which a service keeps failing for one cause
/// is logged as two lines, one at its start and one at its end.
class FailureLog {
 public:
  using Cause = std::tuple<ServiceName, StatementFault, std::string>;

  explicit FailureLog(Journal& journal) : journal_(journal) {}
  void record(FailedStatement failed);
  /// Logs the end of the periods of failure in which nothing has failed for `episodeGap`; to be called regularly.
  void endQuietEpisodes(Instant now);
  /// The kept failures, newest first; only those of the statement `id` unless it is empty.
  nlohmann::json json(Instant now, const std::string& id) const;
  /// Failures since the start, by cause.
  const std::map<Cause, std::uint64_t>& totals() const { return totals_; }

 private:
  /// A period of failures with one cause.
  struct Episode {
    Instant firstAt{};
    Instant lastAt{};
    std::uint64_t failures = 0;
  };

  static constexpr std::size_t maxKept = 256;
  /// Bound of the causes counted separately, since the reasons that databases give are free text.
  static constexpr std::size_t maxCauses = 128;
  /// A period ends after this time without a failure.
  static constexpr Duration episodeGap = 1s;
  /// Bound of an id, a host name and a reason.
  static constexpr std::size_t maxTextBytes = 256;

  static std::string describe(const Cause& cause);
  static void makePrintable(FailedStatement& failed);

  Journal& journal_;
  std::deque<FailedStatement> kept_;
  std::map<Cause, std::uint64_t> totals_;
  std::map<Cause, Episode> episodes_;
};

}  // namespace tamarindshift
