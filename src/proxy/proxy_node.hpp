// The proxy: serves client sessions over pooled connections to databases.
#pragma once

#include "base/queue.hpp"
#include "control/report_messages.hpp"
#include "updates/update_follower.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/request_table.hpp"

namespace tamarindshift {

/// The node of a proxy.
///
/// A request waits until a database and a connection are chosen for it and is then forwarded. Every request gets exactly one reply: that of
/// the database, a refusal, or `unknown` where it may have had its effect.
class ProxyNode {
 public:
  ProxyNode(Clock& clock, PeerLink& link, WebLink& databases, Journal& journal, ProxySettings settings, std::uint64_t entropy);

  /// Null if the node is draining or has too many sessions.
  std::shared_ptr<Session> openSession(const KindName& kind, std::map<ServiceName, Position> minPositions, ConnectionId clientConnection);
  std::shared_ptr<Session> session(const SessionId& id) const;
  void closeSession(const std::shared_ptr<Session>& session);
  /// Queues a request of a session that has none underway, and waits for its reply.
  Task<RequestReply> run(std::shared_ptr<Session> session, KindName kind, DatabaseRequest request);
  /// Handles the end of a client connection: its sessions that have a transaction open or a request underway lose their transaction and
  /// state.
  void clientDisconnected(ConnectionId clientConnection);

  void updateSettings(ProxySettings settings) { settings_ = std::move(settings); }
  /// Stops taking new sessions and transactions; open ones may end.
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  /// Whether a drained proxy may end: nothing is open any more, or the time for it is over.
  bool stopped() const;
  /// Why the proxy can't serve requests now; no value if it can.
  std::optional<std::string> notReady() const;
  const ServiceDirectory& directory() const { return directory_; }
  const ConnectionPool& pool() const { return pool_; }
  const RequestTable& requests() const { return requests_; }
  std::size_t sessionCount() const { return sessions_.size(); }
  const ProxySettings& settings() const { return settings_; }
  Journal& journal() { return journal_; }

 private:
  using Record = RequestTable::Record;
  /// The database that a request is sent to, under the epoch in which it was chosen.
  struct Choice {
    DatabaseName database;
    Address address;
    Epoch epoch;
  };

  /// Runs queued commands one at a time, and looks at the waiting requests after each.
  Task<void> runCommands();
  /// Applies updates to sessions and connections every 20 ms.
  Task<void> supervise();
  /// Reports to the agent regularly, and at once if the report is urgent.
  Task<void> sendReports();
  NodeReport makeReport();
  /// Whether the report differs from the last one in something that the control plane should learn at once.
  bool isUrgent(const NodeReport& report) const;
  void processWaiting();
  /// Checks a new request against its session and the queue, and queues or refuses it.
  void admit(const Record& record);
  /// Refuses requests whose time is over, and all that remain shortly before a drained node stops.
  void expireWaiting();
  void placeWaiting();
  void placeRequest(const Record& record);
  void placePinned(const Record& record);
  /// The database for a request; no value and a refusal if there is none now.
  std::optional<Choice> choose(const Record& record, const ServiceDirectory::KindView& view, std::string& refusal) const;
  /// The least loaded replica that is fresh enough for the route and for the session.
  std::optional<Choice> chooseReplica(const Record& record, const ServiceDirectory::KindView& view) const;
  Task<void> forward(Record record, std::shared_ptr<PooledConnection> connection, Choice choice);
  /// Whether the request may go out on the connection now: checked right before each send.
  bool mayForward(const Record& record, const PooledConnection& connection) const;
  void handleOutcome(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseOutcome outcome);
  void handleReply(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseReply reply);
  void handleLostReply(const Record& record, const std::shared_ptr<PooledConnection>& connection, bool sent);
  /// After a reply: keeps the connection for a session with a transaction or state, or gives it back to the pool.
  void pinOrRelease(const Record& record, const std::shared_ptr<PooledConnection>& connection);
  /// Queues a request again after a failed attempt, up to the bound on attempts.
  void retry(const Record& record);
  void refuse(const Record& record, const std::string& reason, int status = 503);
  void replyUnknown(const Record& record, const std::string& reason);
  void refuseLostTransaction(const Record& record);
  void closePinnedConnection(const std::shared_ptr<Session>& session);
  /// Closes a busy connection; a session that has it pinned loses its transaction and state.
  void revokeConnection(const std::shared_ptr<PooledConnection>& connection);
  /// Why the plan does not allow this kind of request on the connection; no value if it does.
  std::optional<std::string> mismatch(const KindName& kind, const PooledConnection& connection) const;
  /// Whether the connection's database is drained, and no open transaction may use the connection any longer.
  bool drainGraceOver(const PooledConnection& connection, bool inTransaction) const;
  /// Whether open transactions have had their part of the time to stop.
  bool transactionTimeOver() const;
  void superviseBusyConnections();
  void closeIdleSessions();
  /// Records that this node follows an update once its connections are within the share, and revokes surplus ones if they stay open too
  /// long.
  void superviseSurplus(const ServiceName& name, const ServiceDirectory::ServiceView& view);
  void superviseServices();
  /// Connections that sessions of the branch hold for session state.
  std::uint32_t pinnedCount(const ServiceName& service, const BranchName& branch) const;
  void recordUnreachable(const ServiceName& service, const DatabaseName& database);
  void recordDuration(const ServiceName& service, Duration duration);

  Clock& clock_;
  Journal& journal_;
  ProxySettings settings_;
  std::uint64_t boot_;
  Desk desk_;
  UpdateFollower feed_;
  ServiceDirectory directory_;
  ConnectionPool pool_;
  RequestTable requests_;
  std::map<SessionId, std::shared_ptr<Session>> sessions_;
  /// The version of each service's topic that this node's connections conform to.
  std::map<ServiceName, std::uint64_t> followedMarks_;
  /// The last plan with which the connections were within the share.
  std::map<ServiceName, PlanVersion> planWithinLimits_;
  std::map<ServiceName, Instant> surplusSince_;
  /// The newest write of each service that a client got a reply for.
  std::map<ServiceName, LogPosition> acknowledged_;
  /// Connections wanted, decaying by 2.6 % with each report that is made.
  std::map<std::pair<ServiceName, BranchName>, double> demand_;
  /// Moving average of the duration of requests, in microseconds.
  std::map<ServiceName, double> meanDurationUs_;
  /// Attempts in a row that got no reply from a database, and the last of them.
  struct Unreachable {
    unsigned attempts = 0;
    Instant at{};
  };
  std::map<ServiceName, std::map<DatabaseName, Unreachable>> unreachable_;
  std::map<ServiceName, Instant> lastWorkAt_;
  NodeReport lastReport_;
  Instant lastReportAt_{};
  std::optional<Instant> drainingSince_;
  std::uint64_t lastSession_ = 0;
  Queue<std::function<void()>> queue_;
  TaskScope scope_;
};

}  // namespace tamarindshift
