/// Transaction pooling of client sessions over shared database connections.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/journal.hpp"
#include "control/plan_version_check.hpp"
#include "control/report_messages.hpp"
#include "proxy/service_directory.hpp"
#include "pooler/reply_check.hpp"
#include "pooler/back_end_pool.hpp"
#include "pooler/connection_request_queue.hpp"
#include "pooler/drain_schedule.hpp"
#include "pooler/failure_log.hpp"
#include "pooler/pooler_settings.hpp"
#include "pooler/service_tracker.hpp"
#include "pooler/statement_reply.hpp"

namespace tamarindshift {

/// How the log line about a session that was closed by an exception begins.
inline constexpr std::string_view sessionExceptionPrefix = "session closed by an exception: ";

/// Runs the statements of client sessions over shared connections. It sets and resets session state with statements of its
/// own, so it needs databases that accept these.
class Pooler {
 public:
  using Reports = std::function<void(NodeReport)>;

  /// `boot` tells this start of the process from earlier ones; `reports` receives the reports for the control plane.
  Pooler(Clock& clock, ServiceDirectory& guide, BackEndConnector& connector, Journal& journal, PoolerSettings settings, std::uint64_t boot,
         Reports reports);

  /// Opens a session; null if it is refused, with fault and reason in `refusal`.
  std::shared_ptr<ClientSession> open(const std::string& host, StatementReply& refusal);
  /// As `open`, but waits up to `routeWaitTimeout` for the routes to become known; `refusal` must stay valid until then.
  Task<std::shared_ptr<ClientSession>> openWhenRoutesKnown(std::string host, StatementReply& refusal);
  /// Runs one statement of a session; a session runs one at a time.
  Task<StatementReply> run(std::shared_ptr<ClientSession> session, Statement statement);
  /// The client has disconnected; rolls back an open transaction.
  void closeSession(const std::shared_ptr<ClientSession>& session);

  /// Takes effect at the next use of a setting.
  void updateSettings(PoolerSettings settings) { settings_ = std::move(settings); }
  /// The node leaves: it is no longer ready, serves for `drainServingTime` and then closes sessions. Repeated calls do nothing.
  void drain();
  bool draining() const { return drain_.begun(); }
  /// Whether draining has reached the point from which idle sessions are closed and new ones refused.
  bool closing() const { return drain_.closing(); }
  /// Whether the process may exit: no session is left, or at the end of its time to stop none has a statement in progress, or that
  /// time is nearly over.
  bool stopped() const;
  /// Whether the process must exit, whatever is unanswered or unsent.
  bool stopTimeOver() const { return drain_.over(); }
  /// Whether leases and contact with the replicas were lost for so long that clients are better served by another node.
  bool cutOff() const;
  /// Whether a service has had no lease here for so long that letting its statements wait would only use up the clients' time.
  bool leaseLapsedLong(const ServiceName& service) const;
  /// The same for the routes, which need the leases of all services.
  bool leaseLapsedLong() const;
  /// Why the readiness probe fails; nothing if the node is ready.
  std::optional<std::string> notReadyReason() const;
  /// The status page for operators, built at each call.
  nlohmann::json status() const;
  std::size_t sessions() const { return sessions_.size(); }
  const BackEndPool& pool() const { return pool_; }
  /// Statements that wait for a connection.
  std::size_t waiting() const { return requests_.size(); }
  /// A limit of the current configuration, by its name there.
  std::optional<std::uint64_t> limit(const std::string& name) const;
  const FailureLog& failures() const { return failures_; }
  /// The metrics page.
  std::string metrics() const;
  /// Counts and logs an exception that closed a session.
  void noteSessionException(const std::string& what);
  /// Records a session that was refused, in the failure log.
  void noteRefusedSession(const std::string& host, const StatementReply& refusal, Instant arrivedAt);

 private:
  /// A route with its kind and service; the pointers hold until the next refresh of the guide.
  struct Route {
    KindName name;
    const PlanKind* kind = nullptr;
    const ServiceDirectory::ServiceView* service = nullptr;
  };
  /// A connection, or why there is none.
  struct Acquired {
    std::shared_ptr<PooledBackEnd> connection;
    std::optional<LogPosition> minPosition;
    StatementFault fault = StatementFault::none;
    std::string reason;
  };
  using Session = std::shared_ptr<ClientSession>;
  using Connection = std::shared_ptr<PooledBackEnd>;

