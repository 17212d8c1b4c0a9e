#pragma once

#include <functional>

#include "group/configuration.hpp"
#include "group/delivery.hpp"

namespace tamarindshift {

/// Which part of the group's persistent members a set of servers contains.
enum class Coverage { minority, majority, all };

/// Receives the events of a `Group` and answers its questions. All calls come one at a time, in the order of the events.
class GroupListener {
 public:
  virtual ~GroupListener() = default;
  virtual void regularConfiguration(const Configuration& configuration) = 0;
  /// The old view ends. `members` come from it together; what is delivered up to the next regular configuration was
  /// received by them all, but perhaps not by the other members of the old view.
  virtual void transitionalConfiguration(const std::set<ServerId>& members) = 0;
  /// Called in the order of the view, once a message is safe or, after a transitional configuration, held by its members.
  virtual void deliver(const Delivery& delivery) = 0;
  /// Called on receipt, before delivery. The listener calls `stable` once the messages may be acknowledged, for durable ones
  /// when they are on its disk.
  virtual void received(const std::vector<Delivery>& deliveries, std::function<void()> stable) = 0;
  /// Whether `server` was removed from the group for good.
  virtual bool hasLeft(const ServerId& server) const = 0;
  /// Whether a new view is wanted although the members stay the same, so that they exchange their states again.
  virtual bool wantsExchange() const = 0;
  /// True while this member cannot store anything: it leaves its view, stays alone and sends nothing until it can again.
  virtual bool suspended() const { return false; }
  virtual Coverage coverage(const std::set<ServerId>&) const { return Coverage::majority; }
};

}  // namespace tamarindshift
