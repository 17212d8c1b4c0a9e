#include <iostream>

#include <tclap/CmdLine.h>

#include "simulated/scenario.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  TCLAP::CmdLine command("runs scenario files on simulated time", ' ', "0.1");
  TCLAP::ValueArg<std::uint64_t> first("", "seed", "first seed", false, 1, "number", command);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "how many seeds", false, 1, "number", command);
  TCLAP::SwitchArg lines("", "lines", "print the lines of all processes", command);
  TCLAP::SwitchArg summary("", "summary", "print outcomes and counters", command);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "scenario files", true, "path", command);
  command.parse(argumentCount, arguments);
  std::size_t passed = 0;
  std::size_t failed = 0;
  for (const auto& file : files.getValue()) {
    for (auto seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
      Scenario scenario;
      if (!scenario.load(file)) {
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
