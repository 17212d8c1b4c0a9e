#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/journal.hpp"
#include "control/access_messages.hpp"
#include "control/plan_version_check.hpp"
#include "pool/guide.hpp"
#include "pooler/reply_check.hpp"
#include "pooler/back_end_pool.hpp"
#include "pooler/connection_request_queue.hpp"
#include "pooler/failure_log.hpp"
#include "pooler/pooler_settings.hpp"
#include "pooler/service_tracker.hpp"
#include "pooler/statement_reply.hpp"

namespace tamarindshift {

/// What a log line about a session that was ended by an exception begins with.
inline constexpr std::string_view sessionExceptionPrefix = "a session threw: ";

/// Sessions of clients over shared connections to databases that allow statements of ours.
class Pooler {
 public:
  using Reports = std::function<void(NodeReport)>;

  Pooler(Clock& clock, Guide& guide, BackEndConnector& connector, Journal& journal, PoolerSettings settings, std::uint64_t boot,
         Reports reports);

  // nothing, with the fault and reason left in `refusal`, where no session can be had
  std::shared_ptr<ClientSession> open(const std::string& host, StatementReply& refusal);
  // waits a little until the routes are known
  Task<std::shared_ptr<ClientSession>> openWhenRoutesKnown(std::string host, StatementReply& refusal);
  Task<StatementReply> run(std::shared_ptr<ClientSession> session, Statement statement);
  void closeSession(const std::shared_ptr<ClientSession>& session);

  void updateSettings(PoolerSettings settings) { settings_ = std::move(settings); }
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  // idle sessions are closed from then on, and no connection of a client is taken
  bool closing() const;
  bool stopped() const;
  // had leases and has none for so long that clients fare better elsewhere
  bool cutOff() const;
  /// Whether a service has had no lease here for so long that holding its work would only use up the clients' time.
  bool leaseLapsedLong(const ServiceName& service) const;
  /// The same for all that needs any lease, such as the routes.
  bool leaseLapsedLong() const;
  std::optional<std::string> notReadyReason() const;
  // what an operator sees, made when it is asked for
  nlohmann::json status() const;
  std::size_t sessions() const { return sessions_.size(); }
  const BackEndPool& pool() const { return pool_; }
  std::size_t waiting() const { return requests_.size(); }
  std::optional<std::uint64_t> limit(const std::string& name) const;
  const FailureLog& failures() const { return failures_; }
  /// The figures of this pooler as a page of metrics.
  std::string metrics() const;
  /// An exception ended a session.
  void noteSessionException(const std::string& what);
  /// A session that could not be opened, which the door found out.
  void noteRefusedSession(const std::string& host, const StatementReply& refusal, Instant arrivedAt);

 private:
  struct Route {
    KindName name;
    const PlanKind* kind = nullptr;
    const Guide::ServiceView* service = nullptr;
  };
  struct Acquired {
    std::shared_ptr<PooledBackEnd> connection;
    std::optional<Place> minPosition;
    StatementFault fault = StatementFault::none;
    std::string reason;
  };
  using Session = std::shared_ptr<ClientSession>;
  using Connection = std::shared_ptr<PooledBackEnd>;

  Task<void> superviseLoop();
  Task<void> reportLoop();
  void supervise();
  // whether an epoch is seen and work of the one before still runs
  bool epochChangePending() const;
  void superviseService(const ServiceName& name, const Guide::ServiceView& view);
  nlohmann::json serviceStatus(const ServiceName& name, const Guide::ServiceView& view) const;
  /// What keeps a service from serving at its primary now, in words.
  std::vector<std::string> unavailabilityReasons(const ServiceName& name, const Guide::ServiceView& view) const;
  /// The same for a statement that waits, short enough for a reply.
  std::string waitReason(const ConnectionRequest& request) const;
  Task<StatementReply> runStatement(Session session, Statement statement);
  void noteFailure(const ClientSession& session, const StatementReply& reply);
  /// What is true of the success of a statement, taken before its connection is given back.
  AcknowledgementFacts acknowledgementFacts(const ClientSession& session, const Connection& connection, bool durable) const;
  /// Whether the database is the primary of the epoch that is followed, or finishes work before a planned change.
  bool inEpoch(const Connection& connection) const;
  void checkSending(const ClientSession* session, const Connection& connection, const Statement& statement);
  /// Until when a statement may wait for a lease that lapsed long ago.
  Instant lapsedWaitUntil(const ConnectionRequest& request) const;
  Duration elapsedSince(Instant leasedAt) const;
  void checkRepliedInTime(const ClientSession& session);
  /// Whether this process stood still at some time since then, so that its timers came late.
  bool stalledSince(Instant since) const;
  void noteAttempt(ClientSession& session, const Connection& connection, const BackEndReply& reply, Instant askedAt, bool durable);
  /// Whether a statement writes, or commits what was written.
  bool makesDurable(const ClientSession& session, const Statement& statement) const;
  void requestReport();
  NodeReport buildReport();
  NodeReport withoutUnchanged(NodeReport report);
  std::optional<Route> route(const std::string& host) const;
  std::optional<Route> routeNamed(const KindName& name) const;

