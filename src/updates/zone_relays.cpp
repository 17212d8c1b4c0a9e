#include "updates/zone_relays.hpp"

#include <algorithm>

namespace tamarindshift {

std::size_t ZoneRelays::hash(const std::string& text) {
  std::size_t sum = 0;
  for (unsigned char letter : text) sum = sum * 31 + letter;
  return sum;
}

bool ZoneRelays::isRelay(const Address& agent) const {
  auto homes = agents_.begin() + static_cast<std::ptrdiff_t>(std::min(agents_.size(), groups() * homesInGroup));
  return std::find(agents_.begin(), homes, agent) != homes;
}

std::vector<Address> ZoneRelays::relaysFor(const Topic& topic, const Address& follower) const {
  std::vector<Address> sources;
  auto self = std::find(agents_.begin(), agents_.end(), follower);
  if (self == agents_.end()) return sources;
  auto place = static_cast<std::size_t>(self - agents_.begin());
  auto group = place < groups() * homesInGroup ? place / homesInGroup : hash(follower.get()) % groups();
  auto first = group * homesInGroup;
  auto homes = std::min(homesInGroup, agents_.size() - first);
  auto home = hash(topic) % homes;
  for (std::size_t next = 0; next < homes; ++next) {
    const auto& agent = agents_[first + (home + next) % homes];
    if (agent == follower) break;
    sources.push_back(agent);
  }
  return sources;
}

}  // namespace tamarindshift
