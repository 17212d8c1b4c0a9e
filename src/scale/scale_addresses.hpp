#pragma once

#include "scale/scale_shape.hpp"
#include "simulated/standin_database.hpp"

namespace tamarindshift {

// addresses of a scale run under one prefix such as 127.77, one host for each machine
struct ScaleAddresses {
  std::string prefix;
  ScaleShape shape;

  Address replica(std::size_t index) const { return at(1, index + 1, 7001); }
  Address replicaDoor(std::size_t index) const { return at(1, index + 1, 7002); }
  Address agent(std::size_t index) const { return node(index, 7001); }
  Address agentDoor(std::size_t index) const { return node(index, 7002); }
  Address proxy(std::size_t index) const { return node(index, 7003); }
  Address proxyDoor(std::size_t index) const { return node(index, 7004); }
  Address database(std::size_t service, std::size_t number) const { return at(100 + service / 200, service % 200 + 1, 7100 + number); }
  Address platform() const { return at(2, 1, 7001); }
  Address host(std::size_t index) const { return at(3, index + 1, 7001); }

  std::set<Address> seeds() const {
    std::set<Address> seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, shape.replicas); ++index) seeds.insert(replica(index));
    return seeds;
  }
  bool isReplica(const Address& address) const { return address.get().starts_with(prefix + ".1."); }

  std::vector<StandinDatabaseSettings> databases() const {
    std::vector<StandinDatabaseSettings> all;
    for (std::size_t service = 1; service <= shape.services(); ++service)
      for (std::size_t number = 1; number <= shape.databasesPerService; ++number) {
        StandinDatabaseSettings own;
        own.service = ServiceName{numbered("s", service)};
        own.name = DatabaseName{numbered("d", number)};
        own.address = database(service, number);
        own.platform = platform();
        own.cap = shape.connections + 20;
        own.primary = number == 1;
        own.heartbeatsTo = {replicaDoor((service + number) % shape.replicas), agentDoor((service * 7 + number) % shape.nodes),
                            agentDoor((service * 7 + number + 1) % shape.nodes)};
        all.push_back(std::move(own));
      }
    return all;
  }

 private:
  Address node(std::size_t index, int port) const { return at(10 + index % shape.zones, index / shape.zones + 1, port); }
  Address at(std::size_t third, std::size_t fourth, std::size_t port) const {
    return Address{numbered(numbered(numbered(prefix + ".", third).append("."), fourth).append(":"), port)};
  }
};

}  // namespace tamarindshift
