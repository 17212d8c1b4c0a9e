#include <catch2/catch.hpp>

#include "tests/platform/history_maker.hpp"
#include "tests/platform/rule_checks.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

std::string broken(const HistoryMaker& made) {
  std::string rules;
  for (const auto& each : checkRules(made.history)) {
    UNSCOPED_INFO(each.rule << ": " << each.text);
    if (rules.find(each.rule) == std::string::npos) rules += (rules.empty() ? "" : " ") + each.rule;
  }
  return rules;
}

DatabaseRun& inTransaction(DatabaseRun& run, std::uint64_t transaction, std::uint64_t connection = 1) {
  run.transaction = transaction;
  run.connection = connection;
  return run;
}

// a transaction of one write at 10 s, kept as 1.1 and acknowledged at 10.033 s
std::size_t wroteInTransaction(HistoryMaker& made) {
  auto attempt = made.attempt(1, "shop", true);
  inTransaction(made.runs(attempt, "BEGIN", 10s), 1);
  inTransaction(made.runs(attempt, "WRITE k v", 10010ms), 1);
  auto& commit = inTransaction(made.runs(attempt, "COMMIT", 10030ms), 1);
  made.keep(commit, 1, 1);
  return attempt;
}

void singleWrite(HistoryMaker& made, const std::string& host, Duration at, std::uint64_t term, std::uint64_t number,
                 std::size_t session = 1) {
  auto& run = made.runs(made.attempt(session, host), "WRITE k v", at);
  made.keep(run, term, number);
}

DatabaseRun& read(HistoryMaker& made, const std::string& host, Duration at, WirePosition log, std::size_t session = 2) {
  auto& run = made.runs(made.attempt(session, host), "READ k", at, "b");
  run.log = log;
  return run;
}

}  // namespace

TEST_CASE("a clean history breaks no rule") {
  HistoryMaker made;
  wroteInTransaction(made);
  read(made, "shop", 11s, WirePosition{1, 1});
  read(made, "list", 10500ms, WirePosition{1, 0});
  read(made, "own", 10500ms, WirePosition{1, 0});
  auto names = made.attempt(3, "shop");
  made.runs(names, "SET zone north", 12s);
  made.runs(names, "PREPARE s1 READ q1", 12010ms);
  auto& executed = made.runs(names, "EXECUTE s1 k", 12020ms);
  executed.text = "EXECUTE p77 k";
  executed.shape = "q1";
  executed.values = {{"zone", "north"}};
  executed.log = WirePosition{1, 1};
  DatabaseRun status;
  status.service = "orders";
  status.database = "a";
  status.id = "-";
  status.text = "STATUS";
  status.verb = WireVerb::status;
  status.ran = true;
  made.history.services.runs.push_back(status);
  made.history.services.terms.push_back(TermStart{"orders", "b", 2, 1, HistoryMaker::at(13s)});
  singleWrite(made, "shop", 14s, 2, 2);
  made.sent(made.configuration(5), 15s, 16s);
  made.history.services.leaves.push_back(
      LeaveNotice{"orders", "a", Address{"10.1.0.1:90"}, HistoryMaker::at(17s), HistoryMaker::at(17s), false});
  auto late = made.attempt(4, "shop");
  auto& before = made.runs(late, "READ k", 23900ms);
  before.log = WirePosition{2, 2};
  made.history.troubles.stops.push_back(PlannedStop{"10.2.0.1", HistoryMaker::at(24s)});
  made.asks(made.attempt(5, "shop"), "READ k", 25s);
  made.close(made.history.clients.tries.size() - 1, 25100ms);
  made.history.closingFault = HistoryMaker::at(30s);
  made.history.backAt = HistoryMaker::at(32s);
  for (int index = 0; index < 8; ++index) made.operation(20s, true);
  for (int index = 0; index < 8; ++index) made.operation(45s, index < 3);
  made.readBack(made.configuration(5), 60s);
  CHECK(broken(made) == "");
}

TEST_CASE("UNASKED: a statement nobody sent, one changed, one of the system's own, a commit not asked for") {
  SECTION("an unknown id") {
    HistoryMaker made;
    made.runs(made.attempt(1, "shop"), "READ k", 10s).id = "nobody";
    CHECK(broken(made).find("UNASKED") != std::string::npos);
  }
  SECTION("changed text") {
    HistoryMaker made;
    made.runs(made.attempt(1, "shop"), "WRITE k v", 10s).text = "WRITE k w";
    CHECK(broken(made).find("UNASKED") != std::string::npos);
  }
  SECTION("a read of the system's own") {
    HistoryMaker made;
    made.runs(made.attempt(1, "shop"), "READ k", 10s).id = "-";
    CHECK(broken(made).find("UNASKED") != std::string::npos);
  }
  SECTION("a commit not asked for") {
    HistoryMaker made;
    auto attempt = made.attempt(1, "shop", true);
    inTransaction(made.runs(attempt, "BEGIN", 10s), 1);
    inTransaction(made.runs(attempt, "WRITE k v", 10010ms), 1);
    ClientStatement nobody;
    nobody.id = "-";
    nobody.text = "COMMIT";
    made.keep(inTransaction(made.runOnly(nobody, 10050ms), 1), 1, 1);
    CHECK(broken(made) == "UNASKED");
  }
}

TEST_CASE("ROUTE: a service runs what no configuration sends to it") {
  HistoryMaker made;
  made.runs(made.attempt(1, "shop"), "READ k", 10s).service = "stock";
  CHECK(broken(made).find("ROUTE") != std::string::npos);
}

TEST_CASE("DRAIN: a statement reaches a database too late after its leave was acknowledged") {
  HistoryMaker made;
  made.history.services.leaves.push_back(
      LeaveNotice{"orders", "a", Address{"10.1.0.1:90"}, HistoryMaker::at(10s), HistoryMaker::at(10s), false});
  made.runs(made.attempt(1, "shop"), "READ k", 17001ms);
  CHECK(broken(made) == "DRAIN");
  made.history.troubles.troubles.push_back(Trouble{"10.2.0.1", HistoryMaker::at(12s), HistoryMaker::at(13s)});
  CHECK(broken(made) == "");
}

TEST_CASE("DRAIN: statements of a transaction begun in time may go on") {
  HistoryMaker made;
  made.history.services.leaves.push_back(
      LeaveNotice{"orders", "a", Address{"10.1.0.1:90"}, HistoryMaker::at(10s), HistoryMaker::at(10s), false});
  auto attempt = made.attempt(1, "shop", true);
  inTransaction(made.runs(attempt, "BEGIN", 16900ms), 1);
  inTransaction(made.runs(attempt, "READ k", 17500ms), 1);
  CHECK(broken(made) == "");
}

TEST_CASE("LOST: a statement passed on is cut off by a planned stop") {
  HistoryMaker made;
  made.history.troubles.stops.push_back(PlannedStop{"10.2.0.1", HistoryMaker::at(10s)});
  auto attempt = made.attempt(1, "shop");
  auto& statement = made.asks(attempt, "READ k", 11s);
  SECTION("after a database ran it") {
    made.runOnly(statement, 11001ms);
    made.close(attempt, 11050ms);
    CHECK(broken(made) == "LOST");
  }
  SECTION("long after its last byte") {
    made.close(attempt, 11300ms);
    CHECK(broken(made) == "LOST");
  }
  SECTION("not where the database broke off") {
    made.runOnly(statement, 11001ms).brokenOff = true;
    made.close(attempt, 11300ms);
    CHECK(broken(made) == "");
  }
  SECTION("not where the database still worked in the second half of the time") {
    made.runOnly(statement, 11001ms).endedAt = HistoryMaker::at(13500ms);
    made.close(attempt, 13600ms);
    CHECK(broken(made) == "");
  }
}

TEST_CASE("LOST: a promoted log of a service with syncReplicas lacks an acknowledged commit") {
  HistoryMaker made;
  wroteInTransaction(made);
  made.history.services.terms.push_back(TermStart{"orders", "b", 2, 0, HistoryMaker::at(11s)});
  CHECK(broken(made) == "LOST");
  made.history.services.syncReplicas["orders"] = false;
  CHECK(broken(made) == "");
}

TEST_CASE("LOST and CONFIG: what is read back is missing, older or other than sent") {
  HistoryMaker made;
  made.sent(made.configuration(4), 10s, 11s);
  SECTION("older") {
    made.readBack(made.configuration(1), 60s);
    CHECK(broken(made) == "CONFIG");
    made.history.closingFault = HistoryMaker::at(12s);
    CHECK(broken(made) == "LOST");
  }
  SECTION("other") {
    auto other = made.configuration(4);
    other.routes.pop_back();
    made.readBack(other, 60s);
    CHECK(broken(made) == "CONFIG");
  }
  SECTION("missing") {
    made.history.operators.reads.push_back(ConfigurationRead{HistoryMaker::at(60s), std::nullopt});
    CHECK(broken(made) == "CONFIG");
  }
}

TEST_CASE("CONFIG: an invalid configuration is acknowledged or in force") {
  HistoryMaker made;
  auto invalid = made.configuration(9);
  invalid.routes[0].guard = std::chrono::milliseconds{0};
  invalid.routes[1].targetService = "stock";
  made.sent(invalid, 10s, std::nullopt);
  CHECK(broken(made) == "");
  SECTION("acknowledged") {
    made.history.operators.sent.back().acknowledgedAt = HistoryMaker::at(11s);
    CHECK(broken(made) == "CONFIG");
  }
  SECTION("in force") {
    made.runs(made.attempt(1, "list"), "READ k", 12s).service = "stock";
    CHECK(broken(made) == "CONFIG");
  }
}

TEST_CASE("CONFIG: an old version is used too long") {
  HistoryMaker made;
  auto moved = made.configuration(4);
  moved.routes[0].targetService = "stock";
  made.sent(moved, 10s, 11s);
  SECTION("within its time") {
    made.runs(made.attempt(1, "shop"), "READ k", 13900ms);
    CHECK(broken(made) == "");
  }
  SECTION("run by the old service") {
    made.runs(made.attempt(1, "shop"), "READ k", 14100ms);
    CHECK(broken(made) == "CONFIG");
    made.history.troubles.troubles.push_back(Trouble{"10.2.0.1", HistoryMaker::at(12s), HistoryMaker::at(13s)});
    CHECK(broken(made) == "");
  }
  SECTION("refused though the route is there") {
    auto attempt = made.attempt(1, "own");
    made.asks(attempt, "SETUP own", 14100ms);
    made.refuse(attempt, "NODATABASE", 14101ms);
    CHECK(broken(made) == "CONFIG");
  }
}

TEST_CASE("CONFIG: a node goes back to an older version") {
  HistoryMaker made;
  auto moved = made.configuration(4);
  moved.routes[0].targetService = "stock";
  made.sent(moved, 10s, 11s);
  made.runs(made.attempt(1, "shop"), "READ k", 11s).service = "stock";
  made.runs(made.attempt(1, "shop"), "READ k", 11200ms);
  CHECK(broken(made) == "");
  made.runs(made.attempt(1, "shop"), "READ k", 11300ms);
  CHECK(broken(made) == "CONFIG");
  made.history.troubles.starts.push_back(ProcessStart{"10.2.0.1", HistoryMaker::at(11250ms)});
  CHECK(broken(made) == "");
}

TEST_CASE("RECOVER: less than a quarter is served after the closing fault") {
  HistoryMaker made;
  made.history.closingFault = HistoryMaker::at(30s);
  made.history.backAt = HistoryMaker::at(32s);
  for (int index = 0; index < 8; ++index) made.operation(20s, index < 2);
  for (int index = 0; index < 9; ++index) made.operation(44001ms, index < 2);
  CHECK(broken(made) == "RECOVER");
}

TEST_CASE("MIXED: a success without the database's stamp, with another's or with other rows") {
  HistoryMaker made;
  auto first = made.attempt(1, "shop");
  made.runs(first, "READ k", 10s);
  auto second = made.attempt(2, "shop");
  made.runs(second, "READ k", 10s);
  auto& reply = made.history.clients.tries[first].statements.front().reply;
  SECTION("none") {
    reply.stamp = "-";
  }
  SECTION("another's") {
    reply.stamp = made.history.clients.tries[second].statements.front().reply.stamp;
  }
  SECTION("rows") {
    reply.rows.push_back("more");
  }
  CHECK(broken(made) == "MIXED");
}

TEST_CASE("PINNED: transactions of two clients meet, leave their connection, or are left") {
  HistoryMaker made;
  auto first = made.attempt(1, "shop", true);
  inTransaction(made.runs(first, "BEGIN", 10s), 1);
  inTransaction(made.runs(first, "READ k", 10010ms), 1);
  SECTION("another client's statement inside") {
    inTransaction(made.runs(made.attempt(2, "shop"), "READ k", 10020ms), 1);
  }
  SECTION("outside") {
    made.runs(first, "READ l", 10020ms);
  }
  SECTION("another connection") {
    inTransaction(made.runs(first, "READ l", 10020ms), 2, 2);
  }
  CHECK(broken(made) == "PINNED");
}

TEST_CASE("PINNED: values and shapes of others, and names that are not known any more") {
  HistoryMaker made;
  auto attempt = made.attempt(1, "shop");
  made.runs(attempt, "SET zone north", 10s);
  made.runs(attempt, "PREPARE s1 READ q1", 10010ms);
  auto& run = made.runs(attempt, "EXECUTE s1 k", 10020ms);
  run.values = {{"zone", "north"}};
  run.shape = "q1";
  CHECK(broken(made) == "");
  SECTION("no values") {
    run.values.clear();
  }
  SECTION("more values") {
    run.values["other"] = "x";
  }
  SECTION("another value") {
    run.values["zone"] = "south";
  }
  SECTION("another shape") {
    run.shape = "q2";
  }
  SECTION("unknown") {
    made.refuse(attempt, "UNKNOWN", 10030ms);
  }
  CHECK(broken(made).find("PINNED") != std::string::npos);
}

TEST_CASE("TWICE: a write takes effect twice for one try") {
  HistoryMaker made;
  auto attempt = made.attempt(1, "shop");
  made.keep(made.runs(attempt, "WRITE k v", 10s), 1, 1);
  auto statement = made.history.clients.tries[attempt].statements.front();
  auto& again = made.runOnly(statement, 10050ms);
  SECTION("kept") {
    made.keep(again, 1, 2);
    CHECK(broken(made) == "TWICE");
  }
  SECTION("in a transaction that was rolled back") {
    again.transaction = 7;
    CHECK(broken(made).find("TWICE") == std::string::npos);
  }
}

TEST_CASE("REFUSED: a write is kept although the client was promised that nothing is") {
  HistoryMaker made;
  auto attempt = made.attempt(1, "shop");
  auto& statement = made.asks(attempt, "WRITE k v", 10s);
  made.keep(made.runOnly(statement, 10001ms), 1, 1);
  SECTION("promised") {
    made.refuse(attempt, "ABORTED", 10010ms);
    CHECK(broken(made) == "REFUSED");
  }
  SECTION("nothing promised") {
    made.refuse(attempt, "UNRESOLVED", 10010ms);
    CHECK(broken(made) == "");
  }
}

