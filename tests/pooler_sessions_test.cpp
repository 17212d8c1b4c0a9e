#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

PoolerTrial::Options oneConnection() {
  PoolerTrial::Options options;
  options.share = 1;
  return options;
}

std::size_t poolerStatements(const PoolerTrial& trial, StatementKind kind) {
  std::size_t count = 0;
  for (const auto& run : trial.backEnds.runs) count += run.statement.id.empty() && run.statement.kind == kind;
  return count;
}

}  // namespace

TEST_CASE("pooler: values follow two sessions over one connection", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  CHECK(alice->ask("SET zone north") == "OK");
  CHECK(alice->last->reply->stamp == "-");
  CHECK(bob->ask("SET zone south") == "OK");
  CHECK(trial.backEnds.runs.empty());
  for (int turn = 0; turn < 3; ++turn) {
    CHECK(alice->ask("READ a") == "OK");
    CHECK(bob->ask("READ b") == "OK");
  }
  CHECK(trial.runsOf("READ a").back().values == std::map<std::string, std::string>{{"zone", "north"}});
  CHECK(trial.runsOf("READ b").back().values == std::map<std::string, std::string>{{"zone", "south"}});
  CHECK(trial.backEnds.at("d1").openings == 1);
  CHECK(poolerStatements(trial, StatementKind::reset) == 0);
  CHECK(poolerStatements(trial, StatementKind::set) == 6);
}

TEST_CASE("pooler: a value that the connection already has is not set again", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("SET zone north");
  for (int turn = 0; turn < 4; ++turn) CHECK(alice->ask("READ a") == "OK");
  alice->ask("SET zone north");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::set) == 1);
  alice->ask("SET zone east and west");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(poolerStatements(trial, StatementKind::set) == 2);
  CHECK(trial.runsOf("WRITE a 1").front().values.at("zone") == "east and west");
}

