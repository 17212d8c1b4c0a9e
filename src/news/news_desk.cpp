#include "news/news_desk.hpp"

#include <algorithm>

namespace tamarindshift {

NewsDesk::NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait)
    : clock_(clock), board_(board), source_(source), wait_(wait) {
  desk.serve("follow", [this](Address, std::string body) { return follow(std::move(body)); });
}

bool NewsDesk::nothingNew(const FollowAsk& ask) const {
  return std::all_of(ask.have.begin(), ask.have.end(), [&](const auto& each) {
    const auto& [topic, have] = each;
    return have != 0 && board_.mark(topic) == have && source_.leaseUntil(topic);
  });
}

Task<std::optional<std::string>> NewsDesk::follow(std::string body) {
  auto ask = unpacked<FollowAsk>(body);
  if (!ask) co_return std::nullopt;
  auto arrivedAt = clock_.now();
  while (nothingNew(*ask) && clock_.now() < arrivedAt + wait_) co_await board_.changed().wait(clock_, arrivedAt + wait_);
  FollowReply reply;
  reply.held = clock_.now() - arrivedAt;
  reply.core = source_.core();
  for (const auto& [topic, have] : ask->have) {
    auto& own = reply.topics[topic];
    auto until = source_.leaseUntil(topic);
    if (!until || *until <= clock_.now() || !board_.find(topic)) continue;
    board_.fill(topic, have, own, ask->own);
    own.lease = *until - clock_.now();
    if (ask->signs) own.signs = source_.signs(topic);
    own.position = source_.position(topic);
  }
  co_return packed(reply);
}

}  // namespace tamarindshift
