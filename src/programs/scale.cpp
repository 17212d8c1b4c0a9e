#include <algorithm>
#include <filesystem>
#include <iostream>

#include "runner/scale_runner.hpp"
#include "scale/hollow_databases.hpp"
#include "scale/hollow_host.hpp"
#include "scale/light_host.hpp"
#include "scale/link_pieces.hpp"
#include "scale/pieces.hpp"
#include "scale/simulated_figures.hpp"

using namespace tamarindshift;

namespace {

template <class Host>
int runHost(const ScaleSettings& settings) {
  Daemon daemon("scale");
  Host host(daemon, settings);
  if (auto fault = host.start()) return complain("scale", *fault);
  bool stopping = false;
  return daemon.run(
      [&] {
        stopping = true;
      },
      [] {},
      [&]() -> std::optional<int> {
        return stopping ? std::optional{0} : std::nullopt;
      });
}

int write(const ScaleSettings& settings, const Figures& figures) {
  if (writeRow(settings.output, settings.title, figures)) return 0;
  return complain("scale", "cannot append to " + settings.output + ", or its columns are others");
}

int runPieces(const ScaleSettings& settings) {
  auto figures = measurePieces(settings.addresses.shape);
  auto report = std::find_if(figures.begin(), figures.end(), [](const auto& each) {
    return each.first == "report_bytes";
  });
  for (auto& each : measureLinkPieces(settings, static_cast<std::size_t>(report->second))) figures.push_back(std::move(each));
  return write(settings, figures);
}

int runPoint(const ScaleSettings& settings) {
  Daemon daemon("scale");
  auto binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  auto runner = std::make_unique<ScaleRunner>(daemon, settings, binaries);
  bool stopping = false;
  TaskScope scope;
  scope.spawn(runner->run());
  return daemon.run(
      [&] {
        stopping = true;
      },
      [] {},
      [&]() -> std::optional<int> {
        if (!runner->ended() && !stopping) return std::nullopt;
        auto faults = runner->faults();
        if (stopping) faults.push_back("stopped before the end");
        for (const auto& fault : faults) std::cout << "fault: " << fault << "\n";
        auto figures = runner->figures();
        scope.clear();
        runner.reset();
        if (stopping || !faults.empty()) return 1;
        auto missed = std::any_of(figures.begin(), figures.end(), [](const auto& each) {
          return each.second < 0 || (each.first == "started" && each.second == 0);
        });
        return std::max(write(settings, figures), missed ? 3 : 0);
      });
}

}  // namespace

int main(int argumentCount, char** arguments) {
  ScaleSettings settings;
  Program program("scale", "measures what the control plane costs at a size, with hollow nodes beside a few real ones");
  program.add(scaleSettings(settings));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  settings.addresses.shape.connections = static_cast<std::uint32_t>(settings.connections);
  const auto& part = settings.part;
  if (part == "nodes") return runHost<HollowHost>(settings);
  if (part == "zone") return runHost<LightHost>(settings);
  if (part == "databases") return runHost<HollowDatabases>(settings);
  if (part == "pieces") return runPieces(settings);
  if (part == "counts") return write(settings, simulatedCounts(settings));
  if (part == "losses") return write(settings, simulatedLosses(settings));
  if (part == "run" || part == "clients") return runPoint(settings);
  return complain("scale", "no such part: " + part);
}
