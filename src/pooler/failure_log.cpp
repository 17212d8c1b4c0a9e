#include "pooler/failure_log.hpp"

#include <array>

#include <nlohmann/json.hpp>

#include "base/plain_text.hpp"

namespace tamarindshift {

namespace {

using Json = nlohmann::json;

std::string_view outcomeName(BackEndOutcome outcome) {
  switch (outcome) {
    case BackEndOutcome::replied:
      return "replied";
    case BackEndOutcome::unsent:
      return "unsent";
    case BackEndOutcome::lost:
      return "lost";
  }
  return "unknown";
}

Json attemptJson(const StatementAttempt& attempt) {
  return Json{{"database", attempt.database.get()},
              {"fate", outcomeName(attempt.outcome)},
              {"fault", faultName(attempt.fault)},
              {"sent_after_ms", milliseconds(attempt.sentAfter).count()},
              {"taken_ms", milliseconds(attempt.latency).count()}};
}

Json failureJson(const FailedStatement& failed, Instant now) {
  Json json{{"ms_ago", milliseconds(now - failed.at).count()},
            {"id", failed.trace.id},
            {"host", failed.host},
            {"route", failed.trace.kind.get()},
            {"service", failed.trace.service.get()},
            {"fault", faultName(failed.fault)},
            {"reason", failed.reason},
            {"held_ms", milliseconds(failed.elapsed).count()},
            {"waited_ms", milliseconds(failed.trace.waited).count()},
            {"primary", failed.primary.get()},
            {"epoch", failed.epoch.get()},
            {"lease_ms", milliseconds(failed.leaseLeft).count()},
            {"hindrances", failed.unavailabilityReasons},
            {"attempts_made", failed.trace.attemptsMade}};
  json["attempts"] = Json::array();
  for (const auto& attempt : failed.trace.attempts) json["attempts"].push_back(attemptJson(attempt));
  return json;
}

}  // namespace

std::string_view faultName(StatementFault fault) {
  static constexpr std::array<std::string_view, 14> names{"none",         "busy",       "aborted",         "behind",    "read_only",
                                                          "misdirected",  "overloaded", "unknown_outcome", "timed_out", "failed",
                                                          "unknown_name", "malformed",  "no_database",     "other"};
  return names[static_cast<std::size_t>(fault)];
}

std::string FailureLog::describe(const Cause& cause) {
  const auto& [service, fault, reason] = cause;
  auto subject = service.get().empty() ? std::string{"sessions"} : "service " + service.get();
  return subject + " " + std::string{faultName(fault)} + ": " + reason;
}

// input from clients and databases may be long and may contain bytes that are not text
void FailureLog::makePrintable(FailedStatement& failed) {
  for (auto* text : {&failed.trace.id, &failed.host, &failed.reason}) *text = printable(*text, maxTextBytes);
}

void FailureLog::record(FailedStatement failed) {
  makePrintable(failed);
  Cause cause{failed.trace.service, failed.fault, failed.reason};
  if (totals_.size() >= maxCauses && !totals_.contains(cause)) std::get<std::string>(cause) = "one of many other reasons";
  ++totals_[cause];
  auto [episode, inserted] = episodes_.try_emplace(cause);
  if (inserted) {
    episode->second.firstAt = failed.at;
    journal_.line("statements failing: " + describe(cause));
  }
  episode->second.lastAt = failed.at;
  ++episode->second.failures;
  kept_.push_front(std::move(failed));
  if (kept_.size() > maxKept) kept_.pop_back();
}

void FailureLog::endQuietEpisodes(Instant now) {
  std::erase_if(episodes_, [&](const auto& each) {
    const auto& episode = each.second;
    if (now - episode.lastAt < episodeGap) return false;
    auto lastedMs = milliseconds(episode.lastAt - episode.firstAt).count();
    journal_.line(std::to_string(episode.failures) + " statements failed in " + std::to_string(lastedMs) + " ms: " + describe(each.first));
    return true;
  });
}

Json FailureLog::json(Instant now, const std::string& id) const {
  Json list = Json::array();
  const auto shownId = printable(id, maxTextBytes);
  for (const auto& failed : kept_)
    if (id.empty() || failed.trace.id == shownId) list.push_back(failureJson(failed, now));
  return list;
}

}  // namespace tamarindshift