  Task<void> superviseLoop();
  Task<void> reportLoop();
  /// Applies updates of the control plane, closes what may no longer be held, assigns connections and detects stalls.
  void supervise();
  /// Reads the routes again if the updates of a service have changed.
  void updateRoutes();
  /// Ends open transactions that rest for too long, or whose part of the time to stop is over.
  void endOverdueTransactions();
  /// Hands the share back once nothing needs connections any more, and gives up on what still runs at the end of the time to stop.
  void superviseDrain();
  /// Whether a statement is in progress.
  bool anyBusy() const;
  /// Whether a draining node still needs its connections: for statements in progress, and for open transactions while they have time.
  bool needsConnections() const;
  /// Whether nothing that waits gets a connection any more.
  bool noMoreConnections(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  /// Whether work of an earlier epoch than the observed one still runs at a service.
  bool epochChangePending() const;
  void superviseService(const ServiceName& name, const ServiceDirectory::ServiceView& view);
  /// Notices a new epoch and decides for how long work of the previous one may finish.
  void observeEpoch(const ServiceName& name, const ServiceDirectory::ServiceView& view, ServiceTracker& tracker);
  void logEpochChange(const ServiceName& name, const ServiceTracker& tracker);
  /// Closes work of earlier epochs whose time is over, and confirms the observed epoch once none is left.
  void finishPreviousEpoch(const ServiceName& name, const ServiceDirectory::ServiceView& view, ServiceTracker& tracker);
  nlohmann::json serviceStatus(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  /// Why a service is not available at its primary now, in words for operators.
  std::vector<std::string> unavailabilityReasons(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  /// Why a statement got no connection in time, short enough for a reply.
  std::string waitReason(const ConnectionRequest& request) const;
  Task<StatementReply> runStatement(Session session, Statement statement);
  void noteFailure(const ClientSession& session, const StatementReply& reply);
  /// The state that the success of a statement is checked against; to be taken before its connection is released.
  AcknowledgementFacts acknowledgementFacts(const ClientSession& session, const Connection& connection, bool durable) const;
  /// Whether the connection works at the primary of the current epoch, or is finishing work before a planned change under the lease
  /// that came with the previous epoch.
  bool inEpoch(const Connection& connection) const;
  void checkSending(const ClientSession* session, const Connection& connection, const Statement& statement);
  /// Until when a statement may wait while its service's lease has lapsed long ago.
  Instant lapsedWaitUntil(const ConnectionRequest& request) const;
  /// Time since `instant`, not counting the time before the start or before the last stall, in which no lease could be received.
  Duration elapsedSince(Instant instant) const;
  void checkRepliedInTime(const ClientSession& session);
  /// Whether the process was stalled at some time since then, so that its timers fired late.
  bool stalledSince(Instant since) const;
  void noteAttempt(ClientSession& session, const Connection& connection, const BackEndReply& reply, Instant askedAt, bool durable);
  /// Whether a statement writes or commits.
  bool makesDurable(const ClientSession& session, const Statement& statement) const;
  void requestReport();
  NodeReport buildReport();
  /// Leaves out the services that have not changed much since they were last reported, unless a whole report is due.
  NodeReport withoutUnchanged(NodeReport report);
  std::optional<Route> route(const std::string& host) const;
  std::optional<Route> routeNamed(const KindName& name) const;

  /// Handles statements that change session state only; it reaches a database with the next statement that runs there.
  StatementReply applyLocally(ClientSession& session, const Statement& statement);
  StatementReply begin(ClientSession& session, const Statement& statement);
  Task<StatementReply> runSingle(Session session, Statement statement);
  Task<StatementReply> runInTransaction(Session session, Statement statement);
  Task<StatementReply> commit(Session session, Statement statement);
  StatementReply rollback(const Session& session);
  /// Acquires a connection for the open transaction and sends its BEGIN; `next` is the statement that needs it.
  Task<StatementReply> startTransaction(Session session, Statement next, Instant deadline);
  /// Waits for a connection. `executes` is the EXECUTE to be run, or null; `avoid` are databases that failed before.
  Task<Acquired> acquire(Session session, KindName kind, bool atPrimary, const Statement* executes, Instant arrived, Instant deadline,
                         std::set<DatabaseName> avoid);
  /// Sets the session's variables and the prepared statement needed on the connection; false if a step failed.
  Task<bool> applySessionState(Session session, Connection connection, const Statement* executes, Instant deadline);
  /// Sends a statement to a database; every statement goes through here. `session` is the holder of the connection, or null
  /// for a rollback on a connection that the session has given back.
  Task<BackEndReply> runOn(ClientSession* session, Connection connection, Statement statement, std::optional<LogPosition> minPosition,
                           Instant deadline);
  /// Rolls back the database's side of a transaction and returns the connection.
  Task<void> finishRollback(Connection connection);

  /// Grants connections to waiting requests in queue order, and opens connections for those that need one.
  void assignConnections();
  void assignConnection(const ConnectionRequestQueue::Request& request);
  /// Whether work of this precedence must wait because the connections of the overloaded database are rationed.
  bool rationed(const ServiceDirectory::ServiceView& view, const DatabaseName& database, std::uint32_t order) const;
  bool anyRationed(const ServiceDirectory::ServiceView& view, const ConnectionRequest& request) const;
  /// Measures the load that is reported to the control plane.
  void measureDemand();
  /// The databases that may serve a request, best first. `minPosition` is set if they may be replicas.
  std::vector<DatabaseName> candidates(const ConnectionRequest& request, const Route& route, std::optional<LogPosition>& minPosition) const;
  /// Whether a statement may be sent now: the connection is usable, the service leased and, for the primary, the epoch current.
  bool mayRunOn(const Connection& connection, const KindName& kind, bool inTransaction) const;
  /// Whether the success of a write may be reported: the service is leased and the epoch still valid.
  bool mayAcknowledge(const Connection& connection) const;
  bool writes(const ClientSession& session, const Statement& statement) const;
  /// The fault of a statement that does not fit the state of its session.
  std::optional<StatementFault> invalid(const ClientSession& session, const Statement& statement) const;
  /// Counts a refusal and builds its reply.
  StatementReply refuse(StatementFault fault, std::string reason, TransactionState state = TransactionState::idle);
  StatementReply toStatementReply(BackEndReply reply) const;
  void noteCommitPosition(ClientSession& session, const Connection& connection, const BackEndReply& reply);
  /// Fails the open transaction and rolls it back at its database.
  void failTransaction(ClientSession& session);
  /// How many connections may be held to each database of the service.
  std::uint32_t connectionLimit(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  bool hasRoom(const DatabaseTarget& target) const;
  Duration statementTimeout(const KindName& kind) const;
  /// Timeout of one attempt of a repeatable statement, a multiple of the usual latency; doubles with each attempt.
  Duration attemptTimeout(const Connection& connection, const KindName& kind, int attempt) const;
  void noteLatency(const KindName& kind, Duration latency);

  Clock& clock_;
  ServiceDirectory& guide_;
  Journal& journal_;
  PoolerSettings settings_;
  DrainSchedule drain_;
  /// Whether the reports say that this node gives its share back.
  bool releasesShare_ = false;
  std::uint64_t boot_;
  Reports reports_;
  BackEndPool pool_;
  ConnectionRequestQueue requests_;
  FailureLog failures_;
  std::map<ServiceName, ServiceTracker> trackers_;
  std::map<std::string, std::vector<KindName>> routesByHost_;
  /// The marks of the updates that `routesByHost_` was built from.
  std::map<ServiceName, std::uint64_t> routeMarks_;
  /// Moving average per kind of route.
  std::map<KindName, double> usualLatencyMicros_;
  std::set<Session> sessions_;
  /// When leases for all services were last seen to be valid; unset if never.
  std::optional<Instant> lastLeasedAt_;
  /// As last logged; empty if ready.
  std::string notReadyReason_ = "not started";
  /// Per database, connections being opened that a request of the current assignment counts on.
  std::map<DatabaseName, std::uint32_t> claimedOpens_;
  /// Why a node that leaves refuses something.
  static constexpr const char* leavingReason = "this node is leaving";
  /// Least time over which running work is averaged.
  static constexpr Duration minDemandWindow = 200ms;
  /// `supervise` runs every 100 ms or more often; a longer gap than this means that the process was stalled.
  static constexpr Duration stallThreshold = 400ms;
  Instant demandMeasuredAt_{};
  /// Guard `assignConnections` against recursion: a nested call makes the outer one run again.
  bool assigning_ = false;
  bool assignAgain_ = false;
  Gate reportWakeup_;
  /// Each service as last reported.
  std::map<ServiceName, ServiceReport> lastReported_;
  Instant lastWholeReportAt_{};
  bool reportRequested_ = false;
  Instant startedAt_{};
  /// When `supervise` last ran, and when it last ran late.
  Instant supervisedAt_{};
  Instant stalledAt_{};
  PlanVersionCheck planVersions_{journal_};
  Gate supervised_;
  TaskScope scope_;
};

}  // namespace tamarindshift
