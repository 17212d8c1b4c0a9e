#include "simulated/simulated_line_link.hpp"

#include <algorithm>

#include "simulated/simulated_line_connection.hpp"

namespace tamarindshift {

SimulatedLineLink::SimulatedLineLink(SimulatedLineNetwork& lines, Clock& clock, Address from)
    : lines_(lines), clock_(clock), from_(std::move(from)) {
  lines_.links_.insert(this);
}

SimulatedLineLink::~SimulatedLineLink() {
  kill();
  *alive_ = false;
  lines_.links_.erase(this);
}

bool SimulatedLineLink::listen(const Address& address, LineKeeper& keeper) {
  if (ended_ || !lines_.listeners_.emplace(address, this).second) return false;
  keepers_[address] = &keeper;
  return true;
}

void SimulatedLineLink::unlisten(const Address& address) {
  if (keepers_.erase(address) > 0) lines_.listeners_.erase(address);
}

void SimulatedLineLink::stopListening() {
  for (const auto& [address, keeper] : keepers_) lines_.listeners_.erase(address);
  keepers_.clear();
  ended_ = true;
}

void SimulatedLineLink::kill() {
  if (ended_) return;
  stopListening();
  for (const auto& [line, end] : std::exchange(held_, {})) lines_.finish(line, end);
  scope_.clear();
}

void SimulatedLineLink::losePower() {
  if (ended_) return;
  stopListening();
  for (const auto& [line, end] : std::exchange(held_, {})) lines_.vanish(line, end);
  scope_.clear();
}

void SimulatedLineLink::hold(const std::shared_ptr<SimulatedLine>& line, std::size_t end) {
  if (held_.size() >= sweepAt_) {
    std::erase_if(held_, [](const Held& held) {
      return !held.line->ends[held.end].open;
    });
    sweepAt_ = std::max<std::size_t>(16, held_.size() * 2);
  }
  held_.push_back(Held{line, end});
}

std::vector<SimulatedLineLink::Held> SimulatedLineLink::current() {
  std::erase_if(held_, [](const Held& held) {
    return !held.line->ends[held.end].open;
  });
  return held_;
}

std::size_t SimulatedLineLink::connections() {
  std::size_t amount = 0;
  for (const auto& [line, end] : current()) amount += line->ends[end].finished ? 0 : 1;
  return amount;
}

void SimulatedLineLink::dropDarkAfter(Duration dark) {
  dark_ = dark;
  if (std::exchange(watching_, true)) return;
  watch();
}

void SimulatedLineLink::watch() {
  clock_.after(dark_ / 8, [this, alive = alive_] {
    if (!*alive || ended_) return;
    auto now = lines_.world().now();
    for (const auto& [line, end] : current()) {
      auto& own = line->ends[end];
      auto& far = line->ends[1 - end];
      bool reached = lines_.reaches(own.own, far.own) && lines_.reaches(far.own, own.own);
      if (!reached) own.darkSince = std::min(own.darkSince, now);
      if (reached && !far.vanished) own.darkSince = Instant::max();
      if (own.finished || !((reached && far.vanished) || (!reached && now - own.darkSince >= dark_))) continue;
      own.finished = true;
      own.underway.clear();
      own.gate->open();
    }
    watch();
  });
}

void SimulatedLineLink::accept(const std::shared_ptr<SimulatedLine>& line, LineKeeper& keeper, const Address& address) {
  hold(line, 1);
  ++lines_.opened_[address];
  auto connection = std::make_shared<SimulatedLineConnection>(lines_, clock_, line, 1);
  clock_.after(Duration::zero(), [this, alive = alive_, connection, &keeper] {
    if (*alive && !ended_) scope_.spawn(keeper.serve(connection));
  });
}

Task<std::unique_ptr<LineConnection>> SimulatedLineLink::open(Address address, Instant deadline) {
  Gate never;
  while (clock_.now() < deadline) {
    auto arrives = std::min(deadline, clock_.now() + lines_.network().latency());
    co_await never.wait(clock_, arrives);
    if (clock_.now() >= deadline) break;
    if (!lines_.reaches(from_, address) || !lines_.reaches(address, from_)) {
      auto again = std::min(deadline, clock_.now() + 1s);
      co_await never.wait(clock_, again);
      continue;
    }
    auto listener = lines_.listeners_.find(address);
    std::unique_ptr<LineConnection> connection;
    if (listener != lines_.listeners_.end()) {
      auto line = std::make_shared<SimulatedLine>();
      line->ends[0].own = from_;
      line->ends[1].own = address;
      hold(line, 0);
      connection = std::make_unique<SimulatedLineConnection>(lines_, clock_, line, 0);
      listener->second->accept(line, *listener->second->keepers_.at(address), address);
    }
    auto answered = clock_.now() + lines_.network().latency();
    co_await never.wait(clock_, answered);
    if (connection && clock_.now() >= deadline) connection.reset();
    co_return connection;
  }
  co_return nullptr;
}

}  // namespace tamarindshift
