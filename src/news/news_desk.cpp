#include "news/news_desk.hpp"

namespace tamarindshift {

NewsDesk::NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait)
    : clock_(clock), board_(board), source_(source), wait_(wait) {
  desk.serve("follow", [this](Address, std::string body) { return follow(std::move(body)); });
}

Task<std::optional<std::string>> NewsDesk::follow(std::string body) {
  auto ask = unpacked<FollowAsk>(body);
  if (!ask) co_return std::nullopt;
  bool current = source_.leaseUntil(ask->topic).has_value();
  if (current && ask->have != 0 && board_.mark(ask->topic) == ask->have)
    co_await board_.entry(ask->topic).changed.wait(clock_, clock_.now() + wait_);
  FollowReply reply;
  auto until = source_.leaseUntil(ask->topic);
  if (until && *until > clock_.now() && board_.find(ask->topic)) {
    board_.fill(ask->topic, ask->have, reply);
    reply.lease = *until - clock_.now();
    reply.signs = source_.signs(ask->topic);
  }
  co_return packed(reply);
}

}  // namespace tamarindshift