TEST_CASE("pooler: a connection with a variable that the session does not have is reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("SET zone north");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(bob->ask("READ b") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
  CHECK(trial.runsOf("READ b").front().values.empty());
  CHECK(bob->ask("READ b") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
}

TEST_CASE("pooler: a client does not see the values of an earlier, disconnected one", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  for (int visit = 0; visit < 3; ++visit) {
    auto guest = trial.client("guest" + std::to_string(visit));
    CHECK(guest->ask("READ a") == "OK");
    guest->ask("SET v" + std::to_string(visit) + " x");
    guest->ask("PREPARE p READ q" + std::to_string(visit));
    CHECK(guest->ask("EXECUTE p a") == "OK");
  }
}

TEST_CASE("pooler: equal names of two sessions run the shape each prepared", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  CHECK(alice->ask("PREPARE p READ q1") == "OK");
  CHECK(bob->ask("PREPARE p WRITE q1") == "OK");
  CHECK(trial.backEnds.runs.empty());
  for (int turn = 0; turn < 3; ++turn) {
    CHECK(alice->ask("EXECUTE p a") == "OK");
    CHECK(bob->ask("EXECUTE p a x") == "OK");
  }
  CHECK(trial.backEnds.at("d1").committed.size() == 3);
  CHECK(poolerStatements(trial, StatementKind::discard) == 5);
  CHECK(poolerStatements(trial, StatementKind::reset) == 0);
}

TEST_CASE("pooler: an equal shape under an equal name is prepared once per connection", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("PREPARE p READ q1");
  bob->ask("PREPARE p READ q1");
  for (int turn = 0; turn < 3; ++turn) {
    CHECK(alice->ask("EXECUTE p a") == "OK");
    CHECK(bob->ask("EXECUTE p b") == "OK");
  }
  CHECK(poolerStatements(trial, StatementKind::prepareRead) == 1);
}

TEST_CASE("pooler: a name that is prepared again or discarded changes for its session only", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("PREPARE p READ q1");
  bob->ask("PREPARE p READ q1");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  CHECK(alice->ask("PREPARE p READ q2") == "OK");
  CHECK(bob->ask("EXECUTE p a") == "OK");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  CHECK(alice->ask("DISCARD p") == "OK");
  CHECK(alice->ask("EXECUTE p a") == "UNKNOWN");
  CHECK(alice->ask("DISCARD p") == "UNKNOWN");
  CHECK(bob->ask("EXECUTE p a") == "OK");
}

TEST_CASE("pooler: of several idle connections the one whose state needs the fewest changes is taken", "[pooler][sessions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("SET zone north");
  bob->ask("SET zone south");
  auto first = alice->start("READ a");
  auto second = bob->start("READ b");
  CHECK(alice->finish(first) == "OK");
  CHECK(bob->finish(second) == "OK");
  auto sets = poolerStatements(trial, StatementKind::set);
  CHECK(sets == 2);
  for (int turn = 0; turn < 4; ++turn) {
    CHECK(bob->ask("READ b") == "OK");
    CHECK(alice->ask("READ a") == "OK");
  }
  CHECK(poolerStatements(trial, StatementKind::set) == sets);
}

TEST_CASE("pooler: a rolled-back transaction that changed values leaves a connection that is reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("SET zone north");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(alice->ask("SET zone south") == "OK");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 0);
  CHECK(alice->ask("READ a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
}

TEST_CASE("pooler: a transaction that changed values and failed leaves a connection that is reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("SET zone south") == "OK");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::failed);
  CHECK(alice->ask("WRITE a 1") == "FAILED");
  CHECK(alice->last->reply->state == TransactionState::failed);
  CHECK(alice->ask("READ a") == "MALFORMED");
  CHECK(alice->ask("COMMIT") == "ABORTED");
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK(alice->ask("READ a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
}

TEST_CASE("pooler: a transaction that changed values and was ended by the pooler leaves a connection that is reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  bool rests = GENERATE(false, true);
  alice->ask("BEGIN");
  CHECK(alice->ask("SET zone south") == "OK");
  CHECK(alice->ask("READ a") == "OK");
  if (rests)
    trial.run(3200ms);
  else
    CHECK(alice->ask("EXECUTE nothing a") == "UNKNOWN");
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
  CHECK(trial.backEnds.at("d1").openings == 1);
}

TEST_CASE("pooler: a committed transaction that changed values needs no reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  alice->ask("SET zone south");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 0);
  CHECK(poolerStatements(trial, StatementKind::set) == 1);
}

TEST_CASE("pooler: a name unknown to the database is prepared again after a reset", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("PREPARE p READ q1");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  trial.backEnds.script("d1", StatementKind::execute, ScriptedOutcome::unknownName);
  CHECK(alice->ask("EXECUTE p a") == "OK");
  CHECK(poolerStatements(trial, StatementKind::reset) == 1);
  CHECK(poolerStatements(trial, StatementKind::prepareRead) == 2);
}

TEST_CASE("pooler: a connection whose session state could not be set is not used", "[pooler][sessions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("SET zone north");
  trial.backEnds.script("d1", StatementKind::set, ScriptedOutcome::failed);
  trial.backEnds.script("d1", StatementKind::set, ScriptedOutcome::lostAfterRunning);
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(trial.backEnds.at("d1").openings == 3);
}

TEST_CASE("pooler: clients that set, prepare and use transactions at random keep their own state", "[pooler][sessions][seeds]") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    PoolerTrial::Options options;
    options.seed = seed;
    options.share = 1 + static_cast<std::uint32_t>(seed % 3);
    PoolerTrial trial(options);
    INFO("seed " << seed);
    auto& world = trial.world;
    const char* hosts[] = {"strict", "bounded", "house"};
    std::vector<std::unique_ptr<TrialClient>> clients;
    std::vector<std::shared_ptr<SentStatement>> asked;
    for (int number = 0; number < 6; ++number) {
      clients.push_back(trial.client("c" + std::to_string(number), hosts[number % 3]));
      asked.push_back(nullptr);
    }
    int done = 0;
    for (int step = 0; step < 4000; ++step) {
      trial.run(1ms);
      if (world.chance(5)) trial.backEnds.closeConnections("d" + std::to_string(1 + world.below(3)));
      if (world.chance(10)) {
        ScriptedOutcome outcomes[] = {ScriptedOutcome::busy, ScriptedOutcome::lostAfterRunning, ScriptedOutcome::lostBeforeRunning,
                                      ScriptedOutcome::failed, ScriptedOutcome::unsent};
        StatementKind kindsOf[] = {StatementKind::read, StatementKind::write, StatementKind::commit, StatementKind::execute,
                                   StatementKind::set};
        trial.backEnds.script("d" + std::to_string(1 + world.below(3)), kindsOf[world.below(5)], outcomes[world.below(5)]);
      }
      for (std::size_t index = 0; index < clients.size(); ++index) {
        if ((asked[index] && !asked[index]->reply) || !world.chance(200)) continue;
        auto& client = *clients[index];
        done += asked[index] != nullptr;
        auto state = asked[index] ? asked[index]->reply->state : TransactionState::idle;
        auto text = [&]() -> std::string {
          if (state == TransactionState::failed) return world.chance(500) ? "ROLLBACK" : "COMMIT";
          auto name = std::to_string(world.below(2));
          switch (world.below(state == TransactionState::open ? 10 : 9)) {
            case 0:
              return "SET v" + name + " " + std::to_string(world.below(3));
            case 1:
              return "PREPARE p" + name + (world.chance(500) ? " READ" : " WRITE") + " q" + std::to_string(world.below(2));
            case 2:
              return "EXECUTE p" + name + " a x";
            case 3:
              return "WRITE a" + name + " x";
            case 4:
              return state == TransactionState::open ? "READ b" : world.chance(500) ? "BEGIN" : "BEGIN READ";
            case 5:
              return "DISCARD p" + name;
            case 9:
              return world.chance(700) ? "COMMIT" : "ROLLBACK";
            default:
              return "READ a" + name;
          }
        }();
        asked[index] = client.start(text);
      }
    }
    trial.runUntil(5s, [&] {
      return std::all_of(asked.begin(), asked.end(), [](const auto& each) {
        return !each || each->reply;
      });
    });
    CHECK(done > 300);
  }
}
