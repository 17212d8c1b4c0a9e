#include <random>

#include <catch2/catch.hpp>

#include "control/ration_allocation.hpp"

using namespace tamarindshift;

namespace {

Address node(std::uint32_t number) {
  return Address{"10.1.0." + std::to_string(number) + ":1"};
}

// demands are reported in tenths of a connection
DemandsByNode inDemandUnits(DemandsByNode demands) {
  for (auto& [address, orders] : demands)
    for (auto& [order, amount] : orders) amount *= demandUnitsPerConnection;
  return demands;
}

std::uint64_t laterSum(const Ration& ration) {
  std::uint64_t sum = 0;
  for (const auto& [address, amount] : ration.later) sum += amount;
  return sum;
}

}  // namespace

TEST_CASE("ration: nothing is limited where all demands fit", "[ration]") {
  CHECK_FALSE(allocateRation(10, {}, {}, {}));
  CHECK_FALSE(allocateRation(10, inDemandUnits({{node(1), {{0, 4}, {2, 3}}}, {node(2), {{0, 3}}}}), {}, {}));
  CHECK_FALSE(allocateRation(2, inDemandUnits({{node(1), {{1, 40}}}, {node(2), {{1, 30}}}}), {}, {}));
}

TEST_CASE("ration: the first order is never limited, however much it asks for", "[ration]") {
  auto ration = allocateRation(5, inDemandUnits({{node(1), {{1, 20}, {2, 6}}}, {node(2), {{1, 20}, {2, 3}}}}), {}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 1);
  CHECK(laterSum(*ration) == 1);
}

TEST_CASE("ration: orders that fit are not limited, the next one gets the rest by weight", "[ration]") {
  DemandsByNode demands{{node(1), {{0, 2}, {1, 2}, {2, 9}}}, {node(2), {{1, 1}, {2, 9}, {3, 9}}}};
  auto ration = allocateRation(11, inDemandUnits(demands), {{node(1), 2}, {node(2), 1}}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 1);
  CHECK(ration->laterLimitAt(node(1)) == 4);
  CHECK(ration->laterLimitAt(node(2)) == 2);
  CHECK(ration->laterLimitAt(node(9)) == 0);
}

TEST_CASE("ration: many nodes that each ask for less than one connection can crowd a database together", "[ration]") {
  DemandsByNode demands;
  for (std::uint32_t number = 1; number <= 70; ++number) demands[node(number)] = {{0, 1}, {2, 2}};
  CHECK_FALSE(allocateRation(21, demands, {}, {}));
  auto ration = allocateRation(10, demands, {}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 0);
  CHECK(laterSum(*ration) == 3);
  for (const auto& [address, amount] : ration->later) CHECK(amount == 1);
}

TEST_CASE("ration: nodes that got nothing go first in the next allocation", "[ration]") {
  DemandsByNode demands;
  for (std::uint32_t number = 1; number <= 6; ++number) demands[node(number)] = {{0, 1}, {2, 2}};
  std::map<Address, int> had;
  Ration before;
  for (int cut = 0; cut < 3; ++cut) {
    auto ration = allocateRation(8, inDemandUnits(demands), {}, before);
    REQUIRE(ration);
    CHECK(laterSum(*ration) == 2);
    for (const auto& [address, amount] : ration->later) ++had[address];
    before = *ration;
  }
  CHECK(had.size() >= 4);
}

TEST_CASE("ration: whatever nodes ask for, later work gets no more than what is left, and earlier orders go first", "[ration]") {
  for (std::uint32_t seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    DemandsByNode demands;
    std::map<std::uint32_t, std::uint64_t> sums;
    auto nodes = 1 + random() % 30;
    for (std::uint32_t number = 1; number <= nodes; ++number)
      for (std::uint32_t order = 0; order < 4; ++order)
        if (random() % 2) sums[order] += demands[node(number)][order] = random() % 8;
    auto budget = static_cast<std::uint32_t>(1 + random() % 60);
    auto ration = allocateRation(budget, inDemandUnits(demands), {}, {});
    std::uint64_t all = 0;
    for (const auto& [order, sum] : sums) all += sum;
    INFO("seed " << seed);
    if (!ration) {
      std::size_t asked = 0;
      for (const auto& [order, sum] : sums) asked += sum > 0;
      CHECK((all <= budget || asked == 1));
      continue;
    }
    CHECK(all > budget);
    std::uint64_t free = 0;
    for (const auto& [order, sum] : sums)
      if (order <= ration->freeThrough) free += sum;
    auto later = laterSum(*ration);
    CHECK(later >= 1);
    CHECK(later <= (free < budget ? budget - free : 1));
    for (const auto& [address, amount] : ration->later) {
      std::uint32_t wants = 0;
      for (const auto& [order, want] : demands.at(address))
        if (order > ration->freeThrough) wants += want;
      CHECK(amount <= wants);
    }
  }
}
