#pragma once

#include <memory>

#include "pooler/pooler.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "tests/scripted_back_ends.hpp"
#include "tests/scripted_updates.hpp"

namespace tamarindshift {

struct ClientStatement {
  std::string id;
  std::string text;
  Instant sentAt{};
  Instant repliedAt{};
  std::optional<StatementReply> reply;
  Duration elapsed() const { return repliedAt - sentAt; }
  std::string outcome() const;
};

class PoolerTrial;

// a client with the values, prepared names and transaction that it was acknowledged
class TrialClient {
 public:
  TrialClient(PoolerTrial& trial, std::string name, const std::string& host);
  ~TrialClient();
  // OK or the word of the fault
  std::string ask(const std::string& text);
  std::shared_ptr<ClientStatement> start(const std::string& text);
  std::string finish(const std::shared_ptr<ClientStatement>& asked);
  void leave();
  const std::string& name() const { return name_; }

  std::shared_ptr<ClientSession> session;
  std::shared_ptr<ClientStatement> last;
  StatementReply refusal;

 private:
  friend class PoolerTrial;
  Task<void> send(std::shared_ptr<ClientStatement> asked);
  void checkReply(const ClientStatement& asked);

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

// One pooler on simulated time with scripted databases and news. Whatever a test asks, the databases must have run
// it as the clients' acknowledged state says, and promises given to clients must hold.
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

  void publishFleet();
  void publishService(const std::string& name = "s1");
  void publishPrimary(std::uint64_t epoch, const std::string& name, bool promoted, bool planned = false, const std::string& service = "s1");
  void publishShare(std::uint32_t most, const std::string& service = "s1");
  void publishDatabase(const std::string& name, const std::string& zone = "z1", const std::string& service = "s1");
  void publishDrained(const std::string& name);
  // the database itself is primary from now on, of a new term
  void makePrimary(const std::string& name);
  void addRoute(const std::string& name, Consistency consistency, std::uint32_t order = 1);
  void endLease() { updates.endLease("s1"); }
  void renewLease() { updates.renewLease("s1"); }

  std::vector<ScriptedRun> runsOf(const std::string& text) const;
  std::size_t committed(const std::string& id) const;
  std::vector<std::string> idsOf(const std::string& text) const;
  const NodeReport& report() const { return reports.back(); }
  // what was last told of the service; a report may leave out what has not changed
  const ServiceReport& serviceReport() const;
  std::uint64_t counterValue(const std::string& name) const;

  World world;
  SimulatedClock clock;
  ScriptedUpdates updates;
  Guide guide;
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
  std::vector<std::pair<Instant, Place>> acknowledged_;
  std::map<std::string, std::string> acknowledgedWrites_;
  std::set<std::string> mustNotCommit_;
  std::map<std::string, Place> positions_;
  std::uint64_t planMark_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift
