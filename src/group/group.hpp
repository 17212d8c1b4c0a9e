#pragma once

#include <optional>
#include <string>

#include "base/time.hpp"
#include "group/group_listener.hpp"

namespace tamarindshift {

/// Group communication as the replication engine needs it: totally ordered multicast with safe delivery within views, and
/// view changes with the guarantees of Extended Virtual Synchrony.
class Group {
 public:
  virtual ~Group() = default;
  /// Starts to take part in views. `listener` must outlive the group.
  virtual void join(GroupListener& listener) = 0;
  /// Sends `payload` to all members of `view`; dropped if `view` is not the current one or is about to change. With
  /// `durable`, members store it before they acknowledge it.
  virtual void multicast(const ViewId& view, std::string payload, bool durable) = 0;
  /// The latest instant, on this member's clock, at which every member of the current view was certainly still in it, where
  /// everything that was safe at one of them is delivered here too. No value while the view changes or before every
  /// other member has echoed a heartbeat.
  virtual std::optional<Instant> viewConfirmedAt() const = 0;
  /// Servers whose heartbeats arrive and that do not take part in views yet.
  virtual std::set<ServerId> unjoinedServers() const = 0;
};

}  // namespace tamarindshift
