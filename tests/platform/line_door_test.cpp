#include <catch2/catch.hpp>

#include "tests/platform/line_door_trial.hpp"

using namespace tamarindshift;

TEST_CASE("line door: messages that come in pieces or together are served whole", "[linedoor]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  for (char letter : std::string{"QUERY u.1 WRITE a 1\r\n"}) {
    trial.say(std::string(1, letter));
    trial.run(1ms);
  }
  REQUIRE(trial.awaits("IDLE I -\r\n"));
  CHECK(trial.runs("WRITE a 1") == 1);
  trial.say("QUERY u.2 READ b\r\nQUERY u.3 READ c\r\nRELEASE\r\n");
  REQUIRE(trial.awaits(""));
  CHECK(trial.runs("READ b") == 1);
  CHECK(trial.runs("READ c") == 1);
}

TEST_CASE("line door: half a message and a close has no effect", "[linedoor]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  trial.say("QUERY u.1 WRITE a 1");
  trial.run(50ms);
  trial.client.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  CHECK(trial.awaits(""));
  CHECK(trial.backEnds.runs.empty());
  CHECK(trial.pooler.sessions() == 0);
}

TEST_CASE("line door: a line of just 1 MiB is passed on unchanged", "[linedoor]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  std::string text = "WRITE a ";
  text += std::string(LineConnection::mostLineBytes - text.size() - std::string{"QUERY u.1 "}.size(), 'x');
  trial.say("QUERY u.1 " + text + "\r\n");
  REQUIRE(trial.awaits("IDLE I -\r\n"));
  CHECK(trial.runs(text) == 1);
}

TEST_CASE("line door: a line of over 1 MiB is closed before it is held whole and reaches no database", "[linedoor]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  bool ends = GENERATE(false, true);
  trial.say("QUERY u.1 WRITE a " + std::string(8u << 20, 'x') + (ends ? "\r\n" : ""));
  CHECK(trial.awaits(""));
  trial.run(50ms);
  CHECK(trial.backEnds.runs.empty());
  CHECK(trial.pooler.sessions() == 0);
}

TEST_CASE("line door: bytes that are no text get MALFORMED", "[linedoor]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  trial.say(std::string("\0\x01\xff\xfe\r\n", 6));
  REQUIRE(trial.awaits("IDLE I -\r\n"));
  CHECK(trial.received.starts_with("ERROR MALFORMED "));
  CHECK(trial.backEnds.runs.empty());
}
