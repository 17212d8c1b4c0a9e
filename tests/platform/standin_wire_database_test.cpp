#include <catch2/catch.hpp>

#include "tests/platform/wire_database_trial.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

bool completes(const WireReply& reply) {
  return reply.end == WireEnd::complete;
}
std::string errorOf(const WireReply& reply) {
  return reply.end == WireEnd::error ? reply.code : completes(reply) ? "" : "no answer";
}
std::string statusOf(WireDatabaseTrial& trial, const std::string& caller) {
  auto reply = trial.ask(caller, "STATUS");
  return reply.rows.empty() ? errorOf(reply) : reply.rows.front();
}

}  // namespace

TEST_CASE("a set-up names the service and, if wanted, the database") {
  WireDatabaseTrial trial;
  CHECK(trial.connect("right", "a", "orders a").state == 'I');
  CHECK(completes(trial.connect("no id", "a", "orders")));
  CHECK(errorOf(trial.connect("wrong service", "a", "stock")) == "MISROUTED");
  CHECK(errorOf(trial.connect("wrong id", "a", "orders b")) == "MISROUTED");
  trial.run(20ms);
  CHECK_FALSE(trial.callers["wrong id"].channel->usable());
}

TEST_CASE("beyond its trunk limit a database refuses connections") {
  WireDatabaseTrial trial;
  auto limit = trial.hosts.at("a").settings.trunkLimit;
  for (std::size_t index = 0; index < limit; ++index) REQUIRE(completes(trial.connect(std::to_string(index), "a")));
  CHECK(errorOf(trial.connect("more", "a")) == "OVERLOAD");
  trial.callers["0"].channel->release();
  trial.run(10ms);
  CHECK(completes(trial.connect("again", "a")));
}

TEST_CASE("single statements run with a stamp each and show the log's position") {
  WireDatabaseTrial trial;
  auto opened = trial.connect("x", "a");
  CHECK(opened.position == WirePosition{1, 0});
  auto written = trial.ask("x", "WRITE 1a4 data with blanks");
  CHECK(completes(written));
  CHECK(written.stamp != "-");
  CHECK(written.position == WirePosition{1, 1});
  CHECK(written.state == 'I');
  auto read = trial.ask("x", "READ 1a4");
  CHECK(read.rows == std::vector<std::string>{"1a4=data with blanks"});
  CHECK(read.stamp != written.stamp);
  CHECK(trial.ask("x", "READ 777").rows == std::vector<std::string>{"777=none"});
}

TEST_CASE("a transaction keeps all of its writes at its commit and none after a rollback or a close") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.connect("y", "a");
  CHECK(trial.ask("x", "BEGIN").state == 'T');
  CHECK(trial.ask("x", "WRITE k one").state == 'T');
  CHECK(trial.ask("x", "READ k").rows.front() == "k=one");
  CHECK(trial.ask("y", "READ k").rows.front() == "k=none");
  auto committed = trial.ask("x", "COMMIT");
  CHECK(committed.state == 'I');
  CHECK(committed.stamp != "-");
  CHECK(committed.position == WirePosition{1, 1});
  CHECK(trial.ask("y", "READ k").rows.front() == "k=one");
  trial.ask("x", "BEGIN");
  trial.ask("x", "WRITE k two");
  CHECK(trial.ask("x", "ROLLBACK").state == 'I');
  CHECK(trial.ask("y", "READ k").rows.front() == "k=one");
  trial.ask("x", "BEGIN");
  trial.ask("x", "WRITE k three");
  trial.callers["x"].channel->drop();
  trial.run(50ms);
  CHECK(trial.ask("y", "READ k").rows.front() == "k=one");
}

TEST_CASE("a failed transaction takes only its end, which rolls back") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.ask("x", "BEGIN");
  trial.ask("x", "WRITE k one");
  auto failed = trial.ask("x", "EXECUTE nobody 1a4 data");
  CHECK(errorOf(failed) == "UNKNOWN");
  CHECK(failed.state == 'E');
  CHECK(errorOf(trial.ask("x", "READ k")) == "MALFORMED");
  auto ended = trial.ask("x", "ROLLBACK");
  CHECK(completes(ended));
  CHECK(ended.state == 'I');
  CHECK(trial.ask("x", "READ k").rows.front() == "k=none");
  trial.ask("x", "BEGIN");
  trial.ask("x", "WRITE k one");
  trial.ask("x", "nonsense");
  CHECK(errorOf(trial.ask("x", "COMMIT")) == "ABORTED");
  CHECK(trial.ask("x", "READ k").rows.front() == "k=none");
}

TEST_CASE("statements out of place are malformed") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  for (const auto* text : {"COMMIT", "ROLLBACK", "READ", "READ two things", "WRITE k", "BEGIN WRITE", "PREPARE p READ", "AFTER x READ k",
                           "AFTER 1.0 WRITE k v", "SUSPEND x"}) {
    INFO(text);
    CHECK(errorOf(trial.ask("x", text)) == "MALFORMED");
  }
  trial.ask("x", "BEGIN");
  CHECK(errorOf(trial.ask("x", "BEGIN")) == "MALFORMED");
}

