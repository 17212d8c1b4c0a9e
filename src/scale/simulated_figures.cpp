#include "scale/simulated_figures.hpp"

#include <algorithm>

#include "scale/simulated_scale.hpp"

namespace tamarindshift {

namespace {

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// what a loss costs: the longest time without an order of actions, and without a lease at a node that is not cut off itself
struct Gaps {
  double order = 0;
  double lease = 0;
  double leasedAtLeast = 1;
};

Gaps watch(SimulatedScale& scale, const std::set<std::size_t>& regions, Duration duration) {
  Gaps gaps;
  auto until = scale.now() + duration;
  auto orderedAt = scale.now();
  std::vector<Instant> leasedAt(scale.nodes().size(), scale.now());
  while (scale.now() < until) {
    scale.run(10ms);
    if (scale.orders()) orderedAt = scale.now();
    gaps.order = std::max(gaps.order, seconds(scale.now() - orderedAt));
    std::size_t here = 0;
    std::size_t leased = 0;
    for (std::size_t index = 0; index < scale.nodes().size(); ++index) {
      if (!regions.contains(scale.regionOf(index))) continue;
      ++here;
      if (scale.nodes()[index]->leased()) {
        leasedAt[index] = scale.now();
        ++leased;
      }
      gaps.lease = std::max(gaps.lease, seconds(scale.now() - leasedAt[index]));
    }
    if (here > 0) gaps.leasedAtLeast = std::min(gaps.leasedAtLeast, static_cast<double>(leased) / static_cast<double>(here));
  }
  return gaps;
}

void note(Figures& figures, const std::string& name, const Gaps& gaps) {
  figures.emplace_back(name + "_no_order_s", gaps.order);
  figures.emplace_back(name + "_no_lease_s", gaps.lease);
  figures.emplace_back(name + "_leased_at_least", gaps.leasedAtLeast);
}

}  // namespace

Figures simulatedCounts(const ScaleSettings& settings) {
  const auto& shape = settings.addresses.shape;
  SimulatedScale scale(shape, settings.seed, 0ms);
  Figures figures{
      {"started", scale.start() ? 1 : 0}, {"nodes", static_cast<double>(shape.nodes)}, {"services", static_cast<double>(shape.services())}};
  auto nodes = scale.nodeTraffic();
  auto replicas = scale.replicaTraffic();
  std::vector<Traffic> before;
  for (const auto& node : scale.nodes()) before.push_back(node->traffic());
  scale.run(settings.window);
  Flow most;
  for (std::size_t index = 0; index < before.size(); ++index) {
    auto own = scale.nodes()[index]->traffic() - before[index];
    auto out = Traffic::sum(own.out, "agent/");
    out += Traffic::sum(own.out, "replica/");
    if (out.bytes > most.bytes) most = out;
  }
  figures.emplace_back("most_node_out_messages_s", static_cast<double>(most.messages) / seconds(settings.window));
  figures.emplace_back("most_node_out_bytes_s", static_cast<double>(most.bytes) / seconds(settings.window));
  nodes = scale.nodeTraffic() - nodes;
  replicas = scale.replicaTraffic() - replicas;
  auto add = [&](const std::string& prefix, const std::map<std::string, Flow>& flows, std::size_t members) {
    auto share = seconds(settings.window) * static_cast<double>(members);
    for (const auto& [name, flow] : flows) {
      figures.emplace_back(prefix + name + "_messages_s", static_cast<double>(flow.messages) / share);
      figures.emplace_back(prefix + name + "_bytes_s", static_cast<double>(flow.bytes) / share);
    }
  };
  add("node_out/", nodes.out, shape.nodes);
  add("node_in/", nodes.in, shape.nodes);
  add("replica_out/", replicas.out, shape.replicas);
  add("replica_in/", replicas.in, shape.replicas);
  return figures;
}

Figures simulatedLosses(const ScaleSettings& settings) {
  const auto& shape = settings.addresses.shape;
  std::set<std::size_t> all;
  for (std::size_t region = 0; region < shape.regions; ++region) all.insert(region);
  Figures figures;
  auto fresh = [&] {
    auto scale = std::make_unique<SimulatedScale>(shape, settings.seed, settings.betweenRegions);
    figures.emplace_back("started", scale->start() ? 1 : 0);
    return scale;
  };
  {
    auto scale = fresh();
    auto asked = scale->now();
    scale->sendPlan(2);
    auto heldAt = scale->now();
    figures.emplace_back("plan_held_s", seconds(heldAt - asked));
    std::vector<double> last(shape.regions, 0);
    for (std::size_t region = 0; region < shape.regions; ++region) {
      scale->runUntil(
          [&] {
            for (std::size_t index = 0; index < scale->nodes().size(); ++index)
              if (scale->regionOf(index) == region && !scale->nodes()[index]->follows(PlanVersion{2})) return false;
            return true;
          },
          12s);
      figures.emplace_back("plan_followed_region_" + std::to_string(region + 1) + "_by_s", seconds(scale->now() - heldAt));
    }
    scale->crashDatabase(1, 1);
    auto crashedAt = scale->now();
    for (std::size_t region = 0; region < shape.regions; ++region) {
      scale->runUntil(
          [&] {
            for (std::size_t index = 0; index < scale->nodes().size(); ++index)
              if (scale->regionOf(index) == region && !scale->nodes()[index]->servedUnder(ServiceName{"s1"}, Epoch{2})) return false;
            return true;
          },
          20s);
      figures.emplace_back("primary_served_region_" + std::to_string(region + 1) + "_by_s", seconds(scale->now() - crashedAt));
    }
  }
  auto killed = [&](const std::string& name, const std::vector<std::size_t>& replicas) {
    auto scale = fresh();
    for (auto index : replicas) scale->killReplica(index);
    note(figures, name, watch(*scale, all, 10s));
  };
  auto where = [&](auto&& wanted) {
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < shape.replicas; ++index)
      if (wanted(index % shape.zones)) found.push_back(index);
    return found;
  };
  killed("rack", {0});
  killed("zone", where([](std::size_t zone) {
           return zone == 0;
         }));
  killed("region", where([&](std::size_t zone) {
           return shape.regionOfZone(zone) == 0;
         }));
  if (shape.regions >= 3) {
    {
      auto scale = fresh();
      for (std::size_t other = 1; other < shape.regions; ++other) scale->cutRegions(0, other, true);
      std::set<std::size_t> rest = all;
      rest.erase(0);
      note(figures, "region_cut_off", watch(*scale, rest, 15s));
      figures.emplace_back("region_cut_off_leased_inside", static_cast<double>(scale->leased(0)));
      for (std::size_t other = 1; other < shape.regions; ++other) scale->cutRegions(0, other, false);
      note(figures, "region_back", watch(*scale, rest, 10s));
      figures.emplace_back("region_back_leased_inside", static_cast<double>(scale->leased(0)));
    }
    auto scale = fresh();
    scale->cutRegions(0, 1, true);
    note(figures, "regions_cut_between", watch(*scale, all, 20s));
    scale->cutRegions(0, 1, false);
    note(figures, "regions_cut_back", watch(*scale, all, 10s));
    figures.emplace_back("regions_cut_back_leased", static_cast<double>(scale->leased()) / static_cast<double>(shape.nodes));
  }
  return figures;
}

}  // namespace tamarindshift
