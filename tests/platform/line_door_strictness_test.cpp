#include <catch2/catch.hpp>

#include "tests/platform/line_door_trial.hpp"

using namespace tamarindshift;

TEST_CASE("line door: LF without CR ends no line, so nothing is smuggled inside a message", "[linedoor][mended]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  trial.say("QUERY u.1 WRITE a x\nQUERY u.2 WRITE b y\r\n");
  trial.run(300ms);
  CHECK(trial.runs("WRITE a x") == 0);
  CHECK(trial.runs("WRITE b y") == 0);
}

TEST_CASE("line door: a line of over 1 MiB is answered with an error before the close", "[linedoor][mended]") {
  LineDoorTrial trial;
  REQUIRE(trial.greeted());
  trial.say("QUERY u.1 WRITE a " + std::string((1u << 20) + 100, 'x') + "\r\n");
  CHECK(trial.awaits(""));
  CHECK(trial.received.starts_with("ERROR OVERSIZE "));
}
