#include <catch2/catch.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/plan_check.hpp"
#include "control/plan_reader.hpp"
#include "control/share_allocation.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

Json validPlan() {
  return Json::parse(R"({"mark":4,
    "services":{"s1":{"databases":{"d1":{"address":"10.0.0.1:1","cap":60,"labels":["big"]},"d2":{"address":"10.0.0.2:1","cap":60}},
      "quota":{"connections":50,"branches":{"counter":{"connections":30,"order":1,"floor":2},
        "low":{"connections":20,"order":2,"branches":{"lookups":{"connections":12},"status":{"connections":8}}}}}}},
    "weights":{"fast":3},
    "machines":{"10.1.0.1:1":["old"],"10.1.0.2:1":["new","fast"]},
    "kinds":{"counter":{"service":"s1","branch":"counter","consistency":"primary","labels":["desk"]},
      "lookup":{"service":"s1","branch":"lookups","consistency":"lookups","machines":["new"],"databases":["big"]}}})");
}

bool hasFault(const Json& plan, const std::string& path) {
  PlanReader reader;
  auto read = reader.read(plan.dump());
  for (const auto& fault : reader.faults()) UNSCOPED_INFO(fault.path << ": " << fault.reason);
  return !read && std::any_of(reader.faults().begin(), reader.faults().end(), [&](const auto& fault) {
    return fault.path == path;
  });
}

}  // namespace

TEST_CASE("a valid plan is read completely") {
  auto plan = PlanReader{}.read(validPlan().dump());
  REQUIRE(plan);
  CHECK(plan->mark == PlanVersion{4});
  const auto& service = plan->services.at(ServiceName{"s1"});
  CHECK(service.branches.size() == 3);
  CHECK(service.branches.at(BranchName{"lookups"}).order == 2);
  CHECK(plan->weightOf(Address{"10.1.0.2:1"}) == 3);
  CHECK(plan->weightOf(Address{"10.1.0.1:1"}) == 1);
  CHECK(plan->kinds.at(KindName{"lookup"}).consistency == Consistency::lookups);
}

TEST_CASE("an invalid plan is rejected with the path of each fault") {
  auto broken = [](auto&& change) {
    auto plan = validPlan();
    change(plan);
    return plan;
  };
  auto& quota = "services.s1.quota";
  CHECK(hasFault(broken([](Json& plan) {
                   plan["surprise"] = 1;
                 }),
                 "surprise"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan.erase("kinds");
                 }),
                 "kinds"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["mark"] = "four";
                 }),
                 "mark"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["mark"] = 0;
                 }),
                 "mark"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["mark"] = "4";
                 }),
                 "mark"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["databases"]["d1"]["cap"] = true;
                 }),
                 "services.s1.databases.d1.cap"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["service"] = 1;
                 }),
                 "kinds.lookup.service"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["quota"]["branches"]["counter"]["connections"] = 40;
                 }),
                 std::string(quota) + ".branches"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["quota"]["branches"]["low"]["branches"]["status"]["connections"] = 9;
                 }),
                 std::string(quota) + ".branches.low.branches"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["quota"]["connections"] = 61;
                 }),
                 std::string(quota) + ".connections"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["weights"]["fast"] = 0;
                 }),
                 "weights.fast"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["databases"]["d1"]["cap"] = -1;
                 }),
                 "services.s1.databases.d1.cap"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["databases"]["d2"]["address"] = "10.0.0.1:1";
                 }),
                 "services.s1.databases.d2.address"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"]["s1"]["databases"]["d1"]["address"] = "nowhere";
                 }),
                 "services.s1.databases.d1.address"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["machines"] = {"gone"};
                 }),
                 "kinds.lookup.machines"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["databases"] = {"gone"};
                 }),
                 "kinds.lookup.databases"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["branch"] = "low";
                 }),
                 "kinds.lookup.branch"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["service"] = "s2";
                 }),
                 "kinds.lookup.service"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["counter"].erase("branch");
                 }),
                 "kinds.counter.branch"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"]["consistency"] = "soon";
                 }),
                 "kinds.lookup.consistency"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["weights"]["gone"] = 2;
                 }),
                 "weights.gone"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["services"] = 7;
                 }),
                 "services"));
}

