#include "tests/platform/standin_entry.hpp"

#include <algorithm>

namespace tamarindshift::testing {

void StandinEntry::add(AccessPoint point) {
  auto node = std::make_shared<Node>();
  node->point = std::move(point);
  nodes_.push_back(node);
  scope_.spawn(probe(node));
}

void StandinEntry::remove(const Address& front) {
  for (auto& node : nodes_)
    if (node->point.front == front) node->removed = true;
  std::erase_if(nodes_, [](const auto& node) {
    return node->removed;
  });
}

Task<void> StandinEntry::probe(std::shared_ptr<Node> node) {
  while (!node->removed) {
    auto began = clock_.now();
    auto answer = co_await web_.call(node->point.readiness, "GET", "/api/readiness", {}, began + 1s);
    if (answer && answer->status == 200)
      node->misses = 0;
    else
      ++node->misses;
    auto rest = began + 1s - clock_.now();
    if (rest > Duration::zero()) co_await sleep(clock_, rest);
  }
}

bool StandinEntry::ready(const Address& front) const {
  return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node->point.front == front && node->misses < 2;
  });
}

std::vector<Address> StandinEntry::readyFronts() const {
  std::vector<Address> ready;
  for (const auto& node : nodes_)
    if (node->misses < 2) ready.push_back(node->point.front);
  return ready;
}

std::vector<Address> StandinEntry::fronts(const std::string& zone, bool own) const {
  std::vector<Address> in;
  std::vector<Address> all;
  for (const auto& node : nodes_) {
    if ((node->point.zone == zone) != own) continue;
    all.push_back(node->point.front);
    if (node->misses < 2) in.push_back(node->point.front);
  }
  if (own && !in.empty() && in.size() * 2 < all.size()) return all;
  return in;
}

std::optional<Address> StandinEntry::choose(const std::string& zone, std::uint64_t client, std::uint64_t attempt) const {
  auto found = fronts(zone, true);
  if (found.empty()) found = fronts(zone, false);
  if (found.empty())
    for (const auto& node : nodes_) found.push_back(node->point.front);
  if (found.empty()) return std::nullopt;
  return found[(client * 0x9e3779b97f4a7c15ull / 7 + attempt) % found.size()];
}

}  // namespace tamarindshift::testing
