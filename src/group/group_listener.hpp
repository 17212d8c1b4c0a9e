#pragma once

#include <functional>

#include "group/configuration.hpp"
#include "group/delivery.hpp"

namespace tamarindshift {

// what part of the persistent members a set of servers holds
enum class Coverage { minority, majority, all };

class GroupListener {
 public:
  virtual ~GroupListener() = default;
  virtual void regularConfiguration(const Configuration& configuration) = 0;
  virtual void transitionalConfiguration(const std::set<ServerId>& members) = 0;
  virtual void deliver(const Delivery& delivery) = 0;
  virtual void received(const std::vector<Delivery>& deliveries, std::function<void()> stable) = 0;
  virtual bool hasLeft(const ServerId& server) const = 0;
  virtual bool wantsExchange() const = 0;
  /// True while this member cannot store anything: it leaves its view, stays alone and is silent until it can again.
  virtual bool suspended() const { return false; }
  virtual Coverage coverage(const std::set<ServerId>&) const { return Coverage::majority; }
};

}  // namespace tamarindshift
