#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "updates/zone_relays.hpp"

using namespace tamarindshift;

namespace {

std::vector<Address> agents(std::size_t count) {
  std::vector<Address> agents;
  for (std::size_t index = 0; index < count; ++index)
    agents.push_back(Address{"10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 10) + ":1"});
  std::sort(agents.begin(), agents.end());
  return agents;
}

std::set<Topic> topics() {
  std::set<Topic> topics{fleetTopic};
  for (int service = 1; service <= 157; ++service) topics.insert("s" + std::to_string(service));
  return topics;
}

}  // namespace

TEST_CASE("zone relays: a zone has two relays per 24 agents, and an agent has at most two sources in it") {
  for (std::size_t count : {1u, 2u, 3u, 12u, 24u, 25u, 70u, 400u}) {
    CAPTURE(count);
    auto all = agents(count);
    ZoneRelays zone(all);
    auto relays = std::count_if(all.begin(), all.end(), [&](const auto& agent) {
      return zone.isRelay(agent);
    });
    CHECK(static_cast<std::size_t>(relays) == std::min(count, 2 * ((count + 23) / 24)));
    std::map<Address, std::size_t> followers;
    for (const auto& agent : all) {
      std::set<Address> sources;
      for (const auto& topic : topics()) {
        auto own = zone.relaysFor(topic, agent);
        sources.insert(own.begin(), own.end());
        CHECK(std::find(own.begin(), own.end(), agent) == own.end());
        if (!zone.isRelay(agent)) CHECK(own.size() == std::min<std::size_t>(2, count));
      }
      CHECK(sources.size() <= 2);
      for (const auto& source : sources) {
        CHECK(zone.isRelay(source));
        ++followers[source];
      }
    }
    for (const auto& [relay, own] : followers) CHECK(own <= 48);
  }
}

TEST_CASE("zone relays: one relay in each group follows a topic at replicas, and no two relays follow each other") {
  ZoneRelays zone(agents(70));
  for (const auto& topic : topics()) {
    std::size_t first = 0;
    for (const auto& agent : zone.agents()) {
      auto own = zone.relaysFor(topic, agent);
      if (own.empty())
        ++first;
      else if (zone.isRelay(agent))
        CHECK(zone.relaysFor(topic, own.front()).empty());
    }
    CHECK(first == 3);
  }
}

TEST_CASE("zone relays: an agent that is not in the zone's list follows replicas") {
  CHECK(ZoneRelays{}.relaysFor(fleetTopic, Address{"10.1.0.1:1"}).empty());
  CHECK(ZoneRelays{agents(5)}.relaysFor(fleetTopic, Address{"10.9.0.1:1"}).empty());
}