TEST_CASE("a kind without a branch is assigned to the branch that takes its labels") {
  auto json = validPlan();
  json["kinds"]["counter"].erase("branch");
  auto& branches = json["services"]["s1"]["quota"]["branches"];
  branches["counter"]["takes"] = {"desk"};
  auto plan = PlanReader{}.read(json.dump());
  REQUIRE(plan);
  CHECK(plan->kinds.at(KindName{"counter"}).branch == BranchName{"counter"});
  branches["low"]["branches"]["status"]["takes"] = {"desk"};
  CHECK(hasFault(json, "kinds.counter.branch"));
}

TEST_CASE("text that is not one JSON object, has a duplicate key, or is too large or too deep is rejected") {
  PlanReader reader;
  CHECK_FALSE(reader.read("{\"mark\":1"));
  CHECK_FALSE(reader.read(""));
  CHECK_FALSE(reader.read("[]"));
  CHECK_FALSE(reader.read(std::string(PlanReader::maxBytes + 1, ' ')));
  auto text = validPlan().dump();
  text.insert(1, "\"mark\":5,");
  CHECK_FALSE(reader.read(text));
  std::string deep;
  for (int depth = 0; depth < 100000; ++depth) deep += "[";
  CHECK_FALSE(reader.read(deep));
  CHECK_FALSE(reader.read(deep + std::string(deep.size(), ']')));
}

TEST_CASE("shares never exceed the branch; the floor is granted first, the rest by demand") {
  PlanService service;
  service.branches[BranchName{"b"}] = PlanBranch{20, 2, 1, {}};
  WantedShares wanted;
  wanted[Address{"a:1"}][BranchName{"b"}] = 30;
  wanted[Address{"b:1"}][BranchName{"b"}] = 3;
  wanted[Address{"c:1"}][BranchName{"b"}] = 0;
  auto grants = allocateShares(service, wanted, {});
  auto given = [&](const char* node) {
    return grants[Address{node}][BranchName{"b"}];
  };
  CHECK(given("a:1") + given("b:1") + given("c:1") == 20);
  CHECK(given("c:1") == 2);
  CHECK(given("b:1") == 3);
  CHECK(given("a:1") == 15);
  wanted[Address{"b:1"}][BranchName{"b"}] = 30;
  grants = allocateShares(service, wanted, {{Address{"a:1"}, 2}});
  CHECK(given("a:1") == 12);
  CHECK(given("b:1") == 6);
  wanted.clear();
  for (int node = 0; node < 25; ++node) wanted[Address{"n" + std::to_string(node) + ":1"}][BranchName{"b"}] = 4;
  std::uint32_t sum = 0;
  for (const auto& [node, branches] : allocateShares(service, wanted, {})) sum += branches.at(BranchName{"b"});
  CHECK(sum == 20);
}

TEST_CASE("a plan is checked against the current plan and the fleet") {
  auto plan = *PlanReader{}.read(validPlan().dump());
  auto status = Json::parse(R"({"nodes":{"10.1.0.1:1":{"draining":false}},"services":{"s1":{"primary":"d9","databases":{"d1":{}}}}})");
  auto check = checkPlan(plan, plan, status);
  auto has = [](const std::vector<std::string>& lines, const std::string& part) {
    return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
      return line.find(part) != std::string::npos;
    });
  };
  CHECK(check.changes.empty());
  CHECK(has(check.errors, "kind lookup selects no machine"));
  CHECK(has(check.warnings, "10.1.0.2:1 is not in the fleet"));
  CHECK(has(check.warnings, "s1/d2 has sent no heartbeat"));
  CHECK(has(check.warnings, "s1/d9 is not in the plan"));
  auto other = validPlan();
  other["kinds"].erase("lookup");
  check = checkPlan(*PlanReader{}.read(other.dump()), plan, status);
  CHECK(has(check.changes, "removes kind lookup"));
  CHECK(has(check.errors, "held with other content"));
  other["mark"] = 3;
  CHECK(has(checkPlan(*PlanReader{}.read(other.dump()), plan, status).errors, "older"));
}

