#include "updates/zone_relays.hpp"

#include <algorithm>

namespace tamarindshift {

std::size_t ZoneRelays::hash(const std::string& text) {
  std::size_t sum = 0;
  for (unsigned char letter : text) sum = sum * 31 + letter;
  return sum;
}

bool ZoneRelays::isRelay(const Address& agent) const {
  auto relaysEnd = agents_.begin() + static_cast<std::ptrdiff_t>(std::min(agents_.size(), groupCount() * relaysPerGroup));
  return std::find(agents_.begin(), relaysEnd, agent) != relaysEnd;
}

std::vector<Address> ZoneRelays::relaysFor(const Topic& topic, const Address& follower) const {
  std::vector<Address> sources;
  auto self = std::find(agents_.begin(), agents_.end(), follower);
  if (self == agents_.end()) return sources;
  auto index = static_cast<std::size_t>(self - agents_.begin());
  auto group = index < groupCount() * relaysPerGroup ? index / relaysPerGroup : hash(follower.get()) % groupCount();
  auto first = group * relaysPerGroup;
  auto relays = std::min(relaysPerGroup, agents_.size() - first);
  auto topicRelay = hash(topic) % relays;
  for (std::size_t next = 0; next < relays; ++next) {
    const auto& agent = agents_[first + (topicRelay + next) % relays];
    if (agent == follower) break;
    sources.push_back(agent);
  }
  return sources;
}

}  // namespace tamarindshift
