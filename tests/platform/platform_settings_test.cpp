#include <fstream>
#include <regex>

#include <catch2/catch.hpp>

#include "platform/access_settings.hpp"
#include "platform/core_settings.hpp"

using namespace tamarindshift;

namespace {

using Values = std::map<std::string, std::string>;

const Values access{{"address", "10.1.0.1:7440"},         {"front", "10.1.0.1:80"}, {"readiness", "10.1.0.1:81"}, {"zone", "z1"},
                    {"seeds", "10.1.0.9:82,10.2.0.9:82"}, {"peer-port", "7440"}};
const Values core{{"node", "core-1"},       {"address", "10.1.0.9:7440"}, {"control", "10.1.0.9:82"}, {"zone", "z1"},
                  {"seeds", "10.1.0.9:82"}, {"peer-port", "7440"},        {"data", "data"},           {"platform", "10.200.0.1:83"}};

std::string outcome(const std::vector<Setting>& settings, const Values& values) {
  for (const auto& setting : settings) {
    auto found = values.find(setting.key);
    if (found == values.end()) {
      if (setting.required) return "missing " + setting.key;
      continue;
    }
    if (auto fault = setting.take(found->second)) return setting.key + ": " + *fault;
  }
  return "";
}

template <class Settings>
std::string outcome(Values values, const Values& changes) {
  for (const auto& [key, value] : changes) values[key] = value;
  Settings settings;
  if (auto fault = outcome(settings.settings(), values); !fault.empty()) return fault;
  return settings.settle().value_or("");
}

std::string accessOutcome(const Values& changes) {
  return outcome<platform::AccessSettings>(access, changes);
}
std::string coreOutcome(const Values& changes) {
  return outcome<platform::CoreSettings>(core, changes);
}

void checkDescribed(const std::vector<Setting>& settings) {
  std::set<std::string> keys;
  for (const auto& setting : settings) {
    CAPTURE(setting.key);
    CHECK(std::regex_match(setting.key, std::regex("[a-z]+(-[a-z]+)*")));
    CHECK(keys.insert(setting.key).second);
    CHECK(setting.meaning.size() > 10);
    if (!setting.required && !setting.standard.empty()) CHECK_FALSE(setting.take(setting.standard));
  }
}

void checkTemplate(const std::vector<Setting>& settings, const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::set<std::string> filled;
  for (std::string line; std::getline(file, line);)
    if (!line.starts_with(";")) filled.insert(line.substr(0, line.find('=')));
  for (const auto& setting : settings) {
    if (setting.required) CHECK(filled.contains(setting.key));
    filled.erase(setting.key);
  }
  CHECK(filled == std::set<std::string>{});
}

}  // namespace

TEST_CASE("every setting of the platform's programs has one key, a meaning and a default it takes itself") {
  checkDescribed(platform::AccessSettings{}.settings());
  checkDescribed(platform::CoreSettings{}.settings());
}

TEST_CASE("the templates of the deploy file fill known keys, and all that are required") {
  platform::AccessSettings access;
  platform::CoreSettings core;
  checkTemplate(access.settings(), std::string(DEPLOY_FOLDER) + "/access.conf");
  checkTemplate(core.settings(), std::string(DEPLOY_FOLDER) + "/core.conf");
}

TEST_CASE("settings out of range are refused with the range") {
  CHECK(accessOutcome({}).empty());
  CHECK(coreOutcome({}).empty());
  CHECK(accessOutcome({{"stop", "1"}}) == "stop: must be a number from 2 to 600");
  CHECK(accessOutcome({{"stop", "6.5"}}).empty());
  for (const char* value : {"", "-6", "6 s", "nan", "inf", "1e300"}) CHECK(accessOutcome({{"stop", value}}).starts_with("stop: must be"));
  CHECK(accessOutcome({{"sessions", "0"}}) == "sessions: must be a whole number from 1 to 1000000");
  CHECK(accessOutcome({{"suspicion", "99999999999999999999"}}) == "suspicion: must be a whole number from 50 to 10000");
  CHECK(accessOutcome({{"seeds", ""}}) == "seeds: must name at least one address");
  CHECK(accessOutcome({{"seeds", "10.1.0.9"}}) == "seeds: not of the form ip:port: 10.1.0.9");
  CHECK(coreOutcome({{"first-start", "yes"}}) == "first-start: must be true or false");
  CHECK(coreOutcome({{"losses", "-1"}}).starts_with("losses: must be"));
  CHECK(coreOutcome({{"data", ""}}) == "data: must not be empty");
}

TEST_CASE("settings that contradict each other are refused in one line") {
  CHECK(accessOutcome({{"readiness", "10.1.0.1:80"}}) == "front and readiness must be different addresses");
  CHECK(accessOutcome({{"peer-port", "7441"}}) == "address must have the peer-port, at which other nodes look for it");
  CHECK(accessOutcome({{"suspicion", "400"}, {"statement-patience", "300"}}) == "suspicion must be shorter than statement-patience");
  CHECK(accessOutcome({{"plan-followed", "1700"}}) == "the lease and its margin must end within the time a plan is followed");
  CHECK(accessOutcome({{"news-patience", "200"}}) == "an ask for news must outlast its wait");
  CHECK(accessOutcome({{"detach", "2000"}}) == "news of a Detach must arrive before its bound");
  CHECK(coreOutcome({{"control", "10.1.0.9:7440"}}) == "address and control must be different addresses");
  CHECK(coreOutcome({{"group-suspicion", "60"}, {"group-heartbeat", "50"}}) == "suspicion must be at least three heartbeats");
  CHECK(coreOutcome({{"lease", "2800"}, {"plan-followed", "2900"}}) ==
        "the lease and its margin must end within the time a plan is followed");
  CHECK(coreOutcome({{"lease", "2600"}}) == "a node may be given up only after its lease");
}
