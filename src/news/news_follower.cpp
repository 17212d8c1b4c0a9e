#include "news/news_follower.hpp"

#include <algorithm>

#include "control/plan_news.hpp"

namespace tamarindshift {

NewsFollower::NewsFollower(Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, Own own)
    : clock_(clock), desk_(desk), journal_(journal), sources_(std::move(sources)), own_(std::move(own)), timings_(timings) {
  topics_[fleetTopic];
  scope_.spawn(keepTopics());
}

std::optional<Instant> NewsFollower::leaseUntil(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end() || !found->second.leaseUntil || *found->second.leaseUntil <= clock_.now()) return std::nullopt;
  return found->second.leaseUntil;
}

std::vector<DatabaseSign> NewsFollower::signs(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end()) return {};
  auto aged = found->second.signs;
  for (auto& sign : aged) {
    sign.age += clock_.now() - found->second.signsAt;
    sign.contactAge += clock_.now() - found->second.signsAt;
  }
  return aged;
}

std::uint64_t NewsFollower::position(const Topic& topic) {
  auto found = topics_.find(topic);
  return found == topics_.end() ? 0 : found->second.position;
}

Task<void> NewsFollower::keepTopics() {
  for (;;) {
    std::set<Topic> wanted{fleetTopic};
    if (const auto* fleet = board_.find(fleetTopic))
      for (const auto& [kind, service] : fleetPlanIn(fleet->table).kinds) wanted.insert(service.get());
    std::erase_if(topics_, [&](const auto& each) { return !wanted.contains(each.first); });
    for (const auto& topic : wanted) topics_[topic];
    startAsks();
    co_await board_.changed().wait(clock_, clock_.now() + 500ms);
  }
}

std::optional<Address> NewsFollower::currentSource(const Topic& topic, Followed& followed) {
  if (followed.attempt > 0 && clock_.now() - followed.firstTriedAt > timings_.returnToFirst) followed.attempt = 0;
  if (followed.attempt == 0) followed.firstTriedAt = clock_.now();
  auto sources = sources_(topic);
  if (sources.empty()) return std::nullopt;
  return sources[followed.attempt % sources.size()];
}

bool NewsFollower::superseded(const Address& source, std::uint64_t turn) const {
  auto found = turns_.find(source);
  return found == turns_.end() || found->second != turn;
}

void NewsFollower::startAsks() {
  std::set<Address> needed;
  for (auto& [topic, followed] : topics_)
    if (auto source = currentSource(topic, followed); source && followed.asking != *source) needed.insert(*source);
  for (const auto& source : needed) {
    turns_[source] = ++lastTurn_;
    scope_.spawn(follow(source, lastTurn_));
  }
}

Task<void> NewsFollower::follow(Address source, std::uint64_t turn) {
  while (!superseded(source, turn)) {
    FollowAsk ask;
    ask.signs = timings_.signs;
    ask.own = own_();
    for (auto& [topic, followed] : topics_)
      if (currentSource(topic, followed) == source) {
        followed.asking = source;
        ask.have[topic] = board_.completeMark(topic, ask.own);
      }
    if (ask.have.empty()) {
      turns_.erase(source);
      co_return;
    }
    auto asked = clock_.now();
    journal_.count("news.asks");
    auto bytes = co_await desk_.ask(source, "follow", packed(ask), asked + timings_.patience);
    auto reply = bytes ? unpacked<FollowReply>(*bytes) : std::nullopt;
    if (reply && reply->core) coreRepliedAt_ = clock_.now();
    bool failed = false;
    for (const auto& [topic, have] : ask.have) {
      auto own = reply ? reply->topics.find(topic) : decltype(reply->topics.end()){};
      if (!topics_.contains(topic)) continue;
      auto before = board_.mark(topic);
      if (reply && own != reply->topics.end() && board_.apply(topic, own->second, ask.own)) {
        if (board_.mark(topic) != before) changed_.open();
        take(topic, source, asked + std::min(reply->held, clock_.now() - asked), std::move(own->second));
        continue;
      }
      fail(topic, source);
      failed = true;
    }
    if (failed) journal_.count("news.attempts_failed");
    failures_ = failed ? std::min(failures_ + 1, 3u) : 0;
    co_await sleep(clock_, failed ? timings_.pause * failures_ : Duration{5ms});
    startAsks();
  }
}

void NewsFollower::take(const Topic& topic, const Address& source, Instant at, TopicReply reply) {
  auto& followed = topics_[topic];
  bool lapsed = !leaseUntil(topic);
  if (followed.source != source) {
    followed.source = source;
    journal_.line("news " + topic + " from " + source.get());
  }
  followed.leaseUntil = std::max(followed.leaseUntil.value_or(Instant::min()), at + reply.lease);
  followed.signs = std::move(reply.signs);
  followed.signsAt = at;
  followed.position = std::max(followed.position, reply.position);
  if (lapsed || !reply.table.empty() || !reply.changes.empty()) changed_.open();
}

void NewsFollower::fail(const Topic& topic, const Address& source) {
  auto& followed = topics_[topic];
  if (currentSource(topic, followed) == source) ++followed.attempt;
}

}  // namespace tamarindshift
