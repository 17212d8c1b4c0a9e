#include "simulated/simulated_web.hpp"

namespace tamarindshift {

class SimulatedWebConnection : public WebConnection {
 public:
  SimulatedWebConnection(SimulatedWeb& web, Clock& clock, std::shared_ptr<SimulatedWeb::Line> line)
      : web_(web), clock_(clock), line_(std::move(line)) {}
  ~SimulatedWebConnection() override { close(); }
  bool usable() const override { return line_->open; }
  void close() override { web_.end(line_); }

  Task<WebOutcome> exchange(std::string method, std::string path, std::string body, Instant deadline, WebHeaders headers) override {
    auto line = line_;
    auto faults = web_.faults_[line->to];
    if (!line->open || web_.unlucky(faults.resetBefore)) {
      web_.end(line);
      co_return WebOutcome{PassFate::unsent, 0, {}};
    }
    auto exchange = std::make_shared<SimulatedWeb::Exchange>();
    line->underway = exchange;
    DoorRequest request{std::move(method), std::move(path), std::move(body), line->id, std::move(headers)};
    auto& world = web_.network_.world();
    if (web_.unlucky(faults.loseRequest))
      web_.end(line);
    else
      world.at(world.now() + web_.network_.latency(), [&web = web_, line, exchange, request] {
        auto host = web.hosts_.find(line->to);
        if (!line->open) return;
        if (host == web.hosts_.end()) return web.end(line);
        if (!web.network_.connected(line->from, line->to)) return;
        host->second.clock->after(Duration::zero(), [&web, line, exchange, request] {
          web.handOver(line, exchange, request);
        });
      });
    if (!exchange->outcome) co_await exchange->gate.wait(clock_, deadline);
    line->underway.reset();
    if (!exchange->outcome) {
      web_.end(line);
      co_return WebOutcome{PassFate::lost, 0, {}};
    }
    co_return *exchange->outcome;
  }

 private:
  SimulatedWeb& web_;
  Clock& clock_;
  std::shared_ptr<SimulatedWeb::Line> line_;
};

void SimulatedWeb::attach(const Address& address, DoorKeeper& keeper, Clock& clock) {
  auto& host = hosts_[address];
  host.keeper = &keeper;
  host.clock = &clock;
}

void SimulatedWeb::detach(const Address& address) {
  auto found = hosts_.find(address);
  if (found == hosts_.end()) return;
  found->second.scope.reset();
  auto lines = found->second.lines;
  hosts_.erase(found);
  for (const auto& line : lines) end(line);
}

void SimulatedWeb::handOver(const std::shared_ptr<Line>& line, const std::shared_ptr<Exchange>& exchange, DoorRequest request) {
  auto found = hosts_.find(line->to);
  if (!line->open || found == hosts_.end()) return;
  const auto& faults = faults_[line->to];
  auto& scope = *found->second.scope;
  if (unlucky(faults.twice)) scope.spawn(serve(line->to, line, exchange, request));
  if (auto place = request.body.find("append "); place != std::string::npos && unlucky(faults.alter)) request.body[place] = 'A';
  if (unlucky(faults.insert)) {
    DoorRequest foreign{"POST", "/run", R"({"operation":"rollback"})", request.connection};
    scope.spawn(serve(line->to, line, std::make_shared<Exchange>(), foreign));
  }
  if (unlucky(faults.cross))
    for (const auto& other : found->second.lines)
      if (other != line) request.connection = other->id;
  scope.spawn(serve(line->to, line, exchange, std::move(request)));
}

Task<void> SimulatedWeb::serve(Address to, std::shared_ptr<Line> line, std::shared_ptr<Exchange> exchange, DoorRequest request) {
  auto reply = co_await hosts_.at(to).keeper->serve(std::move(request));
  WebOutcome outcome{PassFate::replied, reply.status, std::move(reply.body)};
  auto& world = network_.world();
  if (unlucky(faults_[to].loseReply)) {
    world.at(world.now() + network_.latency(), [this, line] {
      end(line);
    });
    co_return;
  }
  world.at(world.now() + network_.latency(), [this, line, exchange, outcome] {
    if (!line->open || !network_.connected(line->to, line->from)) return;
    exchange->outcome = outcome;
    exchange->gate.open();
  });
}

void SimulatedWeb::end(const std::shared_ptr<Line>& line) {
  if (!line->open) return;
  line->open = false;
  if (line->underway && !line->underway->outcome) {
    line->underway->outcome = WebOutcome{PassFate::lost, 0, {}};
    line->underway->gate.open();
  }
  if (network_.connected(line->from, line->to)) tell(line);
}

void SimulatedWeb::tell(const std::shared_ptr<Line>& line) {
  auto host = hosts_.find(line->to);
  if (host == hosts_.end() || std::exchange(line->told, true)) return;
  host->second.lines.erase(line);
  auto& world = network_.world();
  world.at(world.now() + network_.latency(), [this, to = line->to, id = line->id] {
    auto found = hosts_.find(to);
    if (found == hosts_.end()) return;
    found->second.clock->after(Duration::zero(), [this, to, id] {
      if (auto open = hosts_.find(to); open != hosts_.end()) open->second.keeper->gone(id);
    });
  });
}

void SimulatedWeb::keepAlive(const Address& to, Duration keeps, const std::function<bool(const Address&)>& answers) {
  auto host = hosts_.find(to);
  if (host == hosts_.end()) return;
  auto now = network_.world().now();
  auto lines = host->second.lines;
  for (const auto& line : lines) {
    bool reached = network_.connected(line->from, to) && network_.connected(to, line->from);
    if (reached && answers(line->from)) {
      line->deadSince = Instant::max();
      if (!line->open) tell(line);
      continue;
    }
    line->deadSince = std::min(line->deadSince, now);
    if (now - line->deadSince < keeps) continue;
    end(line);
    tell(line);
  }
}

Task<std::unique_ptr<WebConnection>> SimulatedWebLink::open(Address address, Instant deadline) {
  Gate connected;
  auto latency = web_.network_.latency() + web_.network_.latency();
  if (auto cost = web_.opens_.find(address); cost != web_.opens_.end())
    latency += cost->second + Duration{web_.network_.world().below(static_cast<std::uint64_t>(3 * cost->second.count()) + 1)};
  co_await connected.wait(clock_, std::min(deadline, clock_.now() + latency));
  if (!web_.network_.connected(from_, address) || !web_.network_.connected(address, from_)) {
    co_await connected.wait(clock_, deadline);
    co_return nullptr;
  }
  auto host = web_.hosts_.find(address);
  if (host == web_.hosts_.end() || clock_.now() >= deadline) co_return nullptr;
  auto line = std::make_shared<SimulatedWeb::Line>();
  line->id = ConnectionId{++web_.last_};
  line->from = from_;
  line->to = address;
  host->second.lines.insert(line);
  co_return std::make_unique<SimulatedWebConnection>(web_, clock_, line);
}

}  // namespace tamarindshift
