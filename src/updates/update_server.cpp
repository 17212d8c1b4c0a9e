#include "updates/update_server.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

// leases of topics that are told as one differ by no more than this
constexpr Duration sameLease = 200ms;

bool quiet(const TopicReply& reply, std::uint64_t have) {
  return reply.result == FollowResult::changes && reply.mark == have && reply.changes.empty() && reply.databaseReports.empty();
}

}  // namespace

UpdateServer::UpdateServer(Clock& clock, Desk& desk, UpdateStore& board, UpdateSource& source, Duration wait)
    : clock_(clock), own_(desk.own()), board_(board), source_(source), wait_(wait) {
  desk.serve("follow", [this](Address from, std::string body) {
    return follow(std::move(from), std::move(body));
  });
}

bool UpdateServer::nothingNew(const Marks& have) const {
  return std::all_of(have.begin(), have.end(), [&](const auto& each) {
    return each.second != 0 && board_.mark(each.first) == each.second && source_.sourceResponsive(each.first);
  });
}

std::optional<Instant> UpdateServer::leasedUntil(const Marks& have) const {
  auto until = Instant::max();
  for (const auto& [topic, mark] : have) {
    auto own = source_.leaseUntil(topic);
    if (!own) return std::nullopt;
    until = std::min(until, *own);
  }
  return until;
}

// until something is new, or a lease that was short or missing is renewed
Task<void> UpdateServer::wait(std::shared_ptr<const Marks> have, Duration lease) {
  auto now = clock_.now();
  auto end = now + wait_;
  auto own = leasedUntil(*have);
  auto held = lease < Duration::zero() ? own.value_or(now) : now + lease;
  bool isShort = held - now < 4 * wait_;
  while (clock_.now() < end && nothingNew(*have)) {
    if (own ? isShort && *own - held > wait_ : !source_.isReplica()) co_return;
    co_await board_.changed().wait(clock_, isShort ? std::min(end, clock_.now() + lookAgain) : end);
    own = leasedUntil(*have);
  }
}

std::shared_ptr<const UpdateServer::Marks> UpdateServer::whole(const Address& from, FollowRequest& ask) {
  if (ask.number == 0) return std::make_shared<const Marks>(std::move(ask.knownMarks));
  auto known = followers_.find(from);
  if (ask.base != 0 && (known == followers_.end() || known->second.number != ask.base)) return nullptr;
  if (known == followers_.end()) {
    std::erase_if(followers_, [this](const auto& each) {
      return clock_.now() - each.second.askedAt > remembered;
    });
    known = followers_.try_emplace(from).first;
  }
  auto& own = known->second;
  own.number = ask.number;
  own.askedAt = clock_.now();
  if (ask.base == 0) {
    own.have = std::make_shared<const Marks>(std::move(ask.knownMarks));
  } else if (!ask.knownMarks.empty()) {
    auto have = *own.have;
    for (const auto& [topic, mark] : ask.knownMarks) have[topic] = mark;
    own.have = std::make_shared<const Marks>(std::move(have));
  }
  return own.have;
}

bool UpdateServer::passesWholeTo(const Address& from) const {
  bool sameMachine = hostOf(from) == hostOf(own_);
  return source_.isReplica() || sameMachine;
}

FollowReply UpdateServer::reply(const Address& from, const FollowRequest& ask, const Marks& have) const {
  FollowReply reply;
  reply.number = ask.number;
  reply.fromReplica = source_.isReplica();
  for (const auto& [topic, mark] : have) {
    auto& own = reply.topics[topic];
    auto until = source_.leaseUntil(topic);
    if (!until || *until <= clock_.now() || !board_.find(topic) || !source_.sourceResponsive(topic)) continue;
    if (!passesWholeTo(from) && board_.needsLargeSnapshot(topic, mark, mostWholeOfNode)) continue;
    board_.fill(topic, mark, own, ask.onlyNode);
    own.lease = *until - clock_.now();
    if (ask.databaseReports && (ask.number == 0 || ask.reportTopics.contains(topic))) own.databaseReports = source_.databaseReports(topic);
    own.position = source_.position(topic);
  }
  if (ask.number != 0) leaveOutQuiet(reply, have);
  return reply;
}

void UpdateServer::leaveOutQuiet(FollowReply& reply, const Marks& have) {
  Duration longest{};
  for (const auto& [topic, own] : reply.topics)
    if (quiet(own, have.at(topic))) longest = std::max(longest, own.lease);
  reply.lease = longest;
  std::optional<std::uint64_t> position;
  std::erase_if(reply.topics, [&](const auto& each) {
    const auto& own = each.second;
    if (!quiet(own, have.at(each.first)) || own.lease + sameLease < longest) return false;
    reply.lease = std::min(reply.lease, own.lease);
    position = std::min(position.value_or(own.position), own.position);
    return true;
  });
  reply.position = position.value_or(0);
}

Task<std::optional<std::string>> UpdateServer::follow(Address from, std::string body) {
  auto ask = unpacked<FollowRequest>(body);
  if (!ask) co_return std::nullopt;
  auto arrivedAt = clock_.now();
  auto have = whole(from, *ask);
  if (!have) co_return packed(FollowReply{});
  co_await wait(have, ask->lease);
  auto reply = this->reply(from, *ask, *have);
  reply.heldFor = clock_.now() - arrivedAt;
  co_return packed(reply);
}

}  // namespace tamarindshift
