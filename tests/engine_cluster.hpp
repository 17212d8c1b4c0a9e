#pragma once

#include <map>
#include <memory>

#include "engine/core.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"

namespace tamarindshift::testing {

struct QuietJournal : Journal {
  explicit QuietJournal(std::function<void(const std::string&)> sink) : sink(std::move(sink)) {}
  void line(const std::string& text) override { sink(text); }
  std::function<void(const std::string&)> sink;
};

class EngineCluster;

struct ObservedApplication : Application {
  ObservedApplication(EngineCluster& cluster, std::size_t index) : cluster(cluster), index(index) {}
  EngineCluster& cluster;
  std::size_t index;
  std::vector<std::string> applied;
  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override { return packed(applied); }
  bool restore(const std::string& snapshot) override;
};

class EngineCluster {
 public:
  struct Node {
    SimulatedDisk disk;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<QuietJournal> journal;
    std::unique_ptr<SimulatedLink> link;
    std::unique_ptr<SimulatedStore> store;
    std::unique_ptr<ObservedApplication> application;
    std::unique_ptr<Core> core;
  };

  EngineCluster(std::size_t size, std::uint64_t seed);
  ~EngineCluster();
  void start(std::size_t index);
  void kill(std::size_t index);
  bool up(std::size_t index) const { return nodes[index]->core != nullptr; }
  void submit(std::size_t index);
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  std::string host(std::size_t index) const { return "10.0.0." + std::to_string(index + 1); }
  std::size_t inPrimary() const;
  void observe(std::size_t index, std::uint64_t position, const std::string& update);
  void judge();
  void note(const std::string& text);

  std::function<std::unique_ptr<SimulatedStore>(Clock&, SimulatedDisk&)> makeStore;
  World world;
  SimulatedNetwork network;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::uint64_t, std::string> order;
  std::map<std::string, std::uint64_t> acknowledged;
  std::vector<std::string> faults;
  std::vector<std::string> lines;
  std::uint64_t submitted = 0;
  EngineBounds bounds;

 private:
  Task<void> submitAndWait(std::size_t index, std::string update);
  std::vector<std::unique_ptr<TaskScope>> scopes_;
};

}  // namespace tamarindshift::testing
