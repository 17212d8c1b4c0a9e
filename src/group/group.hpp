#pragma once

#include <optional>
#include <string>

#include "base/time.hpp"
#include "group/group_listener.hpp"

namespace tamarindshift {

class Group {
 public:
  virtual ~Group() = default;
  virtual void join(GroupListener& listener) = 0;
  virtual void multicast(const ViewId& view, std::string payload, bool durable) = 0;
  virtual std::optional<Instant> viewConfirmedAt() const = 0;
  virtual std::set<ServerId> unjoinedServers() const = 0;
};

}  // namespace tamarindshift
