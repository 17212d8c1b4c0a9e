#include "updates/update_server.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

// unchanged topics share one lease in a reply if their leases differ by no more than this
constexpr Duration maxLeaseSpread = 200ms;

bool unchanged(const TopicReply& reply, std::uint64_t knownMark) {
  return reply.result == FollowResult::changes && reply.mark == knownMark && reply.changes.empty() && reply.databaseReports.empty();
}

}  // namespace

UpdateServer::UpdateServer(Clock& clock, Desk& desk, UpdateStore& store, UpdateSource& source, Duration maxWait)
    : clock_(clock), ownAddress_(desk.own()), store_(store), source_(source), maxWait_(maxWait) {
  desk.serve("follow", [this](Address from, std::string body) {
    return follow(std::move(from), std::move(body));
  });
}

bool UpdateServer::upToDate(const Marks& marks) const {
  return std::all_of(marks.begin(), marks.end(), [&](const auto& each) {
    return each.second != 0 && store_.mark(each.first) == each.second && source_.sourceResponsive(each.first);
  });
}

std::optional<Instant> UpdateServer::earliestLeaseEnd(const Marks& marks) const {
  auto until = Instant::max();
  for (const auto& [topic, mark] : marks) {
    auto topicUntil = source_.leaseUntil(topic);
    if (!topicUntil) return std::nullopt;
    until = std::min(until, *topicUntil);
  }
  return until;
}

Task<void> UpdateServer::wait(std::shared_ptr<const Marks> marks, Duration lease) {
  auto now = clock_.now();
  auto end = now + maxWait_;
  auto ownUntil = earliestLeaseEnd(*marks);
  auto followerUntil = lease < Duration::zero() ? ownUntil.value_or(now) : now + lease;
  bool leaseIsShort = followerUntil - now < 4 * maxWait_;
  while (clock_.now() < end && upToDate(*marks)) {
    if (ownUntil ? leaseIsShort && *ownUntil - followerUntil > maxWait_ : !source_.isReplica()) co_return;
    co_await store_.changed().wait(clock_, leaseIsShort ? std::min(end, clock_.now() + leasePollInterval) : end);
    ownUntil = earliestLeaseEnd(*marks);
  }
}

std::shared_ptr<const UpdateServer::Marks> UpdateServer::resolveMarks(const Address& from, FollowRequest& request) {
  if (request.number == 0) return std::make_shared<const Marks>(std::move(request.knownMarks));
  auto known = followers_.find(from);
  if (request.base != 0 && (known == followers_.end() || known->second.number != request.base)) return nullptr;
  if (known == followers_.end()) {
    std::erase_if(followers_, [this](const auto& each) {
      return clock_.now() - each.second.lastRequestAt > followerStateMaxAge;
    });
    known = followers_.try_emplace(from).first;
  }
  auto& state = known->second;
  state.number = request.number;
  state.lastRequestAt = clock_.now();
  if (request.base == 0) {
    state.marks = std::make_shared<const Marks>(std::move(request.knownMarks));
  } else if (!request.knownMarks.empty()) {
    auto marks = *state.marks;
    for (const auto& [topic, mark] : request.knownMarks) marks[topic] = mark;
    state.marks = std::make_shared<const Marks>(std::move(marks));
  }
  return state.marks;
}

bool UpdateServer::maySendLargeSnapshots(const Address& from) const {
  bool sameMachine = hostOf(from) == hostOf(ownAddress_);
  return source_.isReplica() || sameMachine;
}

FollowReply UpdateServer::reply(const Address& from, const FollowRequest& request, const Marks& marks) const {
  FollowReply reply;
  reply.number = request.number;
  reply.fromReplica = source_.isReplica();
  for (const auto& [topic, mark] : marks) {
    auto& topicReply = reply.topics[topic];
    auto until = source_.leaseUntil(topic);
    if (!until || *until <= clock_.now() || !store_.find(topic) || !source_.sourceResponsive(topic)) continue;
    if (!maySendLargeSnapshots(from) && store_.needsLargeSnapshot(topic, mark, maxSnapshotBytesFromNode)) continue;
    store_.fillReply(topic, mark, topicReply, request.onlyNode);
    topicReply.lease = *until - clock_.now();
    if (request.databaseReports && (request.number == 0 || request.reportTopics.contains(topic)))
      topicReply.databaseReports = source_.databaseReports(topic);
    topicReply.position = source_.position(topic);
  }
  if (request.number != 0) omitUnchangedTopics(reply, marks);
  return reply;
}

void UpdateServer::omitUnchangedTopics(FollowReply& reply, const Marks& marks) {
  Duration longest{};
  for (const auto& [topic, topicReply] : reply.topics)
    if (unchanged(topicReply, marks.at(topic))) longest = std::max(longest, topicReply.lease);
  reply.lease = longest;
  std::optional<std::uint64_t> position;
  std::erase_if(reply.topics, [&](const auto& each) {
    const auto& topicReply = each.second;
    if (!unchanged(topicReply, marks.at(each.first)) || topicReply.lease + maxLeaseSpread < longest) return false;
    reply.lease = std::min(reply.lease, topicReply.lease);
    position = std::min(position.value_or(topicReply.position), topicReply.position);
    return true;
  });
  reply.position = position.value_or(0);
}

Task<std::optional<std::string>> UpdateServer::follow(Address from, std::string body) {
  auto request = unpacked<FollowRequest>(body);
  if (!request) co_return std::nullopt;
  auto arrivedAt = clock_.now();
  auto marks = resolveMarks(from, *request);
  if (!marks) co_return packed(FollowReply{});
  co_await wait(marks, request->lease);
  auto reply = this->reply(from, *request, *marks);
  reply.heldFor = clock_.now() - arrivedAt;
  co_return packed(reply);
}

}  // namespace tamarindshift
