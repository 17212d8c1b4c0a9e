#pragma once

#include <vector>

#include "base/address.hpp"
#include "news/news_table.hpp"

namespace tamarindshift {

// which agents of a zone follow replicas, and which of them another agent follows
class ZoneHomes {
 public:
  ZoneHomes() = default;
  // agents of the zone in their agreed order
  explicit ZoneHomes(std::vector<Address> agents) : agents_(std::move(agents)) {}
  const std::vector<Address>& agents() const { return agents_; }
  bool home(const Address& agent) const;
  // the homes of a topic that an agent follows, first the one that is to be asked first; none at the topic's home
  std::vector<Address> of(const Topic& topic, const Address& follower) const;
  static std::size_t spread(const std::string& text);

 private:
  static constexpr std::size_t homesInGroup = 2;
  static constexpr std::size_t agentsInGroup = 24;
  std::size_t groups() const { return (agents_.size() + agentsInGroup - 1) / agentsInGroup; }
  std::vector<Address> agents_;
};

}  // namespace tamarindshift
