#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

Json service(const PoolerTrial& trial) {
  return trial.pooler->status().at("services").at("s1");
}
Json database(const PoolerTrial& trial, const std::string& name) {
  return service(trial).at("databases").at(name);
}

}  // namespace

TEST_CASE("pooler status: waiting statements are counted by precedence with the longest wait", "[pooler][status]") {
  PoolerTrial::Options options;
  options.share = 1;
  PoolerTrial trial(options);
  trial.addRoute("urgent", Consistency::primary, 0);
  trial.publishFleet();
  trial.publishService();
  trial.run(200ms);
  CHECK(trial.pooler->status().at("queue").empty());
  trial.backEnds.at("d1").runTime = 300ms;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  auto carol = trial.client("carol", "urgent");
  alice->start("WRITE a 1");
  trial.run(20ms);
  bob->start("WRITE b 1");
  trial.run(30ms);
  carol->start("WRITE c 1");
  trial.run(50ms);
  auto queue = trial.pooler->status().at("queue");
  CHECK(queue.at("0") == Json{{"length", 1}, {"longest_wait_ms", 50}});
  CHECK(queue.at("1") == Json{{"length", 1}, {"longest_wait_ms", 80}});
  CHECK(database(trial, "d1").at("busy") == 1);
  trial.run(2s);
  CHECK(trial.pooler->status().at("queue").empty());
}

TEST_CASE("pooler status: a database that is not used is listed with the reasons", "[pooler][status]") {
  PoolerTrial trial;
  CHECK_FALSE(database(trial, "d2").contains("unused"));
  trial.publishDrained("d2");
  trial.run(200ms);
  CHECK(database(trial, "d2").at("unused") == Json::array({"drained"}));
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").unresponsive = true;
  alice->start("READ a");
  trial.run(900ms);
  auto reasons = database(trial, "d1").at("unused");
  CHECK(std::find(reasons.begin(), reasons.end(), "suspected") != reasons.end());
  CHECK(service(trial).at("waits") == Json::array({"the primary is suspected"}));
  trial.backEnds.at("d1").unresponsive = false;
  trial.run(2s);
}

TEST_CASE("pooler status: an unavailable service is listed with the reasons", "[pooler][status]") {
  PoolerTrial trial;
  CHECK_FALSE(service(trial).contains("waits"));
  CHECK(service(trial).at("lease_ms") == 2000);
  trial.publishPrimary(2, "d2", false);
  trial.run(200ms);
  CHECK(service(trial).at("waits") == Json::array({"the primary is being recovered"}));
  trial.endLease();
  trial.run(200ms);
  CHECK(service(trial).at("lease_ms") == 0);
  CHECK(service(trial).at("waits").at(0) == "no current lease");
}

TEST_CASE("pooler status: a node without a share states the reason", "[pooler][status]") {
  PoolerTrial trial;
  CHECK_FALSE(service(trial).contains("shareless"));
  trial.publishShare(0);
  trial.run(200ms);
  CHECK(service(trial).at("shareless") == "nothing is granted; the status of the duty holder says why");
  PublishedNode other;
  other.boot = 99;
  trial.updates.put(fleetTopic, "node/10.1.0.1:1", other);
  trial.run(200ms);
  CHECK(service(trial).at("shareless") == "registered under another boot");
  trial.updates.remove(fleetTopic, "node/10.1.0.1:1");
  trial.run(200ms);
  CHECK(service(trial).at("shareless") == "not registered");
  CHECK(trial.pooler->status().at("ready") == false);
}
