#include <fstream>
#include <iostream>
#include <iterator>

#include <nlohmann/json.hpp>

#include "base/setting_kinds.hpp"
#include "control/plan_check.hpp"
#include "control/plan_reader.hpp"
#include "real/daemon.hpp"

using namespace tamarindshift;

namespace {

constexpr int fits = 0;
constexpr int broken = 1;
constexpr int doesNotFit = 3;
constexpr int noFleet = 4;

Task<void> check(Daemon& daemon, Address replica, Plan plan, std::optional<int>& code) {
  auto deadline = daemon.clock.now() + 3s;
  auto status = co_await daemon.web.call(replica, "GET", "/status", {}, deadline);
  auto held = co_await daemon.web.call(replica, "GET", "/plan", {}, deadline);
  if (!status || status->status != 200 || !held) {
    std::cout << "no status from " << replica.get() << "\n";
    code = noFleet;
    co_return;
  }
  std::optional<Plan> now;
  if (held->status == 200) now = PlanReader{}.read(held->body);
  PlanCheck result = checkPlan(plan, now, nlohmann::json::parse(status->body, nullptr, false));
  for (const auto& line : result.changes) std::cout << "changes: " << line << "\n";
  for (const auto& line : result.warnings) std::cout << "warning: " << line << "\n";
  for (const auto& line : result.errors) std::cout << "does not fit: " << line << "\n";
  if (result.errors.empty()) std::cout << (result.changes.empty() ? "changes nothing\n" : "fits\n");
  code = result.errors.empty() ? fits : doesNotFit;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  Address replica;
  std::string file;
  Program program("plancheck",
                  "checks a plan against the fleet as it is; exits 0 if it fits, 1 if the plan is broken, 2 on wrong use, 3 if it does not "
                  "fit, 4 without a fleet");
  program.add(
      optionalAddressSetting("replica", "address of a replica's operator API; without it only the plan itself is checked", replica));
  program.add(textSetting("plan", "file with the plan", file, true));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return complain("plancheck", "cannot read " + file);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  PlanReader reader;
  auto plan = reader.read(text);
  for (const auto& fault : reader.faults())
    std::cout << "broken: " << (fault.path.empty() ? "the plan" : fault.path) << ": " << fault.reason << "\n";
  if (!plan) return broken;
  if (replica.get().empty()) {
    std::cout << "sound\n";
    return fits;
  }
  Daemon daemon("plancheck");
  std::optional<int> code;
  TaskScope scope;
  scope.spawn(check(daemon, replica, *plan, code));
  while (!code && daemon.context.run_one() > 0) {
  }
  return code.value_or(noFleet);
}
