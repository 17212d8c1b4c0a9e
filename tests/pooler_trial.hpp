/// Test fixture: one pooler on simulated time, with scripted databases and scripted updates of the control plane.
#pragma once

#include <memory>

#include "pooler/pooler.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "tests/scripted_back_ends.hpp"
#include "tests/scripted_updates.hpp"

namespace tamarindshift {

/// A statement that a test client has sent, with its reply once there is one.
struct SentStatement {
  std::string id;
  std::string text;
  Instant sentAt{};
  Instant repliedAt{};
  std::optional<StatementReply> reply;
  Duration elapsed() const { return repliedAt - sentAt; }
  /// OK, the wire word of the fault, or "no reply".
  std::string outcome() const;
};

class PoolerTrial;

/// A client that keeps the variables, prepared names and transaction state that the pooler has acknowledged, and checks each
/// reply against them.
class TrialClient {
 public:
  TrialClient(PoolerTrial& trial, std::string name, const std::string& host);
  ~TrialClient();
  /// Sends a statement and runs until its reply: OK or the wire word of the fault.
  std::string ask(const std::string& text);
  /// Sends a statement without waiting.
  std::shared_ptr<SentStatement> start(const std::string& text);
  std::string finish(const std::shared_ptr<SentStatement>& asked);
  /// Disconnects.
  void leave();
  const std::string& name() const { return name_; }

  std::shared_ptr<ClientSession> session;
  std::shared_ptr<SentStatement> last;
  StatementReply refusal;

 private:
  friend class PoolerTrial;
  Task<void> send(std::shared_ptr<SentStatement> asked);
  void checkReply(const SentStatement& asked);

  PoolerTrial& trial_;
  std::string name_;
  std::string host_;
  std::map<std::string, std::string> values_;
  std::map<std::string, PreparedStatement> prepared_;
  std::uint64_t pinned_ = 0;
  bool inTransaction_ = false;
  Instant transactionAt_{};
  std::vector<std::string> writes_;
  std::uint64_t lastNumber_ = 0;
};

/// Besides what a test itself checks, every statement must run at a database with the acknowledged state of its client, no read
/// may be staler than its route allows, and at the end acknowledged writes must be committed once and refused ones not at all.
class PoolerTrial {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::uint32_t share = 4;
    PoolerSettings settings;
    bool published = true;
  };
  PoolerTrial() : PoolerTrial(Options{}) {}
  explicit PoolerTrial(Options options);
  ~PoolerTrial();

  void run(Duration duration) { world.runUntil(world.now() + duration); }
  bool runUntil(Duration atMost, const std::function<bool()>& reached);
  std::unique_ptr<TrialClient> client(const std::string& name, const std::string& host = "strict");

  /// Each `publish...` puts an update of the control plane before the pooler.
  void publishFleet();
  void publishService(const std::string& name = "s1");
  void publishPrimary(std::uint64_t epoch, const std::string& name, bool promoted, bool planned = false, const std::string& service = "s1");
  void publishShare(std::uint32_t most, const std::string& service = "s1");
  void publishDatabase(const std::string& name, const std::string& zone = "z1", const std::string& service = "s1");
  void publishDrained(const std::string& name);
  /// Makes the scripted database the primary, of a new term; publishes nothing.
  void makePrimary(const std::string& name);
  void addRoute(const std::string& name, Consistency consistency, std::uint32_t order = 1);
  /// Publishes a longer or shorter timeout for the statements of a route.
  void setStatementTimeout(const std::string& route, Duration timeout);
  void endLease() { updates.endLease("s1"); }
  void stopRenewing() { updates.stopRenewing("s1"); }
  void renewLease() { updates.renewLease("s1"); }

  std::vector<ScriptedRun> runsOf(const std::string& text) const;
  /// How often the statement was committed, over all databases.
  std::size_t committed(const std::string& id) const;
  std::vector<std::string> idsOf(const std::string& text) const;
  const NodeReport& report() const { return reports.back(); }
  /// The last report of the service; later ones may leave it out if it has not changed.
  const ServiceReport& serviceReport() const;
  std::uint64_t counterValue(const std::string& name) const;

  World world;
  SimulatedClock clock;
  ScriptedUpdates updates;
  ServiceDirectory guide;
  SimulatedJournal journal;
  ScriptedBackEnds backEnds;
  PoolerSettings settings;
  std::map<KindName, PlanKind> kinds;
  std::vector<NodeReport> reports;
  std::vector<std::string> violations;
  std::optional<Pooler> pooler;

 private:
  friend class TrialClient;
  void observe(const ScriptedRun& run);
  void checkPromises();

  std::map<std::string, TrialClient*> clients_;
  /// When commits were acknowledged, with their log positions.
  std::vector<std::pair<Instant, LogPosition>> acknowledged_;
  std::map<std::string, std::string> acknowledgedWrites_;
  std::set<std::string> mustNotCommit_;
  std::map<std::string, LogPosition> positions_;
  std::uint64_t planMark_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift
