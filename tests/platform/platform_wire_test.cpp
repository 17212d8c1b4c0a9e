#include <algorithm>

#include <catch2/catch.hpp>

#include "platform/front_door.hpp"
#include "platform/wire_back_end.hpp"
#include "platform/wire_words.hpp"
#include "tests/pooler_trial.hpp"
#include "tests/scripted_line.hpp"

using namespace tamarindshift;
using namespace tamarindshift::platform;

namespace {

struct FrontTrial : PoolerTrial {
  FrontTrial() : door(clock, *pooler) {}
  std::shared_ptr<ScriptedLine> guest() {
    auto line = std::make_shared<ScriptedLine>(clock);
    scope.spawn(door.serve(line));
    return line;
  }
  std::shared_ptr<ScriptedLine> session() {
    auto line = guest();
    CHECK(say(*line, "SETUP strict u1\r\n") == "IDLE I -\r\n");
    return line;
  }
  std::string say(ScriptedLine& line, const std::string& bytes, Duration wait = 50ms) {
    line.arrive(bytes);
    run(wait);
    return line.takeWritten();
  }
  FrontDoor door;
  TaskScope scope;
};

bool endsWith(const std::string& text, const std::string& end) {
  return text.ends_with(end);
}

struct BackTrial {
  BackTrial() : world(1), clock(world) {}
  struct Link : LineLink {
    Task<std::unique_ptr<LineConnection>> open(Address, Instant) override {
      if (!line) co_return nullptr;
      co_return std::move(line);
    }
    std::unique_ptr<ScriptedLine> line;
  };
  Task<void> opening(BackEndConnector& backEnds, std::optional<BackEndOpenResult>& opened) {
    DatabaseTarget target{ServiceName{"s1"}, DatabaseName{"d1"}, Address{"10.2.0.1:1"}};
    opened = co_await backEnds.open(target, clock.now() + 500ms);
  }
  Task<void> running(BackEndConnection& connection, Statement statement, std::optional<LogPosition> after,
                     std::optional<BackEndReply>& reply) {
    reply = co_await connection.run(statement, after, clock.now() + 500ms);
  }
  // the line of an accepted SETUP
  ScriptedLine& open(const std::string& answer = "IDLE I 3.7\r\n") {
    link.line = std::make_unique<ScriptedLine>(clock);
    auto& line = *link.line;
    scope.spawn(opening(backEnds, opened));
    line.arrive(answer);
    world.runUntil(world.now() + 1ms);
    return line;
  }
  std::optional<BackEndReply> ask(ScriptedLine& line, const std::string& text, const std::string& answer,
                                  std::optional<LogPosition> after = std::nullopt) {
    std::optional<BackEndReply> reply;
    scope.spawn(running(*opened->connection, *clientStatement("i1", text), after, reply));
    line.arrive(answer);
    world.runUntil(world.now() + 1s);
    return reply;
  }
  World world;
  SimulatedClock clock;
  Link link;
  WireBackEnds backEnds{link, "pooler"};
  std::optional<BackEndOpenResult> opened;
  TaskScope scope;
};

}  // namespace

TEST_CASE("wire: statements of clients are read with id and text unchanged", "[wire]") {
  struct Expected {
    const char* text;
    StatementKind kind;
    const char* name;
    const char* value;
  };
  auto expected = GENERATE(values<Expected>({
      {"BEGIN", StatementKind::begin, "", ""},
      {"BEGIN READ", StatementKind::beginRead, "", ""},
      {"COMMIT", StatementKind::commit, "", ""},
      {"ROLLBACK", StatementKind::rollback, "", ""},
      {"READ 1a4", StatementKind::read, "1a4", ""},
      {"WRITE 1a4 xkq pwn", StatementKind::write, "1a4", ""},
      {"WRITE 1a4", StatementKind::write, "1a4", ""},
      {"SET v1 some value ", StatementKind::set, "v1", "some value "},
      {"SET v1", StatementKind::set, "v1", ""},
      {"PREPARE s1 READ q2c", StatementKind::prepareRead, "s1", "q2c"},
      {"PREPARE s1 WRITE q2c and more", StatementKind::prepareWrite, "s1", "q2c and more"},
      {"EXECUTE s1 1a4", StatementKind::execute, "s1", ""},
      {"EXECUTE s1 1a4 data", StatementKind::execute, "s1", ""},
      {"DISCARD s1", StatementKind::discard, "s1", ""},
  }));
  INFO(expected.text);
  auto statement = clientStatement("5c0e", expected.text);
  REQUIRE(statement);
  CHECK(statement->id == "5c0e");
  CHECK(statement->text == expected.text);
  CHECK(statement->kind == expected.kind);
  CHECK(statement->name == expected.name);
  CHECK(statement->value == expected.value);
  CHECK(statementText(*statement) == expected.text);
}

TEST_CASE("wire: what is no statement of clients is refused", "[wire]") {
  auto text = GENERATE(as<std::string>{}, "", " ", "READ", "READ ", "WRITE", "WRITE ", "SET", "SET ", "SET  x", "PREPARE", "PREPARE s1",
                       "PREPARE s1 READ", "PREPARE s1 READ ", "PREPARE s1 OTHER q", "PREPARE s1 q2c", "EXECUTE", "EXECUTE s1",
                       "EXECUTE s1 ", "DISCARD", "DISCARD ", "BEGIN WRITE", "BEGIN READ x", "BEGIN  READ", "COMMIT now", "ROLLBACK x",
                       "begin", "read a", "Read a", " READ a", "READ\ta", "STATUS", "RESET", "SUSPEND 4", "RESUME", "DEMOTE 4",
                       "AFTER 3.1 READ a", "AFTER 3.1 BEGIN", "QUERY i READ a", "RELEASE", "SETUP a b");
  INFO(text);
  CHECK_FALSE(clientStatement("5c0e", text));
}

TEST_CASE("wire: an id is needed and is not that of our own statements", "[wire]") {
  CHECK_FALSE(clientStatement("", "READ a"));
  CHECK_FALSE(clientStatement("-", "READ a"));
  CHECK(clientStatement("--", "READ a"));
}

TEST_CASE("wire: our own statements have texts", "[wire]") {
  auto text = [](StatementKind kind, const char* name, const char* value) {
    return statementText(Statement{kind, {}, {}, name, value});
  };
  CHECK(text(StatementKind::rollback, "", "") == "ROLLBACK");
  CHECK(text(StatementKind::reset, "", "") == "RESET");
  CHECK(text(StatementKind::set, "v1", "some value") == "SET v1 some value");
  CHECK(text(StatementKind::prepareRead, "s1", "q2c") == "PREPARE s1 READ q2c");
  CHECK(text(StatementKind::prepareWrite, "s1", "q2c") == "PREPARE s1 WRITE q2c");
  CHECK(text(StatementKind::discard, "s1", "") == "DISCARD s1");
}

TEST_CASE("wire: places", "[wire]") {
  CHECK(placeNamed("3.1207") == LogPosition{Epoch{3}, Position{1207}});
  CHECK(placeNamed("0.0") == LogPosition{Epoch{0}, Position{0}});
  CHECK(placeNamed("18446744073709551615.1") == LogPosition{Epoch{18446744073709551615u}, Position{1}});
  CHECK(placeText(LogPosition{Epoch{3}, Position{1207}}) == "3.1207");
  for (const char* text :
       {"", "-", "3", "3.", ".7", "3.x", "x.7", "3.7.1", "-3.7", "+3.7", " 3.7", "3.7 ", "3. 7", "18446744073709551616.1", "0x3.7"}) {
    INFO(text);
    CHECK_FALSE(placeNamed(text));
  }
}

TEST_CASE("wire: each word of a fault has its own meaning and is said again", "[wire]") {
  std::set<StatementFault> seen;
  for (const char* word : {"CONGESTED", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD", "UNRESOLVED", "EXPIRED", "FAILED",
                           "UNKNOWN", "MALFORMED", "NODATABASE"}) {
    auto fault = faultNamed(word);
    CHECK(fault != StatementFault::none);
    CHECK(fault != StatementFault::other);
    CHECK(std::string{faultWord(fault)} == word);
    CHECK(seen.insert(fault).second);
  }
  for (const char* word : {"", "congested", "NONE", "CONGESTED "}) CHECK(faultNamed(word) == StatementFault::other);
  CHECK(std::string{faultWord(StatementFault::other)} == "FAILED");
}

TEST_CASE("wire: states", "[wire]") {
  for (auto state : {TransactionState::idle, TransactionState::open, TransactionState::failed})
    CHECK(stateNamed(std::string(1, stateLetter(state))) == state);
  for (const char* word : {"", "i", "X", "IT"}) CHECK_FALSE(stateNamed(word));
}

TEST_CASE("front: a session from SETUP to RELEASE", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  CHECK(trial.say(*line, "QUERY u.1 SET zone north\r\n") == "COMPLETE -\r\nIDLE I -\r\n");
  auto read = trial.say(*line, "QUERY u.2 READ a\r\n");
  CHECK(read == "ROW row of READ a\r\nCOMPLETE " + trial.runsOf("READ a").front().stamp + "\r\nIDLE I -\r\n");
  CHECK(trial.say(*line, "QUERY u.3 BEGIN\r\n") == "COMPLETE -\r\nIDLE T -\r\n");
  CHECK(endsWith(trial.say(*line, "QUERY u.4 WRITE a 1\r\n"), "\r\nIDLE T -\r\n"));
  CHECK(endsWith(trial.say(*line, "QUERY u.5 COMMIT\r\n"), "\r\nIDLE I -\r\n"));
  CHECK(trial.idsOf("WRITE a 1") == std::vector<std::string>{"u.4"});
  CHECK_FALSE(line->closed());
  CHECK(trial.say(*line, "RELEASE\r\n").empty());
  CHECK(line->closed());
  CHECK(trial.pooler->sessions() == 0);
}

TEST_CASE("front: a session that does not begin with SETUP is refused and closed", "[front]") {
  FrontTrial trial;
  auto text = GENERATE(as<std::string>{}, "QUERY u.1 READ a\r\n", "SETUP\r\n", "SETUP \r\n", "setup strict u1\r\n", "\r\n",
                       "GET / HTTP/1.1\r\n", "RELEASE\r\n", std::string("\0\1\2\r\n", 5));
  INFO(text);
  auto line = trial.guest();
  auto answer = trial.say(*line, text);
  CHECK(answer.starts_with("ERROR "));
  CHECK(answer.find('\n') == answer.size() - 1);
  CHECK(line->closed());
  CHECK(trial.pooler->sessions() == 0);
}

TEST_CASE("front: SETUP of a route that is not there is NODATABASE and a close", "[front]") {
  FrontTrial trial;
  auto line = trial.guest();
  CHECK(trial.say(*line, "SETUP nowhere u1\r\n").starts_with("ERROR NODATABASE "));
  CHECK(line->closed());
}

TEST_CASE("front: SETUP without a lease is CONGESTED with when to come back and a close", "[front]") {
  FrontTrial trial;
  trial.updates.endLease(fleetTopic);
  trial.updates.endLease("s1");
  auto line = trial.guest();
  auto answer = trial.say(*line, "SETUP nowhere u1\r\n", 1900ms);
  CHECK(answer.starts_with("ERROR CONGESTED "));
  CHECK(answer.find("retry after") != std::string::npos);
  CHECK(line->closed());
}

TEST_CASE("front: a guest that says nothing is closed", "[front]") {
  FrontTrial trial;
  auto line = trial.guest();
  trial.run(9s);
  CHECK_FALSE(line->closed());
  trial.run(2s);
  CHECK(line->closed());
}

TEST_CASE("front: unknown words get MALFORMED, the session goes on and no database sees them", "[front]") {
  FrontTrial trial;
  auto text = GENERATE(as<std::string>{}, "\r\n", " \r\n", "QUERY\r\n", "QUERY \r\n", "QUERY u.1\r\n", "QUERY u.1 \r\n",
                       "query i1 READ a\r\n", "QUERY - READ a\r\n", "QUERY  READ a\r\n", "QUERY u.1 STATUS\r\n", "QUERY - STATUS\r\n",
                       "QUERY u.1 RESET\r\n", "QUERY - RESET\r\n", "QUERY u.1 AFTER 3.1 READ a\r\n", "QUERY u.1 AFTER 3.1 BEGIN\r\n",
                       "QUERY u.1 SUSPEND 9\r\n", "QUERY u.1 RESUME\r\n", "QUERY u.1 DEMOTE 9\r\n", "QUERY u.1 read a\r\n",
                       "SETUP strict u1\r\n", "IDLE I -\r\n", "COMPLETE -\r\n", "QUERY u.1 DROP TABLE\r\n");
  INFO(text);
  auto line = trial.session();
  auto answer = trial.say(*line, text);
  CHECK(answer.starts_with("ERROR MALFORMED "));
  CHECK(endsWith(answer, "\r\nIDLE I -\r\n"));
  CHECK_FALSE(line->closed());
  CHECK(trial.backEnds.runs.empty());
  CHECK(trial.say(*line, "QUERY u.9 READ a\r\n").starts_with("ROW "));
}

TEST_CASE("front: what is malformed in a transaction tells its state and does not end it", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  trial.say(*line, "QUERY u.1 BEGIN\r\n");
  trial.say(*line, "QUERY u.2 WRITE a 1\r\n");
  auto runs = trial.backEnds.runs.size();
  for (const char* text : {"QUERY u.3 RESET\r\n", "QUERY u.4 STATUS\r\n", "NOTHING\r\n", "QUERY u.5 BEGIN\r\n"})
    CHECK(endsWith(trial.say(*line, text), "\r\nIDLE T -\r\n"));
  CHECK(trial.backEnds.runs.size() == runs);
  CHECK(endsWith(trial.say(*line, "QUERY u.6 COMMIT\r\n"), "\r\nIDLE I -\r\n"));
  CHECK(trial.committed("u.2") == 1);
}

TEST_CASE("front: wrong states get MALFORMED", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  for (const char* text : {"QUERY u.1 COMMIT\r\n", "QUERY u.2 ROLLBACK\r\n"}) {
    auto answer = trial.say(*line, text);
    CHECK(answer.starts_with("ERROR MALFORMED "));
    CHECK(endsWith(answer, "\r\nIDLE I -\r\n"));
  }
  CHECK(trial.say(*line, "QUERY u.3 EXECUTE p a\r\n").starts_with("ERROR UNKNOWN "));
  CHECK(trial.say(*line, "QUERY u.4 DISCARD p\r\n").starts_with("ERROR UNKNOWN "));
  CHECK(trial.backEnds.runs.empty());
}

TEST_CASE("front: a line of over 1 MiB closes the session and reaches no database", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  trial.say(*line, "QUERY u.1 WRITE a " + std::string(1u << 20, 'x') + "\r\n");
  CHECK(line->closed());
  CHECK(trial.backEnds.runs.empty());
  CHECK(trial.pooler->sessions() == 0);
}

TEST_CASE("front: a line of just 1 MiB is passed on unchanged", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  std::string text = "WRITE a ";
  text += std::string(LineConnection::mostLineBytes - text.size() - std::string{"QUERY u.1 "}.size(), 'x');
  CHECK(trial.say(*line, "QUERY u.1 " + text + "\r\n").starts_with("COMPLETE "));
  CHECK(trial.runsOf(text).size() == 1);
}

TEST_CASE("front: half a message and a close has no effect", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  bool transaction = GENERATE(false, true);
  if (transaction) {
    trial.say(*line, "QUERY u.1 BEGIN\r\n");
    trial.say(*line, "QUERY u.2 WRITE a 1\r\n");
  }
  auto half = GENERATE(as<std::string>{}, "QUERY u.3 WRITE a 2", "QUERY u.3 COMMIT", "QUERY u.3 COMMIT\r", "QUERY u.3 COMMIT\n", "Q");
  line->arrive(half);
  trial.run(50ms);
  line->closeByPeer();
  trial.run(50ms);
  CHECK(line->closed());
  CHECK(trial.backEnds.at("d1").committed.empty());
  CHECK(trial.pooler->sessions() == 0);
}

