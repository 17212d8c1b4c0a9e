#include <catch2/catch.hpp>

#include "simulated/simulated_web.hpp"
#include "tests/platform/rule_checks.hpp"
#include "tests/platform/standin_wire_clients.hpp"
#include "tests/platform/straight_pooler.hpp"
#include "tests/platform/wire_database_trial.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

struct Trial {
  explicit Trial(std::uint64_t seed = 1) : databases(false, seed) {
    for (const auto& [id, host] : databases.hosts) {
      auto& known = knowledge.databases[id];
      known.service = "orders";
      known.address = host.settings.address;
      known.heartbeatAt = databases.world.now() + std::chrono::hours{1};
    }
    knowledge.primaries["orders"] = "a";
    PlatformConfiguration configuration;
    configuration.revision = 1;
    configuration.services.push_back(PlatformService{"orders", 120, 0});
    for (auto [host, routeClass] :
         {std::pair{"shop", RouteClass::primary}, {"list", RouteClass::boundedStaleness}, {"own", RouteClass::inHouse}}) {
      PlatformRoute route;
      route.name = route.hostName = host;
      route.routeClass = routeClass;
      route.targetService = "orders";
      route.staleness = std::chrono::milliseconds{routeClass == RouteClass::primary ? 0 : 1000};
      configuration.routes.push_back(route);
    }
    knowledge.configuration = configuration;
    ConfigurationSent sent;
    sent.configuration = configuration;
    sent.sentAt = sent.acknowledgedAt.emplace(databases.world.now());
    history.operators.sent.push_back(sent);
    nodeLink.listen(front, pooler);
    web.attach(readiness, pooler, nodeClock);
    entry.add(AccessPoint{front, readiness, "zone-1"});
    databases.run(1200ms);
  }
  ~Trial() {
    web.detach(readiness);
    nodeLink.kill();
  }

  void start(const std::string& hostName, RouteClass routeClass, std::size_t sessions = 4, bool singleOperation = false) {
    ClientKind kind;
    kind.hostName = hostName;
    kind.routeClass = routeClass;
    kind.staleness = routeClass == RouteClass::primary ? Duration::zero() : Duration{1s};
    kind.sessions = sessions;
    kind.singleOperation = singleOperation;
    kind.oneIdPerTry = singleOperation;
    kind.leaves = 20;
    clients.start(kind);
  }
  void all() {
    start("shop", RouteClass::primary);
    start("list", RouteClass::boundedStaleness, 3, true);
    start("own", RouteClass::inHouse);
  }
  std::set<std::string> broken() {
    history.services = databases.history;
    std::set<std::string> rules;
    for (const auto& each : checkRules(history)) {
      UNSCOPED_INFO(each.rule << ": " << each.text);
      rules.insert(each.rule);
    }
    return rules;
  }
  double served() const {
    double served = 0, ended = 0;
    for (const auto& operation : history.clients.operations) {
      served += operation.served ? 1 : 0;
      ended += operation.ended && !operation.left ? 1 : 0;
    }
    return ended > 0 ? served / ended : 0;
  }
  std::size_t tries(TryEnd end) const {
    return static_cast<std::size_t>(std::count_if(history.clients.tries.begin(), history.clients.tries.end(), [&](const auto& attempt) {
      return attempt.end == end;
    }));
  }

  WireDatabaseTrial databases;
  PlatformHistory history;
  StraightKnowledge knowledge;
  SimulatedWeb web{databases.network};
  SimulatedClock nodeClock{databases.world};
  SimulatedLineLink nodeLink{databases.lines, nodeClock, Address{"10.1.0.1:0"}};
  SimulatedWebLink nodeWeb{web, nodeClock, Address{"10.1.0.1:0"}};
  Address front{"10.1.0.1:80"};
  Address readiness{"10.1.0.1:81"};
  StraightPooler pooler{nodeClock, nodeLink, nodeWeb, databases.world, knowledge, Address{"10.200.0.1:80"}};
  SimulatedClock clock{databases.world};
  SimulatedLineLink link{databases.lines, clock, Address{"10.8.0.1:0"}};
  SimulatedWebLink outside{web, clock, Address{"10.8.0.1:0"}};
  StandinEntry entry{clock, outside};
  StandinWireClients clients{clock, link, databases.world, entry, history.clients};
};

}  // namespace