TEST_CASE("STALE: a read misses a commit that its class must see") {
  HistoryMaker made;
  singleWrite(made, "own", 10s, 1, 1, 1);
  SECTION("primary") {
    read(made, "shop", 10004ms, WirePosition{1, 0});
    CHECK(broken(made) == "STALE");
  }
  SECTION("primary, asked before the acknowledgement") {
    read(made, "shop", 10002ms, WirePosition{1, 0});
    CHECK(broken(made) == "");
  }
  SECTION("bounded") {
    read(made, "list", 11s, WirePosition{1, 0});
    CHECK(broken(made) == "");
    read(made, "list", 11004ms, WirePosition{1, 0});
    CHECK(broken(made) == "STALE");
  }
  SECTION("in-house, its own session's commit") {
    read(made, "own", 10500ms, WirePosition{1, 0}, 2);
    CHECK(broken(made) == "");
    read(made, "own", 10500ms, WirePosition{1, 0}, 1);
    CHECK(broken(made) == "STALE");
  }
  SECTION("of a transaction its first byte counts") {
    auto attempt = made.attempt(2, "shop", true);
    inTransaction(made.runs(attempt, "BEGIN READ", 10002ms), 1);
    inTransaction(made.runs(attempt, "READ k", 10500ms), 1);
    CHECK(broken(made) == "");
  }
  SECTION("a commit cut back is not counted") {
    made.history.services.syncReplicas["orders"] = false;
    made.history.services.terms.push_back(TermStart{"orders", "b", 2, 0, HistoryMaker::at(11s)});
    read(made, "shop", 12s, WirePosition{1, 0});
    CHECK(broken(made) == "");
  }
  SECTION("a commit of a term that the next leader never received is cut back, however long its own log is") {
    made.history.services.syncReplicas["orders"] = false;
    made.history.services.terms.push_back(TermStart{"orders", "b", 2, 1, HistoryMaker::at(11s), 1});
    singleWrite(made, "shop", 12s, 2, 2, 1);
    made.history.services.terms.push_back(TermStart{"orders", "a", 3, 5, HistoryMaker::at(13s), 1});
    read(made, "shop", 14s, WirePosition{1, 5});
    CHECK(broken(made) == "");
  }
  SECTION("a commit of a term that the next leader had received is not") {
    made.history.services.syncReplicas["orders"] = false;
    made.history.services.terms.push_back(TermStart{"orders", "b", 2, 1, HistoryMaker::at(11s), 1});
    singleWrite(made, "shop", 12s, 2, 2, 1);
    made.history.services.terms.push_back(TermStart{"orders", "a", 3, 5, HistoryMaker::at(13s), 2});
    read(made, "shop", 14s, WirePosition{1, 5});
    CHECK(broken(made) == "STALE");
  }
  SECTION("the log of an old term lacks the commits of the next") {
    made.history.services.terms.push_back(TermStart{"orders", "b", 2, 1, HistoryMaker::at(11s)});
    singleWrite(made, "shop", 12s, 2, 2, 1);
    read(made, "shop", 13s, WirePosition{1, 9});
    CHECK(broken(made) == "STALE");
  }
}

TEST_CASE("ONE: a write is kept at the old primary after a promotion took effect") {
  HistoryMaker made;
  made.history.services.syncReplicas["orders"] = false;
  made.history.services.terms.push_back(TermStart{"orders", "b", 2, 0, HistoryMaker::at(10s)});
  singleWrite(made, "shop", 10500ms, 1, 1);
  CHECK(broken(made) == "ONE");
  made.history.troubles.troubles.push_back(Trouble{"10.2.0.1", HistoryMaker::at(10s), HistoryMaker::at(10400ms)});
  CHECK(broken(made) == "");
}

TEST_CASE("DUTY: calls to the platform name their holder, and the fence rises with it") {
  auto calls = [](std::vector<PromotionCall> promotions) {
    HistoryMaker made;
    made.history.promotions = std::move(promotions);
    return broken(made);
  };
  PromotionCall first{HistoryMaker::at(10s), "orders", "a", "core-1", "4", 200};
  auto next = [&](const std::string& holder, const std::string& fence) {
    return PromotionCall{HistoryMaker::at(20s), "orders", "b", holder, fence, 200};
  };
  CHECK(calls({first, next("core-1", "4"), next("core-2", "5")}).empty());
  CHECK(calls({first, next("", "5")}) == "DUTY");
  CHECK(calls({first, next("core-2", "")}) == "DUTY");
  CHECK(calls({first, next("core-2", "4")}) == "DUTY");
  CHECK(calls({first, next("core-2", "3")}) == "DUTY");
  CHECK(calls({first, next("core-1", "3")}) == "DUTY");
}
