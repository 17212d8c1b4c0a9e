#include "base/metrics_text.hpp"
#include "base/plain_text.hpp"
#include "pooler/pooler.hpp"

namespace tamarindshift {

namespace {

constexpr std::size_t maxReasonBytes = 256;

}  // namespace

std::string Pooler::waitReason(const ConnectionRequest& request) const {
  if (request.rationed) return "work of earlier orders goes first at a crowded database";
  static const std::string prefix = "no database could take it in time";
  auto found = routeNamed(request.kind);
  if (!found) return prefix;
  auto reasons = unavailabilityReasons(found->kind->service, *found->service);
  return prefix + ": " + (reasons.empty() ? "its connections are in use or being opened" : reasons.front());
}

void Pooler::noteFailure(const ClientSession& session, const StatementReply& reply) {
  if (reply.fault == StatementFault::none) return;
  FailedStatement failed;
  failed.at = clock_.now();
  failed.host = session.host;
  failed.trace = session.trace;
  failed.fault = reply.fault;
  failed.reason = reply.reason;
  failed.elapsed = failed.at - session.trace.arrivedAt;
  if (failed.trace.service.get().empty())
    if (auto found = route(session.host)) failed.trace.service = found->kind->service;
  const auto& service = failed.trace.service;
  if (const auto* view = guide_.service(service)) {
    failed.primary = view->primary.primary;
    failed.epoch = view->primary.epoch;
    failed.unavailabilityReasons = unavailabilityReasons(service, *view);
  }
  if (auto until = guide_.leaseUntil(service)) failed.leaseLeft = *until - failed.at;
  failures_.record(std::move(failed));
}

void Pooler::noteRefusedSession(const std::string& host, const StatementReply& refusal, Instant arrivedAt) {
  FailedStatement failed;
  failed.at = clock_.now();
  failed.host = host;
  failed.trace.id = "session";
  failed.trace.arrivedAt = arrivedAt;
  failed.fault = refusal.fault;
  failed.reason = refusal.reason;
  failed.elapsed = failed.at - arrivedAt;
  failures_.record(std::move(failed));
}

void Pooler::noteSessionException(const std::string& what) {
  journal_.count("sessions.threw");
  journal_.line(std::string{sessionExceptionPrefix} + printable(what, maxReasonBytes));
}

std::string Pooler::metrics() const {
  MetricsText page;
  auto now = clock_.now();
  page.gauge("ready", "Whether the readiness probe is answered with 200.");
  page.sample({}, notReadyReason() ? 0 : 1);
  page.gauge("cut_off", "Whether this node hears no replica and refuses at once.");
  page.sample({}, cutOff() ? 1 : 0);
  page.gauge("configuration_version", "The version of the configuration that is followed.");
  page.sample({}, static_cast<double>(guide_.planMark().get()));
  page.gauge("sessions", "Open sessions of clients.");
  page.sample({}, static_cast<double>(sessions_.size()));
  page.gauge("waiting_statements", "Statements that wait for a connection.");
  page.sample({}, static_cast<double>(requests_.size()));
  page.gauge("lease_seconds", "What is left of the lease of a service.");
  for (const auto& [name, view] : guide_.services()) {
    auto until = guide_.leaseUntil(name);
    page.sample({{"service", name.get()}}, until ? std::chrono::duration<double>(*until - now).count() : 0);
  }
  page.gauge("epoch", "The epoch of the primary that is followed.");
  for (const auto& [name, view] : guide_.services()) page.sample({{"service", name.get()}}, static_cast<double>(view.primary.epoch.get()));
  page.gauge("hindrance", "What keeps a service from serving at its primary now.");
  for (const auto& [name, view] : guide_.services())
    for (const auto& reason : unavailabilityReasons(name, view)) page.sample({{"service", name.get()}, {"reason", reason}}, 1);
  page.gauge("connections", "Connections to databases by state.");
  for (const auto& [database, databasePool] : pool_.databasePools()) {
    page.sample({{"database", database.get()}, {"state", "busy"}}, static_cast<double>(databasePool.busy.size()));
    page.sample({{"database", database.get()}, {"state", "idle"}}, static_cast<double>(databasePool.idle.size()));
    page.sample({{"database", database.get()}, {"state", "opening"}}, databasePool.opening);
  }
  page.gauge("database_suspected", "Databases that leave work unanswered.");
  for (const auto& [database, databasePool] : pool_.databasePools())
    if (databasePool.suspected) page.sample({{"database", database.get()}}, 1);
  page.counter("failed_statements_total", "Statements that were not served, by cause.");
  for (const auto& [cause, amount] : failures_.totals()) {
    const auto& [service, fault, reason] = cause;
    page.sample({{"service", service.get()}, {"fault", std::string{faultName(fault)}}, {"reason", reason}}, static_cast<double>(amount));
  }
  page.journal(journal_);
  return page.text();
}

}  // namespace tamarindshift
