#include <iostream>

#include "base/setting_kinds.hpp"
#include "real/daemon.hpp"
#include "simulated/deployment.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  std::set<Address> proxies;
  std::string deployment = "small";
  std::size_t seconds = 10;
  std::size_t seed = 1;
  Program program("standin-callers", "stands in for clients that open sessions and send statements");
  program.add(addressesSetting("proxies", "addresses of proxies", proxies));
  program.add(textSetting("deployment", "whose mix of callers: small, fes or croatia", deployment, false));
  program.add(numberSetting("seconds", "how long they call", seconds, 1, 86400));
  program.add(numberSetting("seed", "seed", seed, 1, 1000000000));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  auto shape = deploymentNamed(deployment);
  if (!shape) return complain("standin-callers", "unknown deployment " + deployment);
  if (proxies.empty()) return complain("standin-callers", "missing setting proxies");

  Daemon daemon("standin-callers");
  StandinCallersSettings settings{{proxies.begin(), proxies.end()}, 1, shape->callers, seed, 15s};
  StandinCallers callers(daemon.clock, daemon.web, daemon.journal, settings);
  auto end = daemon.clock.now() + std::chrono::seconds{seconds};
  return daemon.run(
      [&] {
        callers.stop();
      },
      [] {},
      [&]() -> std::optional<int> {
        if (daemon.clock.now() >= end) callers.stop();
        if (callers.running() > 0) return std::nullopt;
        for (const auto& [name, value] : daemon.journal.counters()) std::cout << name << "=" << value << "\n";
        for (const auto& fault : callers.faults()) std::cout << "fault: " << fault << "\n";
        return callers.faults().empty() ? 0 : 1;
      });
}
