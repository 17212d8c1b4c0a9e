#pragma once

#include <vector>

#include "base/address.hpp"
#include "updates/topic_table.hpp"

namespace tamarindshift {

// which agents of a zone follow replicas, and which of them another agent follows
class ZoneRelays {
 public:
  ZoneRelays() = default;
  // agents of the zone in their agreed order
  explicit ZoneRelays(std::vector<Address> agents) : agents_(std::move(agents)) {}
  const std::vector<Address>& agents() const { return agents_; }
  bool isRelay(const Address& agent) const;
  // the homes of a topic that an agent follows, first the one that is to be asked first; none at the topic's home
  std::vector<Address> relaysFor(const Topic& topic, const Address& follower) const;
  static std::size_t hash(const std::string& text);

 private:
  static constexpr std::size_t homesInGroup = 2;
  static constexpr std::size_t agentsInGroup = 24;
  std::size_t groups() const { return (agents_.size() + agentsInGroup - 1) / agentsInGroup; }
  std::vector<Address> agents_;
};

}  // namespace tamarindshift
