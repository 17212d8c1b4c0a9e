#include "tests/platform/standin_operator.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift::testing {

std::size_t StandinOperator::replace(const PlatformConfiguration& configuration) {
  return replaceWith(configurationJson(configuration), configuration.valid());
}

std::size_t StandinOperator::replaceWith(std::string body, bool valid) {
  auto place = history_.sent.size();
  ConfigurationSent order;
  order.body = body;
  order.configuration = parseConfiguration(body);
  order.valid = valid;
  order.sentAt = clock_.now();
  history_.sent.push_back(std::move(order));
  scope_.spawn(send(place, std::move(body)));
  return place;
}

std::optional<Address> StandinOperator::node() {
  auto nodes = nodes_();
  if (nodes.empty()) return std::nullopt;
  if (next_ == 0) next_ = 1 + world_.below(nodes.size());
  return nodes[next_++ % nodes.size()];
}

Task<void> StandinOperator::send(std::size_t place, std::string body) {
  static const std::set<int> final{400, 409, 412, 413, 422};
  ++underway_;
  Duration pause = 100ms;
  int refusals = 0;
  for (;;) {
    auto to = node();
    std::optional<WebOutcome> outcome;
    if (to) outcome = co_await web_.call(*to, "POST", "/api/Configuration.Replace", body, clock_.now() + 1s);
    auto& order = history_.sent[place];
    if (outcome && outcome->status == 200) {
      order.acknowledgedAt = clock_.now();
      order.node = *to;
      break;
    }
    bool refused = outcome && outcome->status >= 400 && outcome->status < 500 && outcome->status != 408 && outcome->status != 429;
    if (refused && (final.contains(outcome->status) || ++refusals >= 3)) {
      order.refusedAt = clock_.now();
      order.node = *to;
      break;
    }
    co_await sleep(clock_, pause);
    pause = std::min<Duration>(pause * 3 / 2, 1s);
  }
  --underway_;
}

void StandinOperator::retrieve(Duration span) {
  scope_.spawn(read(span));
}

Task<void> StandinOperator::read(Duration span) {
  ++underway_;
  auto until = clock_.now() + span;
  ConfigurationRead read;
  while (clock_.now() < until) {
    auto to = node();
    std::optional<WebOutcome> outcome;
    if (to) outcome = co_await web_.call(*to, "GET", "/api/Configuration.Retrieve", {}, clock_.now() + 1s);
    if (outcome && outcome->status == 200) {
      read.at = clock_.now();
      read.body = outcome->body;
    }
    co_await sleep(clock_, 200ms);
  }
  if (!read.body) read.at = clock_.now();
  history_.reads.push_back(std::move(read));
  --underway_;
}

}  // namespace tamarindshift::testing
