#include "updates/update_follower.hpp"

#include <algorithm>
#include <iterator>

#include "control/plan_entries.hpp"

namespace tamarindshift {

UpdateFollower::UpdateFollower(Clock& clock, Desk& desk, Journal& journal, Sources sources, FollowTimings timings, OnlyNode onlyNode)
    : clock_(clock),
      desk_(desk),
      journal_(journal),
      sources_(std::move(sources)),
      onlyNode_(std::move(onlyNode)),
      timings_(timings),
      lastRequestNumber_(static_cast<std::uint64_t>(clock.now().time_since_epoch().count())) {
  topics_[fleetTopic];
  scope_.spawn(superviseTopics());
}

std::optional<Instant> UpdateFollower::leaseUntil(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end() || !found->second.leaseUntil || *found->second.leaseUntil <= clock_.now()) return std::nullopt;
  return found->second.leaseUntil;
}

std::vector<DatabaseReport> UpdateFollower::databaseReports(const Topic& topic) {
  auto found = topics_.find(topic);
  if (found == topics_.end()) return {};
  found->second.reportsReadAt = clock_.now();
  auto reports = found->second.databaseReports;
  for (auto& report : reports) {
    report.age += clock_.now() - found->second.reportsAt;
    report.contactAge += clock_.now() - found->second.reportsAt;
  }
  return reports;
}

std::uint64_t UpdateFollower::position(const Topic& topic) {
  auto found = topics_.find(topic);
  return found == topics_.end() ? 0 : found->second.position;
}

// The bound covers one source that does not reply and then a held request at the next source.
bool UpdateFollower::sourceResponsive(const Topic& topic) {
  auto found = topics_.find(topic);
  return found != topics_.end() && clock_.now() - found->second.lastReplyAt < 2 * timings_.silenceTimeout;
}

void UpdateFollower::updateTopics() {
  const auto* fleet = store_.find(fleetTopic);
  if (!fleet || fleet->planChangeMark == topicsPlanMark_) return;
  topicsPlanMark_ = fleet->planChangeMark;
  std::set<Topic> wanted{fleetTopic};
  for (const auto& [kind, service] : readFleetPlan(fleet->table).kinds) wanted.insert(service.get());
  std::erase_if(topics_, [&](const auto& each) {
    return !wanted.contains(each.first);
  });
  for (const auto& topic : wanted) topics_[topic];
}

Task<void> UpdateFollower::superviseTopics() {
  for (;;) {
    updateTopics();
    startRequestLoops();
    co_await store_.changed().wait(clock_, clock_.now() + 500ms);
  }
}

const std::vector<Address>& UpdateFollower::sourcesOf(const Topic& topic, FollowedTopic& followed) {
  auto fleetMark = store_.mark(fleetTopic);
  if (followed.sources.empty() || followed.sourcesMark != fleetMark || clock_.now() - followed.sourcesReadAt > timings_.sourcesMaxAge) {
    followed.sources = sources_(topic);
    followed.sourcesMark = fleetMark;
    followed.sourcesReadAt = clock_.now();
  }
  return followed.sources;
}

std::optional<Address> UpdateFollower::currentSource(const Topic& topic, FollowedTopic& followed) {
  const auto& sources = sourcesOf(topic, followed);
  if (sources.empty()) return std::nullopt;
  bool fallbackExpired = clock_.now() - followed.firstTriedAt > timings_.returnToFirst;
  if (followed.fallback && (fallbackExpired || std::find(sources.begin(), sources.end(), *followed.fallback) == sources.end())) {
    followed.fallback.reset();
    followed.failedSources.clear();
  }
  if (followed.fallback) return followed.fallback;
  followed.firstTriedAt = clock_.now();
  return sources.front();
}

UpdateFollower::SourceState UpdateFollower::sourceState(const Address& source) const {
  auto found = sourceStates_.find(source);
  return found == sourceStates_.end() ? SourceState{} : found->second;
}

bool UpdateFollower::silent(const Address& source) const {
  auto since = sourceState(source).silentAt;
  return since && clock_.now() - *since < timings_.returnToFirst;
}

Address UpdateFollower::nextSource(const std::vector<Address>& sources, const std::set<Address>& failedSources) const {
  auto rank = [&](const Address& source) {
    return std::tuple(failedSources.contains(source), silent(source), -sourceState(source).answeredAt.time_since_epoch().count());
  };
  return *std::min_element(sources.begin(), sources.end(), [&](const auto& left, const auto& right) {
    return rank(left) < rank(right);
  });
}

bool UpdateFollower::superseded(const Address& source, std::uint64_t loopId) const {
  auto found = loopIds_.find(source);
  return found == loopIds_.end() || found->second != loopId;
}

void UpdateFollower::startRequestLoops() {
  std::set<Address> needed;
  for (auto& [topic, followed] : topics_)
    if (auto source = currentSource(topic, followed); source && followed.requestedFrom != *source) needed.insert(*source);
  for (const auto& source : needed) {
    loopIds_[source] = ++lastLoopId_;
    scope_.spawn(requestLoop(source, lastLoopId_));
  }
}

UpdateFollower::Marks UpdateFollower::marksFor(const Address& source, const std::optional<Address>& onlyNode) {
  Marks marks;
  for (auto& [topic, followed] : topics_)
    if (currentSource(topic, followed) == source) {
      followed.requestedFrom = source;
      marks[topic] = store_.completeMark(topic, onlyNode);
    }
  return marks;
}

