#include "news/news_desk.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

// leases of topics that are told as one differ by no more than this
constexpr Duration sameLease = 200ms;

bool quiet(const TopicReply& reply, std::uint64_t have) {
  return reply.fate == FollowFate::changes && reply.mark == have && reply.changes.empty() && reply.signs.empty();
}

}  // namespace

NewsDesk::NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait)
    : clock_(clock), own_(desk.own()), board_(board), source_(source), wait_(wait) {
  desk.serve("follow", [this](Address from, std::string body) {
    return follow(std::move(from), std::move(body));
  });
}

bool NewsDesk::nothingNew(const Marks& have) const {
  return std::all_of(have.begin(), have.end(), [&](const auto& each) {
    return each.second != 0 && board_.mark(each.first) == each.second && source_.answered(each.first);
  });
}

std::optional<Instant> NewsDesk::leasedUntil(const Marks& have) const {
  auto until = Instant::max();
  for (const auto& [topic, mark] : have) {
    auto own = source_.leaseUntil(topic);
    if (!own) return std::nullopt;
    until = std::min(until, *own);
  }
  return until;
}

// until something is new, or a lease that was short or missing is renewed
Task<void> NewsDesk::wait(std::shared_ptr<const Marks> have, Duration lease) {
  auto now = clock_.now();
  auto end = now + wait_;
  auto own = leasedUntil(*have);
  auto held = lease < Duration::zero() ? own.value_or(now) : now + lease;
  bool isShort = held - now < 4 * wait_;
  while (clock_.now() < end && nothingNew(*have)) {
    if (own ? isShort && *own - held > wait_ : !source_.core()) co_return;
    co_await board_.changed().wait(clock_, isShort ? std::min(end, clock_.now() + lookAgain) : end);
    own = leasedUntil(*have);
  }
}

std::shared_ptr<const NewsDesk::Marks> NewsDesk::whole(const Address& from, FollowAsk& ask) {
  if (ask.number == 0) return std::make_shared<const Marks>(std::move(ask.have));
  auto known = followers_.find(from);
  if (ask.after != 0 && (known == followers_.end() || known->second.number != ask.after)) return nullptr;
  if (known == followers_.end()) {
    std::erase_if(followers_, [this](const auto& each) {
      return clock_.now() - each.second.askedAt > remembered;
    });
    known = followers_.try_emplace(from).first;
  }
  auto& own = known->second;
  own.number = ask.number;
  own.askedAt = clock_.now();
  if (ask.after == 0) {
    own.have = std::make_shared<const Marks>(std::move(ask.have));
  } else if (!ask.have.empty()) {
    auto have = *own.have;
    for (const auto& [topic, mark] : ask.have) have[topic] = mark;
    own.have = std::make_shared<const Marks>(std::move(have));
  }
  return own.have;
}

bool NewsDesk::passesWholeTo(const Address& from) const {
  bool sameMachine = hostOf(from) == hostOf(own_);
  return source_.core() || sameMachine;
}

FollowReply NewsDesk::reply(const Address& from, const FollowAsk& ask, const Marks& have) const {
  FollowReply reply;
  reply.number = ask.number;
  reply.core = source_.core();
  for (const auto& [topic, mark] : have) {
    auto& own = reply.topics[topic];
    auto until = source_.leaseUntil(topic);
    if (!until || *until <= clock_.now() || !board_.find(topic) || !source_.answered(topic)) continue;
    if (!passesWholeTo(from) && board_.needsWhole(topic, mark, mostWholeOfNode)) continue;
    board_.fill(topic, mark, own, ask.own);
    own.lease = *until - clock_.now();
    if (ask.signs && (ask.number == 0 || ask.signsOf.contains(topic))) own.signs = source_.signs(topic);
    own.position = source_.position(topic);
  }
  if (ask.number != 0) leaveOutQuiet(reply, have);
  return reply;
}

void NewsDesk::leaveOutQuiet(FollowReply& reply, const Marks& have) {
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

Task<std::optional<std::string>> NewsDesk::follow(Address from, std::string body) {
  auto ask = unpacked<FollowAsk>(body);
  if (!ask) co_return std::nullopt;
  auto arrivedAt = clock_.now();
  auto have = whole(from, *ask);
  if (!have) co_return packed(FollowReply{});
  co_await wait(have, ask->lease);
  auto reply = this->reply(from, *ask, *have);
  reply.held = clock_.now() - arrivedAt;
  co_return packed(reply);
}

}  // namespace tamarindshift
