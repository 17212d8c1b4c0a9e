#include <random>

#include <catch2/catch.hpp>

#include "control/ration_cut.hpp"

using namespace tamarindshift;

namespace {

Address node(std::uint32_t number) {
  return Address{"10.1.0." + std::to_string(number) + ":1"};
}

// demands are told in tenths of a connection
NodeDemands tenfold(NodeDemands demands) {
  for (auto& [address, orders] : demands)
    for (auto& [order, amount] : orders) amount *= demandUnit;
  return demands;
}

std::uint64_t laterSum(const Ration& ration) {
  std::uint64_t sum = 0;
  for (const auto& [address, amount] : ration.later) sum += amount;
  return sum;
}

}  // namespace

TEST_CASE("ration: where all fits nothing is held", "[ration]") {
  CHECK_FALSE(cutRation(10, {}, {}, {}));
  CHECK_FALSE(cutRation(10, tenfold({{node(1), {{0, 4}, {2, 3}}}, {node(2), {{0, 3}}}}), {}, {}));
  CHECK_FALSE(cutRation(2, tenfold({{node(1), {{1, 40}}}, {node(2), {{1, 30}}}}), {}, {}));
}

TEST_CASE("ration: the first order is never held, however much it asks", "[ration]") {
  auto ration = cutRation(5, tenfold({{node(1), {{1, 20}, {2, 6}}}, {node(2), {{1, 20}, {2, 3}}}}), {}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 1);
  CHECK(laterSum(*ration) == 1);
}

TEST_CASE("ration: orders that fit go freely, the next has what is left, by weight", "[ration]") {
  NodeDemands demands{{node(1), {{0, 2}, {1, 2}, {2, 9}}}, {node(2), {{1, 1}, {2, 9}, {3, 9}}}};
  auto ration = cutRation(11, tenfold(demands), {{node(1), 2}, {node(2), 1}}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 1);
  CHECK(ration->laterAt(node(1)) == 4);
  CHECK(ration->laterAt(node(2)) == 2);
  CHECK(ration->laterAt(node(9)) == 0);
}

TEST_CASE("ration: many nodes that each ask less than one connection crowd a database together", "[ration]") {
  NodeDemands demands;
  for (std::uint32_t number = 1; number <= 70; ++number) demands[node(number)] = {{0, 1}, {2, 2}};
  CHECK_FALSE(cutRation(21, demands, {}, {}));
  auto ration = cutRation(10, demands, {}, {});
  REQUIRE(ration);
  CHECK(ration->freeThrough == 0);
  CHECK(laterSum(*ration) == 3);
  for (const auto& [address, amount] : ration->later) CHECK(amount == 1);
}

TEST_CASE("ration: nodes that were left out come first at the next cut", "[ration]") {
  NodeDemands demands;
  for (std::uint32_t number = 1; number <= 6; ++number) demands[node(number)] = {{0, 1}, {2, 2}};
  std::map<Address, int> had;
  Ration before;
  for (int cut = 0; cut < 3; ++cut) {
    auto ration = cutRation(8, tenfold(demands), {}, before);
    REQUIRE(ration);
    CHECK(laterSum(*ration) == 2);
    for (const auto& [address, amount] : ration->later) ++had[address];
    before = *ration;
  }
  CHECK(had.size() >= 4);
}

TEST_CASE("ration: whatever nodes ask, no more later work is let than is left, and earlier orders are let first", "[ration]") {
  for (std::uint32_t seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    NodeDemands demands;
    std::map<std::uint32_t, std::uint64_t> sums;
    auto nodes = 1 + random() % 30;
    for (std::uint32_t number = 1; number <= nodes; ++number)
      for (std::uint32_t order = 0; order < 4; ++order)
        if (random() % 2) sums[order] += demands[node(number)][order] = random() % 8;
    auto budget = static_cast<std::uint32_t>(1 + random() % 60);
    auto ration = cutRation(budget, tenfold(demands), {}, {});
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
