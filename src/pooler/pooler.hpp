#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/journal.hpp"
#include "control/access_messages.hpp"
#include "control/plan_version_check.hpp"
#include "proxy/service_directory.hpp"
#include "pooler/answer_check.hpp"
#include "pooler/back_end_pool.hpp"
#include "pooler/demand_table.hpp"
#include "pooler/failure_log.hpp"
#include "pooler/pooler_settings.hpp"
#include "pooler/service_watch.hpp"
#include "pooler/statement_reply.hpp"

namespace tamarindshift {

/// What a log line about a session that was ended by an exception begins with.
inline constexpr std::string_view sessionThrew = "a session threw: ";

/// Sessions of clients over shared connections to databases that allow statements of ours.
class Pooler {
 public:
  using Reports = std::function<void(NodeReport)>;

  Pooler(Clock& clock, ServiceDirectory& guide, BackEnds& backEnds, Journal& journal, PoolerSettings settings, std::uint64_t boot,
         Reports reports);

  // nothing, with the fault and reason left in `refusal`, where no session can be had
  std::shared_ptr<ClientSession> open(const std::string& host, StatementReply& refusal);
  // waits a little until the routes are known
  Task<std::shared_ptr<ClientSession>> openWhenKnown(std::string host, StatementReply& refusal);
  Task<StatementReply> run(std::shared_ptr<ClientSession> session, Statement statement);
  void gone(const std::shared_ptr<ClientSession>& session);

  void change(PoolerSettings settings) { settings_ = std::move(settings); }
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  // idle sessions are closed from then on, and no connection of a client is taken
  bool closing() const;
  bool stopped() const;
  // had leases and has none for so long that clients fare better elsewhere
  bool cutOff() const;
  /// Whether a service has had no lease here for so long that holding its work would only use up the clients' time.
  bool lapsedLong(const ServiceName& service) const;
  /// The same for all that needs any lease, such as the routes.
  bool lapsedLong() const;
  std::optional<std::string> notReady() const;
  // what an operator sees, made when it is asked for
  nlohmann::json status() const;
  std::size_t sessions() const { return sessions_.size(); }
  const BackEndPool& pool() const { return pool_; }
  std::size_t waiting() const { return demands_.size(); }
  std::optional<std::uint64_t> limit(const std::string& name) const;
  const FailureLog& failures() const { return failures_; }
  /// The figures of this pooler as a page of metrics.
  std::string metrics() const;
  /// An exception ended a session.
  void noteThrew(const std::string& what);
  /// A session that could not be opened, which the door found out.
  void noteRefusedSession(const std::string& host, const StatementReply& refusal, Instant arrivedAt);

 private:
  struct Route {
    KindName name;
    const PlanKind* kind = nullptr;
    const ServiceDirectory::ServiceView* service = nullptr;
  };
  struct Acquired {
    std::shared_ptr<PooledBackEnd> connection;
    std::optional<Place> after;
    StatementFault fault = StatementFault::none;
    std::string reason;
  };
  using Session = std::shared_ptr<ClientSession>;
  using Connection = std::shared_ptr<PooledBackEnd>;

