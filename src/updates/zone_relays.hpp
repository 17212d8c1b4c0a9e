// Spreads the updates of replicas over a zone: a few agents follow replicas, and the others follow those agents.
#pragma once

#include <vector>

#include "base/address.hpp"
#include "updates/topic_table.hpp"

namespace tamarindshift {

/// Which agents of a zone are relays, and which relays another agent follows.
///
/// The zone has two relays for each 24 agents, the first ones in the agreed order. The relays of a group share its topics: each topic
/// is followed at a replica by one of them, and by everyone else in the group at that one.
class ZoneRelays {
 public:
  ZoneRelays() = default;
  /// The agents of the zone, in an order that all of them agree on.
  explicit ZoneRelays(std::vector<Address> agents) : agents_(std::move(agents)) {}
  const std::vector<Address>& agents() const { return agents_; }
  bool isRelay(const Address& agent) const;
  /// The relays at which `follower` follows a topic, the preferred one first. Empty for the relay that follows the topic at a
  /// replica, and for an agent that is not in the zone's list.
  std::vector<Address> relaysFor(const Topic& topic, const Address& follower) const;
  /// A hash that is the same in every process.
  static std::size_t hash(const std::string& text);

 private:
  static constexpr std::size_t relaysPerGroup = 2;
  static constexpr std::size_t agentsPerGroup = 24;
  std::size_t groupCount() const { return (agents_.size() + agentsPerGroup - 1) / agentsPerGroup; }
  std::vector<Address> agents_;
};

}  // namespace tamarindshift