TEST_CASE("front: a client that closes while its statement runs is rolled back afterwards", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  trial.say(*line, "QUERY u.1 BEGIN\r\n");
  trial.backEnds.at("d1").runTime = 100ms;
  line->arrive("QUERY u.2 WRITE a 1\r\n");
  trial.run(20ms);
  line->closeByPeer();
  trial.run(500ms);
  CHECK(trial.pooler->sessions() == 0);
  CHECK(trial.backEnds.at("d1").committed.empty());
  CHECK(trial.backEnds.runs.back().statement.kind == StatementKind::rollback);
  CHECK(trial.backEnds.at("d1").connections == 1);
}

TEST_CASE("front: statements that arrive together are answered in order", "[front]") {
  FrontTrial trial;
  auto line = trial.session();
  auto answer = trial.say(*line, "QUERY u.1 BEGIN\r\nQUERY u.2 WRITE a 1\r\nQUERY u.3 COMMIT\r\nQUERY u.4 READ a\r\nRELEASE\r\n", 200ms);
  std::vector<std::string> texts;
  for (const auto& run : trial.backEnds.runs) texts.push_back(run.statement.text);
  CHECK(texts == std::vector<std::string>{"BEGIN", "WRITE a 1", "COMMIT", "READ a"});
  CHECK(std::count(answer.begin(), answer.end(), '\n') == 9);
  CHECK(line->closed());
}

TEST_CASE("front: a leaving node closes idle sessions and lets a transaction end", "[front]") {
  FrontTrial trial;
  auto idle = trial.session();
  auto working = trial.session();
  trial.pooler->drain();
  trial.run(1800ms);
  CHECK_FALSE(idle->closed());
  CHECK(trial.say(*working, "QUERY u.1 BEGIN\r\n") == "COMPLETE -\r\nIDLE T -\r\n");
  CHECK(endsWith(trial.say(*working, "QUERY u.2 WRITE a 1\r\n"), "IDLE T -\r\n"));
  trial.run(700ms);
  CHECK(idle->closed());
  CHECK(idle->written.empty());
  CHECK_FALSE(working->closed());
  CHECK(endsWith(trial.say(*working, "QUERY u.3 COMMIT\r\n"), "IDLE I -\r\n"));
  CHECK(working->closed());
  CHECK(trial.committed("u.2") == 1);
  auto late = trial.guest();
  CHECK(trial.say(*late, "SETUP strict u1\r\n").starts_with("ERROR CONGESTED "));
}

TEST_CASE("back: SETUP carries service, who and the expected id", "[back]") {
  BackTrial trial;
  auto& line = trial.open();
  REQUIRE(trial.opened);
  REQUIRE(trial.opened->connection);
  CHECK(line.written == "SETUP s1 pooler d1\r\n");
  CHECK(trial.opened->answered);
  CHECK(trial.opened->logPosition == LogPosition{Epoch{3}, Position{7}});
}

TEST_CASE("back: a refused SETUP is answered, a closed or silent one is not", "[back]") {
  BackTrial trial;
  SECTION("refused") {
    trial.open("ERROR MISROUTED i-9\r\n");
    REQUIRE(trial.opened);
    CHECK(trial.opened->answered);
    CHECK(trial.opened->fault == StatementFault::misdirected);
  }
  SECTION("silent") {
    trial.open("");
    CHECK_FALSE(trial.opened);
    trial.world.runUntil(trial.world.now() + 600ms);
    REQUIRE(trial.opened);
    CHECK_FALSE(trial.opened->answered);
  }
  SECTION("something else") {
    trial.open("HTTP/1.1 400 Bad Request\r\n");
    REQUIRE(trial.opened);
    CHECK(trial.opened->fault == StatementFault::other);
  }
  SECTION("no connection") {
    trial.scope.spawn(trial.opening(trial.backEnds, trial.opened));
    trial.world.runUntil(trial.world.now() + 1ms);
    REQUIRE(trial.opened);
    CHECK_FALSE(trial.opened->answered);
  }
  CHECK_FALSE(trial.opened->connection);
}