TEST_CASE("clients of all classes are served by a pooler that shares nothing, and no rule breaks") {
  Trial trial;
  trial.all();
  trial.databases.run(20s);
  trial.clients.stop();
  trial.databases.run(3s);
  CHECK(trial.clients.running() == 0);
  CHECK(trial.broken().empty());
  CHECK(trial.history.clients.faults.empty());
  CHECK(trial.history.clients.operations.size() > 500);
  CHECK(trial.served() > 0.99);
  CHECK(trial.tries(TryEnd::rolledBack) > 0);
  CHECK(trial.tries(TryEnd::left) > 0);
  std::set<std::string> words;
  for (const auto& run : trial.databases.history.runs) words.insert(run.text.substr(0, run.text.find(' ')));
  CHECK(words == std::set<std::string>{"BEGIN", "COMMIT", "DISCARD", "EXECUTE", "PREPARE", "READ", "ROLLBACK", "SET", "WRITE"});
}

TEST_CASE("clients try again whole with new ids, unless their commit or single write was sent") {
  Trial trial;
  trial.databases.database("a").troubles().loseAnswer = 100;
  trial.databases.database("a").troubles().fail = 50;
  trial.all();
  trial.databases.run(20s);
  trial.clients.stop();
  trial.databases.run(5s);
  CHECK(trial.broken().empty());
  CHECK(trial.tries(TryEnd::unknown) > 0);
  std::set<std::string> ids;
  std::size_t again = 0;
  const auto& tries = trial.history.clients.tries;
  std::map<std::size_t, const ClientTry*> last;
  for (const auto& attempt : tries) {
    std::set<std::string> own;
    for (const auto& statement : attempt.statements) own.insert(statement.id);
    for (const auto& id : own)
      if (id != "-") CHECK(ids.insert(id).second);
    auto before = last.find(attempt.operation);
    if (before != last.end()) {
      ++again;
      const auto& statements = before->second->statements;
      bool promised = !statements.empty() && promisesNothingKept(statements.back().reply.code);
      bool forGood = std::any_of(statements.begin(), statements.end(), [&](const auto& statement) {
        return statement.text == "COMMIT" || (!attempt.transaction && statement.text.starts_with("WRITE"));
      });
      bool reads = std::none_of(statements.begin(), statements.end(), [](const auto& statement) {
        return statement.text.starts_with("WRITE") || statement.text.starts_with("EXECUTE w");
      });
      CHECK((promised || !forGood || reads));
    }
    last[attempt.operation] = &attempt;
  }
  CHECK(again > 0);
}

TEST_CASE("a client whose answers stay out ends its operation at the deadline") {
  Trial trial;
  trial.start("shop", RouteClass::primary);
  trial.databases.run(1s);
  trial.databases.network.cut("10.8.0.1", "10.1.0.1");
  trial.databases.run(10s);
  trial.clients.stop();
  trial.databases.run(3s);
  CHECK(trial.clients.running() == 0);
  for (const auto& operation : trial.history.clients.operations) CHECK(operation.endedAt - operation.beganAt - operation.paused <= 2300ms);
}

TEST_CASE("the platform asks every second whether a node is ready") {
  Trial trial;
  CHECK(trial.entry.ready(trial.front));
  trial.web.detach(trial.readiness);
  trial.databases.run(2500ms);
  CHECK_FALSE(trial.entry.ready(trial.front));
  trial.web.attach(trial.readiness, trial.pooler, trial.nodeClock);
  trial.databases.run(1100ms);
  CHECK(trial.entry.ready(trial.front));
}

TEST_CASE("a pooler that does wrong breaks the rules it should") {
  Trial trial;
  auto& faults = trial.pooler.faults();
  std::string rule;
  SECTION("changed text") {
    faults.changesText = 50;
    rule = "UNASKED";
  }
  SECTION("writes sent twice") {
    faults.sendsTwice = 200;
    rule = "TWICE";
  }
  SECTION("values forgotten") {
    faults.forgetsValues = 100;
    rule = "PINNED";
  }
  SECTION("other rows") {
    faults.otherRows = 50;
    rule = "MIXED";
  }
  SECTION("reads at replicas that lag") {
    faults.readsReplicas = 300;
    trial.databases.database("b").troubles().receivesNothing = true;
    trial.databases.database("c").troubles().receivesNothing = true;
    rule = "STALE";
  }
  SECTION("kept writes refused") {
    faults.refusesKept = 200;
    rule = "REFUSED";
  }
  trial.all();
  trial.databases.run(20s);
  trial.clients.stop();
  trial.databases.run(3s);
  CHECK(trial.broken().contains(rule));
}
