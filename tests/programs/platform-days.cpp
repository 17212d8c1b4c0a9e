#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <tclap/CmdLine.h>

#include "tests/platform/adapter_programs.hpp"
#include "tests/platform/platform_day_generator.hpp"
#include "tests/platform/platform_script.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

std::optional<std::string> read(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argumentCount, char** arguments) {
  TCLAP::CmdLine command("runs days on the users' platform with the adapter's programs on simulated time", ' ', "0.1");
  TCLAP::ValueArg<std::uint64_t> first("", "seed", "first seed", false, 1, "number", command);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "how many seeds", false, 1, "number", command);
  TCLAP::SwitchArg lines("", "lines", "print the lines of all processes", command);
  TCLAP::SwitchArg summary("", "summary", "print what was served", command);
  TCLAP::SwitchArg generated("", "generated", "run a day made of each seed", command);
  TCLAP::SwitchArg rejoins("", "rejoins", "generated days are troubles of access nodes upon changes of primary", command);
  TCLAP::SwitchArg print("", "print", "print the days that would run", command);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "days as text", false, "path", command);
  command.parse(argumentCount, arguments);
  auto paths = files.getValue();
  if (paths.empty() != generated.getValue()) {
    std::cerr << "platform-days: name files, or --generated\n";
    return 2;
  }
  if (paths.empty()) paths = {rejoins.getValue() ? "generated rejoins" : "generated"};
  std::size_t passed = 0;
  std::size_t failed = 0;
  for (const auto& path : paths)
    for (auto seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
      PlatformDayGenerator generator(seed);
      auto text = !generated.getValue() ? read(path) : std::optional{rejoins.getValue() ? generator.rejoinDay() : generator.day()};
      std::istringstream stream(text.value_or(""));
      PlatformScript script;
      if (!text || !script.read(stream)) {
        std::cerr << path << ": " << (text ? script.lastReason() : "cannot be read") << "\n";
        return 2;
      }
      if (print.getValue()) {
        std::cout << *text;
        continue;
      }
      auto faults = script.run(seed, [](PlatformProcess& process) {
        return adapterProgram(process);
      });
      ++(faults.empty() ? passed : failed);
      if (lines.getValue())
        for (const auto& line : script.lines()) std::cout << line << "\n";
      if (summary.getValue()) std::cout << path << " seed " << seed << ": " << script.summary() << "\n";
      if (!faults.empty()) std::cout << path << " seed " << seed << " failed\n";
      for (const auto& fault : faults) std::cout << "  " << fault << "\n";
    }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