  Task<void> watch();
  Task<void> report();
  void care();
  // whether an epoch is seen and work of the one before still runs
  bool changing() const;
  void careService(const ServiceName& name, const ServiceDirectory::ServiceView& view);
  nlohmann::json serviceStatus(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  /// What keeps a service from serving at its primary now, in words.
  std::vector<std::string> hindrances(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  /// The same for a statement that waits, short enough for a reply.
  std::string whyWaiting(const Demand& demand) const;
  Task<StatementReply> runStatement(Session session, Statement statement);
  void noteFailure(const ClientSession& session, const StatementReply& reply);
  /// What is true of the success of a statement, taken before its connection is given back.
  AcknowledgementFacts acknowledgementFacts(const ClientSession& session, const Connection& connection, bool keeps) const;
  /// Whether the database is the primary of the epoch that is followed, or finishes work before a planned change.
  bool inEpoch(const Connection& connection) const;
  void checkSending(const ClientSession* session, const Connection& connection, const Statement& statement);
  /// Until when a statement may wait for a lease that lapsed long ago.
  Instant holdLapsedUntil(const Demand& demand) const;
  Duration lapsedFor(Instant leasedAt) const;
  void checkEnded(const ClientSession& session);
  /// Whether this process stood still at some time since then, so that its timers came late.
  bool stalledSince(Instant since) const;
  void noteAttempt(ClientSession& session, const Connection& connection, const BackEndReply& reply, Instant askedAt, bool keeps);
  /// Whether a statement writes, or commits what was written.
  bool keepsSomething(const ClientSession& session, const Statement& statement) const;
  void sendReport();
  NodeReport reportNow();
  NodeReport whatChanged(NodeReport report);
  std::optional<Route> route(const std::string& host) const;
  std::optional<Route> routeNamed(const KindName& name) const;

  StatementReply keepLocally(ClientSession& session, const Statement& statement);
  StatementReply begin(ClientSession& session, const Statement& statement);
  Task<StatementReply> runSingle(Session session, Statement statement);
  Task<StatementReply> runInTransaction(Session session, Statement statement);
  Task<StatementReply> commit(Session session, Statement statement);
  StatementReply rollback(const Session& session);
  Task<StatementReply> startTransaction(Session session, Statement next, Instant deadline);
  Task<Acquired> acquire(Session session, KindName kind, bool atPrimary, const Statement* executes, Instant arrived, Instant deadline,
                         std::set<DatabaseName> avoid);
  Task<bool> conform(Session session, Connection connection, const Statement* executes, Instant deadline);
  /// The one way of a statement to a database. `session`: whose statement it is; none for those of the pooler itself.
  Task<BackEndReply> runOn(ClientSession* session, Connection connection, Statement statement, std::optional<Place> after,
                           Instant deadline);
  Task<void> finishRollback(Connection connection);

  void serve();
  void serveOne(const DemandTable::Record& demand);
  // whether work of this order must wait, since earlier orders have the crowded database's connections
  bool rationed(const ServiceDirectory::ServiceView& view, const DatabaseName& database, std::uint32_t order) const;
  bool anyRationed(const ServiceDirectory::ServiceView& view, const Demand& demand) const;
  void noteDemands();
  std::vector<DatabaseName> candidates(const Demand& demand, const Route& route, std::optional<Place>& after) const;
  bool mayPass(const Connection& connection, const KindName& kind, bool inTransaction) const;
  bool mayAcknowledge(const Connection& connection) const;
  bool writes(const ClientSession& session, const Statement& statement) const;
  std::optional<StatementFault> invalid(const ClientSession& session, const Statement& statement) const;
  StatementReply refused(StatementFault fault, std::string reason, TransactionState state = TransactionState::idle);
  StatementReply passed(BackEndReply reply) const;
  void noteOwn(ClientSession& session, const Connection& connection, const BackEndReply& reply);
  void failTransaction(ClientSession& session);
  // how many connections may be held to a database of the service, and whether one more fits
  std::uint32_t allowed(const ServiceName& name, const ServiceDirectory::ServiceView& view) const;
  bool fits(const DatabaseTarget& target) const;
  Duration statementBound(const KindName& kind) const;
  // how long work that may be done again is waited for, from what such work usually takes
  Duration patience(const Connection& connection, const KindName& kind, int attempt) const;
  void noteTaken(const KindName& kind, Duration taken);

  Clock& clock_;
  ServiceDirectory& guide_;
  Journal& journal_;
  PoolerSettings settings_;
  std::uint64_t boot_;
  Reports reports_;
  BackEndPool pool_;
  DemandTable demands_;
  FailureLog failures_;
  std::map<ServiceName, ServiceWatch> watches_;
  std::map<std::string, std::vector<KindName>> hosts_;
  std::map<ServiceName, std::uint64_t> hostsAt_;
  std::map<KindName, double> usualTaken_;
  std::set<Session> sessions_;
  std::optional<Instant> drainingSince_;
  std::optional<Instant> leasedAt_;
  std::string hindrance_ = "not started";
  std::map<DatabaseName, std::uint32_t> claimed_;
  static constexpr Duration leastDemandTime = 200ms;
  /// The state is looked after each 100 ms or sooner; a pause longer than this means that the process stood still.
  static constexpr Duration stallPause = 400ms;
  Instant demandsSince_{};
  bool serving_ = false;
  bool serveAgain_ = false;
  Gate reportNow_;
  std::map<ServiceName, ServiceReport> told_;
  Instant toldWholeAt_{};
  bool reportDue_ = false;
  /// When the state was last looked after, and when that last came late.
  Instant startedAt_{};
  Instant caredAt_{};
  Instant stalledAt_{};
  PlanVersionCheck planVersions_{journal_};
  Gate cared_;
  TaskScope scope_;
};

}  // namespace tamarindshift
