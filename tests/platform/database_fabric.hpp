#pragma once

#include <functional>

#include "base/address.hpp"
#include "base/time.hpp"
#include "simulated/world.hpp"

namespace tamarindshift::testing {

/// What lies between the databases of a service: the network that they replicate over, time and chance. One side is
/// simulated, the other runs in a process with real sockets.
class DatabaseFabric {
 public:
  virtual ~DatabaseFabric() = default;
  virtual World& chance() = 0;
  virtual Instant now() const = 0;
  virtual void later(Duration delay, std::function<void()> act) = 0;
  virtual Duration latency() const = 0;
  virtual bool reaches(const Address& from, const Address& to) const = 0;
};

}  // namespace tamarindshift::testing
