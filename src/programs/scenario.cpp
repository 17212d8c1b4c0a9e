#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "simulated/day_generator.hpp"
#include "simulated/scenario.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  TCLAP::CmdLine command("runs scenario files on simulated time", ' ', "0.1");
  TCLAP::ValueArg<std::uint64_t> first("", "seed", "first seed", false, 1, "number", command);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "how many seeds", false, 1, "number", command);
  TCLAP::SwitchArg lines("", "lines", "print the lines of all processes", command);
  TCLAP::SwitchArg summary("", "summary", "print outcomes and counters", command);
  TCLAP::ValueArg<std::string> deployment("", "days", "run whole days made of each seed: small, fes or croatia", false, "", "deployment",
                                          command);
  TCLAP::SwitchArg print("", "print", "print the days instead of running them", command);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "scenario files", false, "path", command);
  command.parse(argumentCount, arguments);
  auto paths = files.getValue();
  if (paths.empty() == deployment.getValue().empty()) {
    std::cerr << "scenario: name files, or --days with a deployment\n";
    return 2;
  }
  if (paths.empty()) paths = {"day of " + deployment.getValue()};
  std::size_t passed = 0;
  std::size_t failed = 0;
  for (const auto& file : paths) {
    for (auto seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
      Scenario scenario;
      std::istringstream day(deployment.getValue().empty() ? "" : DayGenerator(seed, deployment.getValue()).day());
      if (print.getValue()) {
        std::cout << day.str();
        continue;
      }
      if (!(deployment.getValue().empty() ? scenario.load(file) : scenario.read(day, file))) {
        std::cerr << scenario.lastReason() << "\n";
        return 2;
      }
      bool held = scenario.run(seed);
      ++(held ? passed : failed);
      if (lines.getValue())
        for (const auto& line : scenario.lines()) std::cout << line << "\n";
      if (summary.getValue()) std::cout << scenario.summary();
      if (held) continue;
      std::cout << file << " seed " << seed << " failed " << scenario.lastReason() << "\n";
      for (const auto& fault : scenario.faults()) std::cout << "  " << fault << "\n";
    }
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