FollowRequest UpdateFollower::makeRequest(const Address& source, const Marks& marks, std::optional<Address> onlyNode) {
  FollowRequest request;
  request.onlyNode = std::move(onlyNode);
  request.databaseReports = timings_.databaseReports;
  request.number = ++lastRequestNumber_;
  auto shortest = Instant::max();
  for (const auto& [topic, mark] : marks) {
    const auto& followed = topics_.at(topic);
    shortest = std::min(shortest, leaseUntil(topic).value_or(clock_.now()));
    if (request.databaseReports && followed.reportsReadAt && clock_.now() - *followed.reportsReadAt < timings_.reportsWantedFor)
      request.reportTopics.insert(topic);
  }
  request.lease = shortest - clock_.now();
  auto remembered = rememberedRequests_.find(source);
  auto sameTopics = [&] {
    return std::equal(marks.begin(), marks.end(), remembered->second.marks.begin(), remembered->second.marks.end(),
                      [](const auto& left, const auto& right) {
                        return left.first == right.first;
                      });
  };
  if (remembered == rememberedRequests_.end() || remembered->second.onlyNode != request.onlyNode || !sameTopics()) {
    request.knownMarks = marks;
    return request;
  }
  request.base = remembered->second.number;
  std::set_difference(marks.begin(), marks.end(), remembered->second.marks.begin(), remembered->second.marks.end(),
                      std::inserter(request.knownMarks, request.knownMarks.end()));
  return request;
}

Task<void> UpdateFollower::requestLoop(Address source, std::uint64_t loopId) {
  while (!superseded(source, loopId)) {
    auto onlyNode = onlyNode_();
    auto marks = marksFor(source, onlyNode);
    if (marks.empty()) {
      loopIds_.erase(source);
      co_return;
    }
    auto request = makeRequest(source, marks, std::move(onlyNode));
    auto requestedAt = clock_.now();
    journal_.count("news.asks");
    auto bytes =
        co_await desk_.askPatiently(source, "follow", packed(request), timings_.silenceTimeout, requestedAt + timings_.maxReplyTime);
    auto reply = bytes ? unpacked<FollowReply>(*bytes) : std::nullopt;
    if (reply && reply->fromReplica) coreRepliedAt_ = clock_.now();
    rememberedRequests_.erase(source);
    // the source does not remember the request that this one builds on: the next one names all topics
    if (reply && reply->number == 0 && request.base != 0) continue;
    bool remembers = reply && reply->number == request.number;
    bool failed = false;
    sourceStates_[source].silentAt = reply ? std::nullopt : std::optional{clock_.now()};
    for (const auto& [topic, mark] : marks) {
      if (!topics_.contains(topic)) continue;
      if (reply) {
        auto sourceRepliedAt = requestedAt + std::min(reply->heldFor, clock_.now() - requestedAt);
        auto topicReply = reply->topics.find(topic);
        auto before = store_.mark(topic);
        if (topicReply != reply->topics.end() ? store_.apply(topic, topicReply->second, request.onlyNode) : remembers) {
          if (store_.mark(topic) != before) changed_.open();
          recordReply(topic, source, sourceRepliedAt,
                      topicReply != reply->topics.end()
                          ? std::move(topicReply->second)
                          : TopicReply{FollowResult::changes, mark, {}, {}, reply->lease, {}, reply->position, {}});
          continue;
        }
      }
      recordFailure(topic, source);
      failed = true;
    }
    if (remembers) rememberedRequests_[source] = RememberedRequest{request.number, std::move(marks), request.onlyNode};
    if (failed) journal_.count("news.attempts_failed");
    consecutiveFailures_ = failed ? std::min(consecutiveFailures_ + 1, 3u) : 0;
    co_await sleep(clock_, failed ? timings_.retryPause * consecutiveFailures_ : Duration{5ms});
    startRequestLoops();
  }
}

void UpdateFollower::recordReply(const Topic& topic, const Address& source, Instant sourceRepliedAt, TopicReply reply) {
  auto& followed = topics_[topic];
  bool leaseHadEnded = !leaseUntil(topic);
  followed.failedSources.clear();
  sourceStates_[source].answeredAt = clock_.now();
  if (followed.source != source) {
    followed.source = source;
    journal_.line("topic " + topic + ": updates now come from " + source.get());
  }
  bool withinBound = reply.lease <= timings_.maxLease && sourceRepliedAt <= clock_.now();
  journal_.check(Invariant::leaseFromQuestion, withinBound, [&] {
    return "lease of " + std::to_string(milliseconds(reply.lease).count()) + " ms for topic " + topic + " from " + source.get() +
           "; the bound is " + std::to_string(milliseconds(timings_.maxLease).count()) + " ms";
  });
  followed.leaseUntil = std::max(followed.leaseUntil.value_or(Instant::min()), sourceRepliedAt + std::min(reply.lease, timings_.maxLease));
  if (!reply.databaseReports.empty()) {
    followed.databaseReports = std::move(reply.databaseReports);
    followed.reportsAt = sourceRepliedAt;
  }
  followed.lastReplyAt = clock_.now();
  followed.position = std::max(followed.position, reply.position);
  if (leaseHadEnded || !reply.table.empty() || !reply.changes.empty()) changed_.open();
}

void UpdateFollower::recordFailure(const Topic& topic, const Address& source) {
  auto& followed = topics_[topic];
  if (currentSource(topic, followed) != source) return;
  const auto& sources = sourcesOf(topic, followed);
  followed.failedSources.insert(source);
  if (std::all_of(sources.begin(), sources.end(), [&](const auto& each) {
        return followed.failedSources.contains(each) || silent(each);
      }))
    followed.failedSources = {source};
  followed.fallback = nextSource(sources, followed.failedSources);
}

}  // namespace tamarindshift
