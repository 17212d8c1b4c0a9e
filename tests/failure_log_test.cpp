#include <catch2/catch.hpp>

#include <algorithm>
#include <regex>
#include <sstream>

#include <nlohmann/json.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

nlohmann::json newestFailure(PoolerTrial& trial) {
  auto failures = trial.pooler->failures().json(trial.clock.now(), {});
  return failures.empty() ? nlohmann::json{} : failures.front();
}

std::size_t linesWith(const std::vector<std::string>& lines, const std::string& text) {
  return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
    return line.find(text) != std::string::npos;
  }));
}

}  // namespace

TEST_CASE("failures: a statement without a lease is listed with its cause, its id and its waiting time") {
  PoolerTrial trial;
  auto client = trial.client("a");
  REQUIRE(client->ask("READ x") == "OK");
  trial.endLease();
  auto asked = client->start("READ x");
  CHECK(client->finish(asked) != "OK");
  auto failure = newestFailure(trial);
  CHECK(failure["id"] == asked->id);
  CHECK(failure["reason"].get<std::string>().find("no current lease") != std::string::npos);
  CHECK(failure["lease_ms"] == 0);
  CHECK(failure["attempts_made"] == 0);
  CHECK(failure["held_ms"].get<int>() > 0);
  CHECK(failure["waited_ms"] == failure["held_ms"]);
}

TEST_CASE("failures: the attempts of a statement at databases are listed one by one") {
  PoolerTrial trial;
  auto client = trial.client("a");
  REQUIRE(client->ask("WRITE x 1") == "OK");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::lostAfterRunning);
  CHECK(client->ask("WRITE x 2") != "OK");
  auto failure = newestFailure(trial);
  REQUIRE(failure["attempts"].size() == 1);
  CHECK(failure["attempts"][0]["fate"] == "lost");
  CHECK(failure["fault"] == "unknown_outcome");
}

TEST_CASE("failures: a period of failures is logged as two lines and a total, not as a line each") {
  std::vector<std::string> lines;
  SimulatedJournal journal("node", [&](const std::string& text) {
    lines.push_back(text);
  });
  FailureLog log(journal);
  Instant at{Duration{1'000'000}};
  for (int index = 0; index < 500; ++index) {
    FailedStatement failed;
    failed.at = at += 1ms;
    failed.trace.id = std::to_string(index);
    failed.trace.service = ServiceName{"s1"};
    failed.fault = StatementFault::busy;
    failed.reason = "no current lease";
    log.record(failed);
    log.endQuietEpisodes(at);
  }
  CHECK(lines.size() == 1);
  log.endQuietEpisodes(at + 2s);
  CHECK(lines.size() == 2);
  CHECK(linesWith(lines, "500 statements failed") == 1);
  CHECK(log.json(at, {}).size() == 256);
  CHECK(log.json(at, "499").size() == 1);
  CHECK(log.json(at, "1").empty());
}

TEST_CASE("failures: free-text reasons of a database do not grow the totals without bound") {
  SimulatedJournal journal("node", [](const std::string&) {});
  FailureLog log(journal);
  for (int index = 0; index < 1000; ++index) {
    FailedStatement failed;
    failed.fault = StatementFault::other;
    failed.reason = "reason " + std::to_string(index);
    log.record(failed);
  }
  CHECK(log.totals().size() <= 129);
}

TEST_CASE("metrics: each line of a page is a comment or a sample") {
  PoolerTrial trial;
  auto client = trial.client("a");
  REQUIRE(client->ask("WRITE x 1") == "OK");
  trial.endLease();
  CHECK(client->ask("WRITE x 2") != "OK");
  std::istringstream page(trial.pooler->metrics());
  std::regex sample{R"re([a-z_]+(\{[a-z_]+="([^"\\]|\\.)*"(,[a-z_]+="([^"\\]|\\.)*")*\})? -?[0-9.e+-]+)re"};
  std::size_t samples = 0;
  std::string all;
  for (std::string line; std::getline(page, line);) {
    all += line + "\n";
    if (line.starts_with("#")) continue;
    INFO(line);
    CHECK(std::regex_match(line, sample));
    ++samples;
  }
  CHECK(samples > 20);
  CHECK(all.find("tamarindshift_hindrance{service=\"s1\",reason=\"no current lease\"} 1") != std::string::npos);
  CHECK(all.find("tamarindshift_failed_statements_total{service=\"s1\",fault=\"busy\"") != std::string::npos);
  CHECK(all.find("tamarindshift_invariant_violations_total{invariant=\"work-under-lease\"} 0") != std::string::npos);
}

TEST_CASE("failures: whatever bytes clients and databases send, the list stays printable and bounded") {
  std::vector<std::string> lines;
  SimulatedJournal journal("node", [&](const std::string& text) {
    lines.push_back(text);
  });
  FailureLog log(journal);
  const std::string noText = std::string("\xff\xfe\x80", 3) + std::string(1 << 20, 'x');
  for (int index = 0; index < 300; ++index) {
    FailedStatement failed;
    failed.trace.id = noText;
    failed.host = noText;
    failed.fault = StatementFault::other;
    failed.reason = noText + std::to_string(index);
    log.record(failed);
  }
  std::string page;
  REQUIRE_NOTHROW(page = log.json(Instant{}, {}).dump());
  CHECK(page.size() < (1 << 20));
  std::size_t logged = 0;
  for (const auto& line : lines) logged += line.size();
  CHECK(logged < (1 << 17));
  std::size_t held = 0;
  for (const auto& [cause, sum] : log.totals()) held += std::get<std::string>(cause).size();
  CHECK(held < (1 << 17));
}

TEST_CASE("failures: bytes from a client that are not text do not make the list unreadable") {
  PoolerTrial trial;
  auto client = trial.client("a");
  REQUIRE(client->ask("READ x") == "OK");
  trial.endLease();
  trial.run(2s);
  Statement statement;
  statement.kind = StatementKind::read;
  statement.id = "\xff\x01";
  statement.name = "x";
  statement.text = "READ x";
  TaskScope scope;
  auto ask = [&](Statement asked) -> Task<void> {
    co_await trial.pooler->run(client->session, std::move(asked));
  };
  scope.spawn(ask(statement));
  trial.run(2s);
  auto failures = trial.pooler->failures().json(trial.clock.now(), {});
  REQUIRE(failures.size() == 1);
  CHECK_NOTHROW(failures.dump());
}