  StatementReply applyLocally(ClientSession& session, const Statement& statement);
  StatementReply begin(ClientSession& session, const Statement& statement);
  Task<StatementReply> runSingle(Session session, Statement statement);
  Task<StatementReply> runInTransaction(Session session, Statement statement);
  Task<StatementReply> commit(Session session, Statement statement);
  StatementReply rollback(const Session& session);
  Task<StatementReply> startTransaction(Session session, Statement next, Instant deadline);
  Task<Acquired> acquire(Session session, KindName kind, bool atPrimary, const Statement* executes, Instant arrived, Instant deadline,
                         std::set<DatabaseName> avoid);
  Task<bool> applySessionState(Session session, Connection connection, const Statement* executes, Instant deadline);
  /// The one way of a statement to a database. `session`: whose statement it is; none for those of the pooler itself.
  Task<BackEndReply> runOn(ClientSession* session, Connection connection, Statement statement, std::optional<Place> minPosition,
                           Instant deadline);
  Task<void> finishRollback(Connection connection);

  void assignConnections();
  void assignConnection(const ConnectionRequestQueue::Request& request);
  // whether work of this order must wait, since earlier orders have the crowded database's connections
  bool rationed(const Guide::ServiceView& view, const DatabaseName& database, std::uint32_t order) const;
  bool anyRationed(const Guide::ServiceView& view, const ConnectionRequest& request) const;
  void measureDemand();
  std::vector<DatabaseName> candidates(const ConnectionRequest& request, const Route& route, std::optional<Place>& minPosition) const;
  bool mayRunOn(const Connection& connection, const KindName& kind, bool inTransaction) const;
  bool mayAcknowledge(const Connection& connection) const;
  bool writes(const ClientSession& session, const Statement& statement) const;
  std::optional<StatementFault> invalid(const ClientSession& session, const Statement& statement) const;
  StatementReply refuse(StatementFault fault, std::string reason, TransactionState state = TransactionState::idle);
  StatementReply toStatementReply(BackEndReply reply) const;
  void noteCommitPosition(ClientSession& session, const Connection& connection, const BackEndReply& reply);
  void failTransaction(ClientSession& session);
  // how many connections may be held to a database of the service, and whether one more fits
  std::uint32_t connectionLimit(const ServiceName& name, const Guide::ServiceView& view) const;
  bool hasRoom(const DatabaseTarget& target) const;
  Duration statementTimeout(const KindName& kind) const;
  // how long work that may be done again is waited for, from what such work usually takes
  Duration attemptTimeout(const Connection& connection, const KindName& kind, int attempt) const;
  void noteLatency(const KindName& kind, Duration latency);

  Clock& clock_;
  Guide& guide_;
  Journal& journal_;
  PoolerSettings settings_;
  std::uint64_t boot_;
  Reports reports_;
  BackEndPool pool_;
  ConnectionRequestQueue requests_;
  FailureLog failures_;
  std::map<ServiceName, ServiceTracker> trackers_;
  std::map<std::string, std::vector<KindName>> routesByHost_;
  std::map<ServiceName, std::uint64_t> routeMarks_;
  std::map<KindName, double> usualLatencyMicros_;
  std::set<Session> sessions_;
  std::optional<Instant> drainingSince_;
  std::optional<Instant> lastLeasedAt_;
  std::string notReadyReason_ = "not started";
  std::map<DatabaseName, std::uint32_t> claimedOpens_;
  static constexpr Duration minDemandWindow = 200ms;
  /// The state is looked after each 100 ms or sooner; a pause longer than this means that the process stood still.
  static constexpr Duration stallThreshold = 400ms;
  Instant demandMeasuredAt_{};
  bool assigning_ = false;
  bool assignAgain_ = false;
  Gate reportWakeup_;
  std::map<ServiceName, ServiceReport> lastReported_;
  Instant lastWholeReportAt_{};
  bool reportRequested_ = false;
  /// When the state was last looked after, and when that last came late.
  Instant startedAt_{};
  Instant supervisedAt_{};
  Instant stalledAt_{};
  PlanVersionCheck planVersions_{journal_};
  Gate supervised_;
  TaskScope scope_;
};

}  // namespace tamarindshift
