#include "scale/scale_settings.hpp"

namespace tamarindshift {

std::vector<Setting> scaleSettings(ScaleSettings& settings) {
  auto& shape = settings.addresses.shape;
  return {
      textSetting("part", "run, pieces, counts, losses or clients; nodes and databases are started by run", settings.part, false),
      textSetting("prefix", "first half of all loopback addresses, such as 127.77", settings.addresses.prefix, false),
      textSetting("folder", "folder for logs and data, emptied first", settings.folder, false),
      textSetting("output", "file that rows are appended to; else they are printed", settings.output, false),
      textSetting("title", "first column of a row", settings.title, false),
      numberSetting("replicas", "replicas", shape.replicas, 1, 9),
      numberSetting("nodes", "access machines", shape.nodes, 2, 1000),
      numberSetting("databases", "databases", shape.databases, 3, 2000),
      numberSetting("databases-per-service", "databases of each service", shape.databasesPerService, 1, 9),
      numberSetting("connections", "connections of a service at each of its databases", settings.connections, 1, 10000),
      numberSetting("zones", "zones", shape.zones, 1, 20),
      numberSetting("regions", "regions", shape.regions, 1, 6),
      numberSetting("real", "access machines that are real processes", settings.real, 0, 20),
      numberSetting("each", "hollow nodes in one process", settings.each, 1, 100),
      durationSetting("window", "time that is measured", settings.window, 100ms, 600s),
      durationSetting("patience", "longest wait for the start", settings.patience, 1s, 600s),
      durationSetting("settle", "time between the start and the window", settings.settle, 0ms, 600s),
      durationSetting("between-regions", "one way between regions, simulated", settings.betweenRegions, 0ms, 1s),
      flagSetting("events", "after the window: a plan, a change of primary, a join, a restart", settings.events),
      flagSetting("light", "light nodes instead of hollow ones: only what replicas and the real nodes see of them", settings.light),
      numberSetting("seed", "seed of simulated parts", settings.seed, 1, 1000000000),
      numberSetting("sessions", "most client connections, for clients", settings.sessions, 100, 8000),
      numberSetting("first", "first node or service of this process", settings.first, 0, 10000),
      numberSetting("count", "nodes or services of this process", settings.count, 0, 10000),
      optionalAddressSetting("control", "address that a hollow process is asked at", settings.control),
  };
}

}  // namespace tamarindshift