TEST_CASE("values and prepared names belong to a connection until a reset") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.connect("y", "a");
  CHECK(trial.ask("x", "SET zone north side").stamp == "-");
  CHECK(completes(trial.ask("x", "PREPARE p WRITE q2c")));
  CHECK(errorOf(trial.ask("y", "EXECUTE p k v")) == "UNKNOWN");
  CHECK(completes(trial.ask("x", "EXECUTE p k some data")));
  CHECK(trial.history.runs.back().values == std::map<std::string, std::string>{{"zone", "north side"}});
  CHECK(trial.history.runs.back().shape == "q2c");
  CHECK(trial.history.runs.back().effect == "WRITE k some data");
  CHECK(trial.ask("x", "READ k").rows.front() == "k=some data");
  CHECK(completes(trial.ask("x", "DISCARD p")));
  CHECK(errorOf(trial.ask("x", "DISCARD p")) == "UNKNOWN");
  trial.ask("x", "PREPARE r READ q1");
  CHECK(trial.ask("x", "EXECUTE r k").rows.front() == "k=some data");
  CHECK(completes(trial.ask("x", "RESET")));
  CHECK(errorOf(trial.ask("x", "EXECUTE r k")) == "UNKNOWN");
  trial.ask("x", "READ k");
  CHECK(trial.history.runs.back().values.empty());
}

TEST_CASE("replicas get commits, apply them later, and take neither writes nor plain transactions") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.connect("r", "b");
  trial.database("b").troubles().lagFactor = 20;
  auto written = trial.ask("x", "WRITE k v");
  trial.run(20ms);
  CHECK(trial.database("b").received() == 1);
  CHECK(trial.database("b").applied() == 0);
  CHECK(errorOf(trial.ask("r", "AFTER 1.1 READ k")) == "LAGGING");
  CHECK(errorOf(trial.ask("r", "AFTER 1.1 BEGIN READ")) == "LAGGING");
  CHECK(trial.ask("r", "READ k").rows.front() == "k=none");
  trial.run(1s);
  CHECK(trial.ask("r", "AFTER 1.1 READ k").rows.front() == "k=v");
  CHECK(errorOf(trial.ask("r", "WRITE k w")) == "READONLY");
  CHECK(errorOf(trial.ask("r", "BEGIN")) == "READONLY");
  CHECK(trial.ask("r", "BEGIN READ").state == 'T');
  CHECK(trial.ask("r", "READ k").rows.front() == "k=v");
  CHECK(completes(trial.ask("r", "COMMIT")));
  CHECK(errorOf(trial.ask("x", "AFTER 1.2 READ k")) == "LAGGING");
}

TEST_CASE("STATUS tells role, term, position received, term held, lag, busy and connections") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.connect("r", "b");
  trial.ask("x", "WRITE k v");
  trial.run(100ms);
  CHECK(statusOf(trial, "x") == "primary 1 1.1 0 0 1 1");
  CHECK(statusOf(trial, "r") == "replica 1 1.1 0 0 1 1");
}

TEST_CASE("a suspended replica receives nothing until RESUME or a promotion") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.connect("r", "b");
  CHECK(errorOf(trial.ask("r", "SUSPEND 1")) == "MALFORMED");
  CHECK(trial.ask("r", "SUSPEND 2").rows.front() == "replica 1 1.0 2 0 1 1");
  trial.ask("x", "WRITE k v");
  trial.run(300ms);
  CHECK(trial.database("b").received() == 0);
  CHECK(trial.database("c").received() == 1);
  trial.ask("r", "RESUME");
  trial.run(300ms);
  CHECK(trial.database("b").received() == 1);
  trial.ask("r", "SUSPEND 9");
  trial.ask("x", "WRITE k w");
  trial.run(300ms);
  trial.service.promote("c");
  trial.run(300ms);
  CHECK(trial.database("b").received() == 2);
  CHECK(trial.database("b").term() == 2);
}

TEST_CASE("a promoted database leads the next term with what it had received, others are cut back") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.ask("x", "WRITE k one");
  trial.run(200ms);
  trial.database("b").troubles().receivesNothing = true;
  trial.ask("x", "WRITE k two");
  trial.run(200ms);
  trial.crash("a");
  CHECK(trial.service.promote("b"));
  trial.database("b").troubles().receivesNothing = false;
  CHECK(trial.database("b").leads());
  CHECK(trial.history.terms.back().number == 1);
  trial.connect("y", "b");
  CHECK(trial.ask("y", "READ k").rows.front() == "k=one");
  CHECK(trial.ask("y", "WRITE k three").position == WirePosition{2, 2});
  trial.run(500ms);
  trial.connect("z", "c");
  CHECK(trial.ask("z", "READ k").rows.front() == "k=three");
  trial.start("a");
  trial.run(500ms);
  CHECK_FALSE(trial.database("a").leads());
  CHECK(trial.database("a").log().end(2) == WirePosition{2, 2});
}

