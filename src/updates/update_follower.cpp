#include "updates/update_follower.hpp"

#include <algorithm>
#include <iterator>

#include "control/plan_entries.hpp"

namespace tamarindshift {

UpdateFollower::UpdateFollower(Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, Own own)
    : clock_(clock),
      desk_(desk),
      journal_(journal),
      sources_(std::move(sources)),
      own_(std::move(own)),
      timings_(timings),
      lastAsk_(static_cast<std::uint64_t>(clock.now().time_since_epoch().count())) {
  topics_[fleetTopic];
  scope_.spawn(keepTopics());
}

std::optional<Instant> UpdateFollower::leaseUntil(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end() || !found->second.leaseUntil || *found->second.leaseUntil <= clock_.now()) return std::nullopt;
  return found->second.leaseUntil;
}

std::vector<DatabaseReport> UpdateFollower::databaseReports(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end()) return {};
  found->second.signsReadAt = clock_.now();
  auto aged = found->second.signs;
  for (auto& sign : aged) {
    sign.age += clock_.now() - found->second.signsAt;
    sign.contactAge += clock_.now() - found->second.signsAt;
  }
  return aged;
}

std::uint64_t UpdateFollower::position(const Topic& topic) {
  auto found = topics_.find(topic);
  return found == topics_.end() ? 0 : found->second.position;
}

// for longer than one silent source and a held ask to the next one cost
bool UpdateFollower::sourceResponsive(const Topic& topic) {
  auto found = topics_.find(topic);
  return found != topics_.end() && clock_.now() - found->second.takenAt < 2 * timings_.patience;
}

// a topic for each service of the plan; the plan is read again only when it is another one
void UpdateFollower::followPlan() {
  const auto* fleet = board_.find(fleetTopic);
  if (!fleet || fleet->planChangeMark == topicsOf_) return;
  topicsOf_ = fleet->planChangeMark;
  std::set<Topic> wanted{fleetTopic};
  for (const auto& [kind, service] : readFleetPlan(fleet->table).kinds) wanted.insert(service.get());
  std::erase_if(topics_, [&](const auto& each) {
    return !wanted.contains(each.first);
  });
  for (const auto& topic : wanted) topics_[topic];
}

Task<void> UpdateFollower::keepTopics() {
  for (;;) {
    followPlan();
    startAsks();
    co_await board_.changed().wait(clock_, clock_.now() + 500ms);
  }
}

const std::vector<Address>& UpdateFollower::sourcesOf(const Topic& topic, Followed& followed) {
  auto fleetMark = board_.mark(fleetTopic);
  if (followed.sources.empty() || followed.sourcesOf != fleetMark || clock_.now() - followed.sourcesAt > timings_.sourcesKept) {
    followed.sources = sources_(topic);
    followed.sourcesOf = fleetMark;
    followed.sourcesAt = clock_.now();
  }
  return followed.sources;
}

std::optional<Address> UpdateFollower::currentSource(const Topic& topic, Followed& followed) {
  const auto& sources = sourcesOf(topic, followed);
  if (sources.empty()) return std::nullopt;
  bool over = clock_.now() - followed.firstTriedAt > timings_.returnToFirst;
  if (followed.instead && (over || std::find(sources.begin(), sources.end(), *followed.instead) == sources.end())) {
    followed.instead.reset();
    followed.failed.clear();
  }
  if (followed.instead) return followed.instead;
  followed.firstTriedAt = clock_.now();
  return sources.front();
}

UpdateFollower::Standing UpdateFollower::standing(const Address& source) const {
  auto found = standings_.find(source);
  return found == standings_.end() ? Standing{} : found->second;
}

bool UpdateFollower::silent(const Address& source) const {
  auto since = standing(source).silentAt;
  return since && clock_.now() - *since < timings_.returnToFirst;
}

// of the sources that were not tried yet the one that answered last, a silent one at the end
Address UpdateFollower::nextSource(const std::vector<Address>& sources, const std::set<Address>& failed) const {
  auto rank = [&](const Address& source) {
    return std::tuple(failed.contains(source), silent(source), -standing(source).answeredAt.time_since_epoch().count());
  };
  return *std::min_element(sources.begin(), sources.end(), [&](const auto& left, const auto& right) {
    return rank(left) < rank(right);
  });
}

bool UpdateFollower::superseded(const Address& source, std::uint64_t turn) const {
  auto found = turns_.find(source);
  return found == turns_.end() || found->second != turn;
}

void UpdateFollower::startAsks() {
  std::set<Address> needed;
  for (auto& [topic, followed] : topics_)
    if (auto source = currentSource(topic, followed); source && followed.asking != *source) needed.insert(*source);
  for (const auto& source : needed) {
    turns_[source] = ++lastTurn_;
    scope_.spawn(follow(source, lastTurn_));
  }
}

UpdateFollower::Marks UpdateFollower::marksFor(const Address& source, const std::optional<Address>& own) {
  Marks have;
  for (auto& [topic, followed] : topics_)
    if (currentSource(topic, followed) == source) {
      followed.asking = source;
      have[topic] = board_.completeMark(topic, own);
    }
  return have;
}

