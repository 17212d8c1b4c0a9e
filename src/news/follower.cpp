#include "news/follower.hpp"

#include <algorithm>

namespace tamarindshift {

Follower::Follower(Clock& clock, Desk& desk, NewsBoard& board, Journal& journal, Topic topic, Sources sources,
                   FollowTimings timings)
    : clock_(clock), desk_(desk), board_(board), journal_(journal), topic_(std::move(topic)), sources_(std::move(sources)), timings_(timings) {
  scope_.spawn(follow());
}

std::optional<Instant> Follower::leaseUntil() const {
  if (!leaseUntil_ || *leaseUntil_ <= clock_.now()) return std::nullopt;
  return leaseUntil_;
}

std::vector<DatabaseSign> Follower::signs() const {
  auto aged = signs_;
  for (auto& sign : aged) {
    sign.age += clock_.now() - signsAt_;
    sign.contactAge += clock_.now() - signsAt_;
  }
  return aged;
}

Task<void> Follower::follow() {
  auto firstTriedAt = clock_.now();
  for (std::size_t shot = 0;;) {
    if (shot > 0 && clock_.now() - firstTriedAt > timings_.returnToFirst) shot = 0;
    if (shot == 0) firstTriedAt = clock_.now();
    auto sources = sources_();
    if (sources.empty()) {
      co_await sleep(clock_, timings_.pause);
      continue;
    }
    auto source = sources[shot % sources.size()];
    auto asked = clock_.now();
    FollowAsk ask{topic_, board_.mark(topic_)};
    auto bytes = co_await desk_.ask(source, "follow", packed(ask), asked + timings_.patience);
    auto reply = bytes ? unpacked<FollowReply>(*bytes) : std::nullopt;
    if (!reply || !board_.apply(topic_, *reply)) {
      ++shot;
      journal_.count("news.shots_failed");
      co_await sleep(clock_, timings_.pause);
      continue;
    }
    if (source_ != source) {
      source_ = source;
      journal_.line("news " + topic_ + " from " + source.get());
    }
    leaseUntil_ = std::max(leaseUntil_.value_or(Instant::min()), asked + reply->lease);
    signs_ = std::move(reply->signs);
    signsAt_ = asked;
    renewed_.open();
    co_await sleep(clock_, 5ms);
  }
}

}  // namespace tamarindshift
