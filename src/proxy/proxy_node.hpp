#pragma once

#include "base/queue.hpp"
#include "control/report_messages.hpp"
#include "updates/update_follower.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/request_table.hpp"

namespace tamarindshift {

class ProxyNode {
 public:
  ProxyNode(Clock& clock, PeerLink& link, WebLink& databases, Journal& journal, ProxySettings settings, std::uint64_t entropy);

  std::shared_ptr<Session> openSession(const KindName& kind, std::map<ServiceName, Position> own, ConnectionId clientConnection);
  std::shared_ptr<Session> session(const SessionId& id) const;
  void closeSession(const std::shared_ptr<Session>& session);
  Task<RequestReply> run(std::shared_ptr<Session> session, KindName kind, DatabaseRequest request);
  void clientDisconnected(ConnectionId clientConnection);

  void change(ProxySettings settings) { settings_ = std::move(settings); }
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  bool stopped() const;
  std::optional<std::string> notReady() const;
  const ServiceDirectory& directory() const { return directory_; }
  const ConnectionPool& pool() const { return pool_; }
  const RequestTable& requests() const { return requests_; }
  std::size_t sessionCount() const { return sessions_.size(); }
  const ProxySettings& settings() const { return settings_; }
  Journal& journal() { return journal_; }

 private:
  using Record = RequestTable::Record;
  struct Choice {
    DatabaseName database;
    Address address;
    Epoch epoch;
  };

  Task<void> work();
  Task<void> tick();
  Task<void> report();
  NodeReport makeReport();
  bool presses(const NodeReport& report) const;
  void passes();
  void enrolPass(const Record& record);
  void expirePass();
  void placePass();
  void placeOne(const Record& record);
  void placePinned(const Record& record);
  std::optional<Choice> choose(const Record& record, const ServiceDirectory::KindView& view, std::string& refusal) const;
  std::optional<Choice> chooseReplica(const Record& record, const ServiceDirectory::KindView& view) const;
  Task<void> passOn(Record record, std::shared_ptr<PooledConnection> connection, Choice choice);
  bool mayPass(const Record& record, const PooledConnection& connection) const;
  void settle(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseOutcome outcome);
  void settleReplied(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseReply reply);
  void settleLost(const Record& record, const std::shared_ptr<PooledConnection>& connection, bool sent);
  void retire(const Record& record, const std::shared_ptr<PooledConnection>& connection);
  void again(const Record& record);
  void refuse(const Record& record, const std::string& reason, int status = 503);
  void unknown(const Record& record, const std::string& reason);
  void transactionLost(const Record& record);
  void dropPin(const std::shared_ptr<Session>& session);
  void loseHold(const std::shared_ptr<PooledConnection>& connection);
  std::optional<std::string> misfit(const KindName& kind, const PooledConnection& connection) const;
  bool leavesTooLate(const PooledConnection& connection, bool inTransaction) const;
  void careBusy();
  void careIdleSessions();
  void careSurplus(const ServiceName& name, const ServiceDirectory::ServiceView& view);
  void careServices();
  std::uint32_t pins(const ServiceName& service, const BranchName& branch) const;
  void noteUnreached(const ServiceName& service, const DatabaseName& database);
  void noteDone(const ServiceName& service, Duration taken);

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
  std::map<ServiceName, std::uint64_t> followed_;
  std::map<ServiceName, PlanVersion> withinPlan_;
  std::map<ServiceName, Instant> surplusSince_;
  std::map<ServiceName, LogPosition> acknowledged_;
  std::map<std::pair<ServiceName, BranchName>, double> demand_;
  std::map<ServiceName, double> meanTaken_;
  struct Unreached {
    unsigned attempts = 0;
    Instant at{};
  };
  std::map<ServiceName, std::map<DatabaseName, Unreached>> unreached_;
  std::map<ServiceName, Instant> workedAt_;
  NodeReport reported_;
  Instant reportedAt_{};
  std::optional<Instant> drainingSince_;
  std::uint64_t lastSession_ = 0;
  Queue<std::function<void()>> queue_;
  TaskScope scope_;
};

}  // namespace tamarindshift