TEST_CASE("back: statements go out with id, AFTER and text, replies come back whole", "[back]") {
  BackTrial trial;
  auto& line = trial.open();
  line.takeWritten();
  auto reply =
      trial.ask(line, "READ 1a4", "ROW qhzk  wmt\r\nROW\r\nCOMPLETE 7.1f3.c\r\nIDLE I 3.1209\r\n", LogPosition{Epoch{3}, Position{1207}});
  CHECK(line.takeWritten() == "QUERY i1 AFTER 3.1207 READ 1a4\r\n");
  REQUIRE(reply);
  CHECK(reply->outcome == BackEndOutcome::replied);
  CHECK(reply->fault == StatementFault::none);
  CHECK(reply->rows == std::vector<std::string>{"qhzk  wmt", ""});
  CHECK(reply->stamp == "7.1f3.c");
  CHECK(reply->state == TransactionState::idle);
  CHECK(reply->logPosition == LogPosition{Epoch{3}, Position{1209}});
  reply = trial.ask(line, "WRITE 1a4 x", "ERROR READONLY i-7f3a91c2 and more\r\nIDLE E -\r\n");
  CHECK(line.takeWritten() == "QUERY i1 WRITE 1a4 x\r\n");
  CHECK(reply->fault == StatementFault::readOnly);
  CHECK(reply->reason == "i-7f3a91c2 and more");
  CHECK(reply->state == TransactionState::failed);
  CHECK_FALSE(reply->logPosition);
  CHECK(trial.opened->connection->usable());
}

TEST_CASE("back: a reply that breaks off, is late or is none of the wire's is lost and the connection closed", "[back]") {
  BackTrial trial;
  auto& line = trial.open();
  auto answer = GENERATE(as<std::string>{}, "", "ROW x\r\n", "COMPLETE 7.1\r\n", "COMPLETE 7.1\r\nIDLE I 3.7",
                         "COMPLETE 7.1\r\nIDLE X 3.7\r\n", "HELLO\r\n", "IDLE\r\n");
  INFO(answer);
  auto reply = trial.ask(line, "READ a", answer);
  REQUIRE(reply);
  CHECK(reply->outcome == BackEndOutcome::lost);
  CHECK_FALSE(trial.opened->connection->usable());
  CHECK(trial.ask(line, "READ a", "")->outcome == BackEndOutcome::unsent);
}

TEST_CASE("back: a line that nobody asked for is no reply to the next statement, which stays unsent", "[back]") {
  BackTrial trial;
  auto& line = trial.open();
  auto unasked =
      GENERATE(as<std::string>{}, "COMPLETE 7.1.late\r\nIDLE I 3.7\r\n", "ROW x\r\n", "C", "ERROR CONGESTED late\r\nIDLE I -\r\n");
  INFO(unasked);
  REQUIRE(trial.ask(line, "READ a", "ROW v\r\nCOMPLETE 7.1\r\nIDLE I 3.7\r\n")->outcome == BackEndOutcome::replied);
  line.takeWritten();
  SECTION("behind a reply") {
    line.arrive(unasked);
    trial.world.runUntil(trial.world.now() + 10ms);
    CHECK_FALSE(trial.opened->connection->usable());
    auto reply = trial.ask(line, "WRITE a 1", "COMPLETE 7.2\r\nIDLE I 3.8\r\n");
    REQUIRE(reply);
    CHECK(reply->outcome == BackEndOutcome::unsent);
    CHECK(line.takeWritten().empty());
  }
  SECTION("together with a reply") {
    auto reply = trial.ask(line, "READ b", "ROW w\r\nCOMPLETE 7.2\r\nIDLE I 3.8\r\n" + unasked);
    REQUIRE(reply);
    CHECK(reply->stamp == "7.2");
    CHECK_FALSE(trial.opened->connection->usable());
  }
}

TEST_CASE("back: an error of an unknown word is an error", "[back]") {
  BackTrial trial;
  auto& line = trial.open();
  auto reply = trial.ask(line, "READ a", "ERROR WHATEVER x\r\nIDLE I 3.7\r\n");
  CHECK(reply->outcome == BackEndOutcome::replied);
  CHECK(reply->fault == StatementFault::other);
}

TEST_CASE("back: a reply without COMPLETE or ERROR is no success", "[back][mended]") {
  BackTrial trial;
  auto& line = trial.open();
  auto reply = trial.ask(line, "WRITE a 1", "IDLE I 3.7\r\n");
  REQUIRE(reply);
  CHECK((reply->outcome == BackEndOutcome::lost || reply->fault != StatementFault::none));
}