FollowRequest UpdateFollower::makeAsk(const Address& source, const Marks& have, std::optional<Address> own) {
  FollowRequest ask;
  ask.onlyNode = std::move(own);
  ask.databaseReports = timings_.signs;
  ask.number = ++lastAsk_;
  auto shortest = Instant::max();
  for (const auto& [topic, mark] : have) {
    const auto& followed = topics_.at(topic);
    shortest = std::min(shortest, leaseUntil(topic).value_or(clock_.now()));
    if (ask.databaseReports && followed.signsReadAt && clock_.now() - *followed.signsReadAt < timings_.signsKept)
      ask.reportTopics.insert(topic);
  }
  ask.lease = shortest - clock_.now();
  auto told = told_.find(source);
  auto sameTopics = [&] {
    return std::equal(have.begin(), have.end(), told->second.have.begin(), told->second.have.end(),
                      [](const auto& left, const auto& right) {
                        return left.first == right.first;
                      });
  };
  if (told == told_.end() || told->second.own != ask.onlyNode || !sameTopics()) {
    ask.knownMarks = have;
    return ask;
  }
  ask.base = told->second.number;
  std::set_difference(have.begin(), have.end(), told->second.have.begin(), told->second.have.end(),
                      std::inserter(ask.knownMarks, ask.knownMarks.end()));
  return ask;
}

Task<void> UpdateFollower::follow(Address source, std::uint64_t turn) {
  while (!superseded(source, turn)) {
    auto own = own_();
    auto have = marksFor(source, own);
    if (have.empty()) {
      turns_.erase(source);
      co_return;
    }
    auto ask = makeAsk(source, have, std::move(own));
    auto asked = clock_.now();
    journal_.count("news.asks");
    auto bytes = co_await desk_.askPatiently(source, "follow", packed(ask), timings_.patience, asked + timings_.longestReply);
    auto reply = bytes ? unpacked<FollowReply>(*bytes) : std::nullopt;
    if (reply && reply->fromReplica) coreRepliedAt_ = clock_.now();
    told_.erase(source);
    if (reply && reply->number == 0 && ask.base != 0) continue;
    bool remembers = reply && reply->number == ask.number;
    bool failed = false;
    standings_[source].silentAt = reply ? std::nullopt : std::optional{clock_.now()};
    for (const auto& [topic, mark] : have) {
      if (!topics_.contains(topic)) continue;
      if (reply) {
        auto at = asked + std::min(reply->heldFor, clock_.now() - asked);
        auto own = reply->topics.find(topic);
        auto before = board_.mark(topic);
        if (own != reply->topics.end() ? board_.apply(topic, own->second, ask.onlyNode) : remembers) {
          if (board_.mark(topic) != before) changed_.open();
          take(topic, source, at,
               own != reply->topics.end() ? std::move(own->second)
                                          : TopicReply{FollowResult::changes, mark, {}, {}, reply->lease, {}, reply->position, {}});
          continue;
        }
      }
      fail(topic, source);
      failed = true;
    }
    if (remembers) told_[source] = Told{ask.number, std::move(have), ask.onlyNode};
    if (failed) journal_.count("news.attempts_failed");
    failures_ = failed ? std::min(failures_ + 1, 3u) : 0;
    co_await sleep(clock_, failed ? timings_.pause * failures_ : Duration{5ms});
    startAsks();
  }
}

void UpdateFollower::take(const Topic& topic, const Address& source, Instant at, TopicReply reply) {
  auto& followed = topics_[topic];
  bool lapsed = !leaseUntil(topic);
  followed.failed.clear();
  standings_[source].answeredAt = clock_.now();
  if (followed.source != source) {
    followed.source = source;
    journal_.line("news " + topic + " from " + source.get());
  }
  bool fromQuestion = reply.lease <= timings_.longestLease && at <= clock_.now();
  journal_.check(Invariant::leaseFromQuestion, fromQuestion, [&] {
    return "a lease of " + std::to_string(milliseconds(reply.lease).count()) + " ms for " + topic + " from " + source.get();
  });
  followed.leaseUntil = std::max(followed.leaseUntil.value_or(Instant::min()), at + std::min(reply.lease, timings_.longestLease));
  if (!reply.databaseReports.empty()) {
    followed.signs = std::move(reply.databaseReports);
    followed.signsAt = at;
  }
  followed.takenAt = clock_.now();
  followed.position = std::max(followed.position, reply.position);
  if (lapsed || !reply.table.empty() || !reply.changes.empty()) changed_.open();
}

void UpdateFollower::fail(const Topic& topic, const Address& source) {
  auto& followed = topics_[topic];
  if (currentSource(topic, followed) != source) return;
  const auto& sources = sourcesOf(topic, followed);
  followed.failed.insert(source);
  if (std::all_of(sources.begin(), sources.end(), [&](const auto& each) {
        return followed.failed.contains(each) || silent(each);
      }))
    followed.failed = {source};
  followed.instead = nextSource(sources, followed.failed);
}

}  // namespace tamarindshift
