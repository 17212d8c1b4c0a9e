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

/// A statement that was not served, with what its node knew at that moment.
struct FailedStatement {
  Instant at{};
  std::string host;
  StatementTrace trace;
  StatementFault fault = StatementFault::none;
  std::string reason;
  Duration elapsed{};
  DatabaseName primary;
  Epoch epoch;
  Duration leaseLeft{};
  /// What kept the service from serving, as the status page words it.
  std::vector<std::string> unavailabilityReasons;
};

/// The word for a fault in logs, metrics and the list of failures.
std::string_view faultName(StatementFault fault);

/// Tells afterwards why single statements failed: the last ones whole, all of them as sums, and the time in which a
/// service kept failing for one cause as two log lines.
class FailureLog {
 public:
  using Cause = std::tuple<ServiceName, StatementFault, std::string>;

  explicit FailureLog(Journal& journal) : journal_(journal) {}
  void record(FailedStatement failed);
  /// Ends the episodes in which nothing failed for a while.
  void endQuietEpisodes(Instant now);
  /// The newest failures first; only those of `id` if that is not empty.
  nlohmann::json json(Instant now, const std::string& id) const;
  const std::map<Cause, std::uint64_t>& totals() const { return totals_; }

 private:
  struct Episode {
    Instant firstAt{};
    Instant lastAt{};
    std::uint64_t failures = 0;
  };

  static constexpr std::size_t maxKept = 256;
  /// Causes told apart; what databases say in their own words must not grow this without end.
  static constexpr std::size_t maxCauses = 128;
  static constexpr Duration episodeGap = 1s;
  /// Bytes kept of an id, a host name or a reason.
  static constexpr std::size_t maxTextBytes = 256;

  static std::string describe(const Cause& cause);
  static void makePrintable(FailedStatement& failed);

  Journal& journal_;
  std::deque<FailedStatement> kept_;
  std::map<Cause, std::uint64_t> totals_;
  std::map<Cause, Episode> episodes_;
};

}  // namespace tamarindshift