TEST_CASE("a primary that was demoted leads again only after a promotion") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.ask("x", "WRITE k one");
  CHECK(trial.ask("x", "DEMOTE 7").rows.front().starts_with("replica 1 1.1"));
  trial.run(500ms);
  trial.crash("a");
  trial.start("a");
  trial.run(500ms);
  CHECK_FALSE(trial.database("a").leads());
  CHECK(trial.service.promote("a"));
  CHECK(trial.database("a").leads());
  CHECK(trial.database("a").term() == 2);
}

TEST_CASE("a crashed primary that was not replaced returns as primary with its log") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.ask("x", "WRITE k one");
  trial.crash("a");
  trial.run(1s);
  trial.start("a");
  trial.connect("x", "a");
  CHECK(trial.database("a").leads());
  CHECK(trial.ask("x", "READ k").rows.front() == "k=one");
}

TEST_CASE("the old primary goes on until DEMOTE, and a plain transaction that lost the lead is refused") {
  WireDatabaseTrial trial;
  for (const auto* caller : {"x", "writer", "reader", "status"}) trial.connect(caller, "a");
  trial.ask("writer", "BEGIN");
  trial.ask("writer", "WRITE k one");
  trial.ask("reader", "BEGIN");
  trial.service.promote("b");
  CHECK(completes(trial.ask("x", "WRITE k old")));
  CHECK(trial.ask("status", "DEMOTE 1").rows.front().starts_with("primary"));
  CHECK(trial.ask("status", "DEMOTE 2").rows.front().starts_with("replica"));
  CHECK(errorOf(trial.ask("x", "WRITE k old")) == "READONLY");
  CHECK(errorOf(trial.ask("writer", "COMMIT")) == "READONLY");
  CHECK(completes(trial.ask("reader", "COMMIT")));
}

TEST_CASE("the old primary gives way a second after it can reach the new one") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.network.cut("10.0.0.a", "10.0.0.b");
  trial.service.promote("b");
  trial.run(3s);
  CHECK(trial.database("a").leads());
  CHECK(completes(trial.ask("x", "WRITE k old")));
  trial.network.healAll();
  trial.run(900ms);
  CHECK(trial.database("a").leads());
  trial.run(300ms);
  CHECK_FALSE(trial.database("a").leads());
  trial.run(500ms);
  CHECK(trial.database("a").received() == 0);
}

TEST_CASE("with syncReplicas a commit is answered once a replica has received it") {
  WireDatabaseTrial trial(true);
  trial.connect("x", "a");
  CHECK(completes(trial.ask("x", "WRITE k one")));
  CHECK(trial.database("b").received() + trial.database("c").received() >= 1);
  trial.database("b").troubles().receivesNothing = true;
  trial.database("c").troubles().receivesNothing = true;
  trial.begin("x", "WRITE k two");
  trial.run(3s);
  CHECK_FALSE(trial.callers["x"].reply);
  trial.database("c").troubles().receivesNothing = false;
  trial.run(200ms);
  REQUIRE(trial.callers["x"].reply);
  CHECK(completes(*trial.callers["x"].reply));
}

TEST_CASE("where too many wait, statements and connections are refused as congested") {
  WireDatabaseTrial trial;
  auto& host = trial.hosts.at("a");
  std::vector<std::string> callers;
  for (std::size_t index = 0; index < host.settings.trunkLimit; ++index) {
    callers.push_back(std::to_string(index));
    REQUIRE(completes(trial.connect(callers.back(), "a")));
  }
  trial.database("a").troubles().slowness = 100;
  for (const auto& caller : callers) trial.begin(caller, "READ k");
  trial.run(100ms);
  std::size_t congested = 0;
  for (const auto& caller : callers)
    if (trial.callers[caller].reply && trial.callers[caller].reply->code == "CONGESTED") ++congested;
  CHECK(congested == host.settings.trunkLimit - host.settings.slots - host.settings.queue);
}

TEST_CASE("a connection whose far end is dark is dropped and rolled back after three seconds") {
  WireDatabaseTrial trial;
  trial.connect("x", "a");
  trial.ask("x", "BEGIN");
  trial.ask("x", "WRITE k one");
  trial.network.cut("10.9.0.1", "10.0.0.a");
  trial.run(2500ms);
  CHECK(trial.database("a").connections() == 1);
  trial.run(1s);
  CHECK(trial.database("a").connections() == 0);
  CHECK(trial.database("a").received() == 0);
}

TEST_CASE("an answer may be lost after the statement ran") {
  WireDatabaseTrial trial;
  trial.database("a").troubles().loseAnswer = 1000;
  std::size_t answered = 0;
  for (int index = 0; index < 12; ++index) {
    auto caller = std::to_string(index);
    trial.connect(caller, "a");
    auto reply = trial.ask(caller, "WRITE k" + caller + " v");
    if (completes(reply) && reply.state != '?') ++answered;
  }
  CHECK(answered == 0);
  CHECK(trial.database("a").received() == 12);
}