TEST_CASE("a service has either listed databases or discovery by heartbeats") {
  auto json = validPlan();
  auto& service = json["services"]["s1"];
  service["discovery"] = "heartbeats";
  CHECK(hasFault(json, "services.s1.databases"));
  service.erase("databases");
  json["kinds"]["lookup"].erase("databases");
  service["sync-replicas"] = 0;
  auto plan = PlanReader{}.read(json.dump());
  REQUIRE(plan);
  const auto& read = plan->services.at(ServiceName{"s1"});
  CHECK(read.discovered);
  CHECK_FALSE(read.keepsAcknowledgedWrites());
  CHECK(PlanReader{}.read(validPlan().dump())->services.at(ServiceName{"s1"}).keepsAcknowledgedWrites());
  json["kinds"]["lookup"]["databases"] = {"big"};
  CHECK(hasFault(json, "kinds.lookup.databases"));
  json["kinds"] = Json::object();
  CHECK(PlanReader{}.read(json.dump()));
  json["kinds"] = "";
  CHECK(hasFault(json, "kinds"));
  service.erase("discovery");
  CHECK(hasFault(json, "kinds"));
  json["kinds"] = Json::object();
  CHECK(hasFault(json, "services.s1.databases"));
  service["discovery"] = "guesses";
  CHECK(hasFault(json, "services.s1.discovery"));
}

TEST_CASE("a plan with the former value of discovery is still read") {
  auto json = validPlan();
  auto& service = json["services"]["s1"];
  service["discovery"] = "beats";
  service.erase("databases");
  json["kinds"]["lookup"].erase("databases");
  auto plan = PlanReader{}.read(json.dump());
  REQUIRE(plan);
  CHECK(plan->services.at(ServiceName{"s1"}).discovered);
}

TEST_CASE("kinds have their own bounds, order and host; a plan has limits and an annotation") {
  auto json = validPlan();
  std::string name(128, 'k');
  auto& kind = json["kinds"][name] = json["kinds"]["lookup"];
  kind.update(Json{{"staleness-ms", 700}, {"statement-ms", 800}, {"aim-ms", 200}, {"order", 2}, {"host", "records"}, {"prefix", "/"}});
  json["limits"] = {{"idle-transaction-ms", 3000}, {"message-bytes", 1ull << 40}};
  json["annotation"] = std::string(PlanReader::maxAnnotationBytes, 'x');
  auto plan = PlanReader{}.read(json.dump());
  REQUIRE(plan);
  const auto& read = plan->kinds.at(KindName{name});
  CHECK(read.stalenessBound() == 700ms);
  CHECK(plan->kinds.at(KindName{"lookup"}).stalenessBound() == 1500ms);
  CHECK(read.statementTimeout == 800ms);
  CHECK(read.targetLatency == 200ms);
  CHECK(read.order == 2);
  CHECK(read.host == "records");
  CHECK(read.prefix == "/");
  CHECK(plan->limits.at("message-bytes") == 1ull << 40);
  CHECK(plan->annotation.size() == PlanReader::maxAnnotationBytes);
  CHECK(unpacked<PlanKind>(packed(read))->stalenessBound() == 700ms);
  auto broken = [&](auto&& change) {
    auto other = json;
    change(other);
    return other;
  };
  CHECK(hasFault(broken([](Json& plan) {
                   plan["annotation"] = std::string(PlanReader::maxAnnotationBytes + 1, 'x');
                 }),
                 "annotation"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["limits"]["message-bytes"] = -1;
                 }),
                 "limits.message-bytes"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["limits"]["message-bytes"] = "many";
                 }),
                 "limits.message-bytes"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["limits"] = 3;
                 }),
                 "limits"));
  CHECK(hasFault(broken([&](Json& plan) {
                   plan["kinds"][name]["statement-ms"] = 0;
                 }),
                 "kinds." + name + ".statement-ms"));
  CHECK(hasFault(broken([&](Json& plan) {
                   plan["kinds"][name]["staleness-ms"] = "1";
                 }),
                 "kinds." + name + ".staleness-ms"));
  CHECK(hasFault(broken([](Json& plan) {
                   plan["kinds"]["lookup"].update(Json{{"host", "records"}, {"prefix", "/"}});
                 }),
                 "kinds.lookup.host") != hasFault(broken([](Json& plan) {
                                                    plan["kinds"]["lookup"].update(Json{{"host", "records"}, {"prefix", "/"}});
                                                  }),
                                                  "kinds." + name + ".host"));
  CHECK(PlanReader{}.read(broken([](Json& plan) {
                            plan["kinds"]["lookup"].update(Json{{"host", "records"}, {"prefix", "/b"}});
                          }).dump()));
  json["kinds"][name + "k"] = kind;
  CHECK(hasFault(json, "kinds." + name + "k"));
}
