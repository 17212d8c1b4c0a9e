#include "tests/platform/standin_wire_clients.hpp"

#include <algorithm>

namespace tamarindshift::testing {

void StandinWireClients::start(ClientKind kind) {
  auto shared = std::make_shared<const ClientKind>(std::move(kind));
  for (std::size_t index = 0; index < shared->sessions; ++index) scope_.spawn(client(shared, ++clients_));
}

void StandinWireClients::visit(const ClientKind& kind, Duration lasting) {
  auto shared = std::make_shared<const ClientKind>(kind);
  for (auto& node : entry_.readyFronts()) scope_.spawn(visitor(shared, std::move(node), clock_.now() + lasting));
}

Task<void> StandinWireClients::visitor(std::shared_ptr<const ClientKind> kind, Address node, Instant until) {
  ++running_;
  StandinWireSession session(clock_, link_, world_, history_, *kind);
  while (!stopping_ && clock_.now() < until) {
    co_await operation(session, *kind, 0, node);
    if (kind->singleOperation) session.close();
    co_await session.rest(kind->pause);
  }
  session.close();
  --running_;
}

Task<void> StandinWireClients::client(std::shared_ptr<const ClientKind> kind, std::uint64_t number) {
  ++running_;
  StandinWireSession session(clock_, link_, world_, history_, *kind);
  while (!stopping_) {
    auto pause = kind->pause / press_;
    co_await session.rest(pause / 2 + Duration{world_.below(static_cast<std::uint64_t>(pause.count()) + 1)});
    if (stopping_) break;
    co_await operation(session, *kind, number);
    if (kind->singleOperation) session.close();
  }
  session.close();
  --running_;
}

StandinWireClients::Plan StandinWireClients::plan(const ClientKind& kind) {
  Plan made;
  auto thing = [&] {
    return std::to_string(world_.below(kind.things));
  };
  auto write = [&] {
    return "WRITE " + thing() + " w" + std::to_string(++written_);
  };
  made.transaction = happens(kind.transactions);
  made.leaves = happens(kind.leaves);
  if (!made.transaction) {
    made.writes = happens(kind.writes);
    made.steps.push_back(made.writes ? write() : "READ " + thing());
    return made;
  }
  auto amount = 1 + world_.below(kind.mostSteps);
  for (std::size_t index = 0; index < amount; ++index) {
    bool writes = happens(kind.writes);
    made.writes = made.writes || writes;
    made.steps.push_back(writes ? write() : "READ " + thing());
  }
  made.rollsBack = happens(kind.rollBacks);
  bool reads = !made.writes && (kind.routeClass != RouteClass::primary || world_.below(2) == 0);
  made.steps.insert(made.steps.begin(), reads ? "BEGIN READ" : "BEGIN");
  made.steps.push_back(made.rollsBack ? "ROLLBACK" : "COMMIT");
  return made;
}

std::size_t StandinWireClients::beginTry(const ClientKind& kind, const Plan& plan, std::size_t operation) {
  ClientTry made;
  made.operation = operation;
  made.hostName = kind.hostName;
  made.routeClass = kind.routeClass;
  made.staleness = kind.staleness;
  made.transaction = plan.transaction;
  history_.tries.push_back(std::move(made));
  ++history_.operations[operation].tries;
  return history_.tries.size() - 1;
}

StandinWireClients::Verdict StandinWireClients::end(const Underway& underway, TryEnd end, Verdict verdict) {
  auto& attempt = history_.tries[underway.attempt];
  attempt.end = end;
  attempt.endedAt = clock_.now();
  return verdict;
}

Task<void> StandinWireClients::operation(StandinWireSession& session, const ClientKind& kind, std::uint64_t number,
                                         std::optional<Address> visited) {
  auto planned = plan(kind);
  Underway underway;
  underway.operation = history_.operations.size();
  ClientOperation begun;
  begun.hostName = kind.hostName;
  begun.zone = zone_.value_or(kind.zone);
  begun.beganAt = clock_.now();
  begun.visits = visited.has_value();
  history_.operations.push_back(begun);
  underway.deadline = clock_.now() + kind.deadline;
  auto verdict = Verdict::again;
  for (std::size_t attempt = 0; attempt <= kind.furtherTries && verdict == Verdict::again && clock_.now() < underway.deadline; ++attempt) {
    if (attempt > 0) co_await session.rest(10ms + Duration{world_.below(50'000)});
    underway.attempt = beginTry(kind, planned, underway.operation);
    underway.sentForGood = false;
    session.newTry();
    auto node = visited ? visited : entry_.choose(begun.zone, number, attempt);
    verdict = co_await tryOnce(session, kind, planned, underway, node);
  }
  auto& noted = history_.operations[underway.operation];
  noted.endedAt = clock_.now();
  noted.ended = true;
  noted.served = verdict == Verdict::served;
}

Task<StandinWireClients::Verdict> StandinWireClients::tryOnce(StandinWireSession& session, const ClientKind& kind, const Plan& plan,
                                                              Underway& underway, std::optional<Address> node) {
  bool ready = co_await session.ready(underway.attempt, node);
  if (!ready) co_return end(underway, TryEnd::failed, Verdict::again);
  auto failed = co_await names(session, kind, underway);
  if (failed) co_return *failed;
  co_return co_await steps(session, kind, plan, underway);
}

Task<std::optional<StandinWireClients::Verdict>> StandinWireClients::names(StandinWireSession& session, const ClientKind& kind,
                                                                           Underway& underway) {
  std::vector<std::string> texts;
  if (happens(kind.names)) texts.push_back("SET zone s" + std::to_string(session.number()) + " v" + std::to_string(++session.setAt()));
  if (happens(kind.names)) {
    bool writes = world_.below(2) == 0;
    std::string name = writes ? "w" : "r";
    bool held = session.prepared().contains(name);
    bool discards = held && world_.below(3) == 0;
    if (discards) texts.push_back("DISCARD " + name);
    if (!held || discards) texts.push_back("PREPARE " + name + (writes ? " WRITE" : " READ") + " q" + std::to_string(world_.below(5)));
  }
  for (const auto& text : texts) {
    auto asked = text;
    auto reply = co_await session.ask(underway.attempt, std::move(asked), underway.deadline);
    if (reply.end == WireEnd::complete && reply.state == 'I') {
      if (text.starts_with("PREPARE")) session.prepared().insert(text.substr(8, 1));
      if (text.starts_with("DISCARD")) session.prepared().erase(text.substr(8, 1));
      continue;
    }
    session.drop();
    co_return end(underway, TryEnd::failed, Verdict::again);
  }
  co_return std::nullopt;
}

std::string StandinWireClients::statement(StandinWireSession& session, const std::string& step) {
  std::string name = step.starts_with("WRITE ") ? "w" : step.starts_with("READ ") ? "r" : "";
  if (name.empty() || !session.prepared().contains(name) || world_.below(2) == 0) return step;
  return "EXECUTE " + name + step.substr(step.find(' '));
}

Task<StandinWireClients::Verdict> StandinWireClients::steps(StandinWireSession& session, const ClientKind& kind, const Plan& plan,
                                                            Underway& underway) {
  auto leavesAt = plan.leaves ? world_.below(plan.steps.size()) : plan.steps.size();
  for (std::size_t index = 0; index < plan.steps.size(); ++index) {
    const auto& step = plan.steps[index];
    if (plan.transaction && index > 1) {
      auto pause = Duration{world_.below(2 * static_cast<std::uint64_t>(kind.stepPause.count()) + 1)};
      co_await session.rest(pause);
      underway.deadline += pause;
      history_.operations[underway.operation].paused += pause;
      if (!session.open()) co_return end(underway, TryEnd::unknown, Verdict::again);
    }
    if (index == leavesAt && plan.transaction) {
      session.drop();
      history_.operations[underway.operation].left = true;
      co_return end(underway, TryEnd::left, Verdict::over);
    }
    bool single = !plan.transaction;
    underway.sentForGood = underway.sentForGood || step == "COMMIT" || (single && plan.writes);
    auto text = statement(session, step);
    auto reply = co_await session.ask(underway.attempt, std::move(text), underway.deadline);
    bool last = index + 1 == plan.steps.size();
    if (reply.end != WireEnd::complete) co_return co_await afterFailure(session, plan, underway, std::move(reply));
    if (reply.state == (last || single ? 'I' : 'T')) continue;
    session.drop();
    history_.faults.push_back("state " + std::string(1, reply.state) + " after '" + step + "' in session " +
                              std::to_string(session.number()));
    if (!last) co_return end(underway, TryEnd::unknown, underway.sentForGood ? Verdict::over : Verdict::again);
  }
  co_return end(underway, plan.rollsBack ? TryEnd::rolledBack : TryEnd::served, Verdict::served);
}

Task<StandinWireClients::Verdict> StandinWireClients::afterFailure(StandinWireSession& session, const Plan& plan, Underway& underway,
                                                                   WireReply reply) {
  if (reply.end != WireEnd::error) {
    session.drop();
    bool over = underway.sentForGood || clock_.now() >= underway.deadline;
    co_return end(underway, TryEnd::unknown, over ? Verdict::over : Verdict::again);
  }
  if (session.open() && session.state() != 'I') {
    auto ended = co_await session.ask(underway.attempt, "ROLLBACK", underway.deadline);
    if (ended.state != 'I') session.drop();
  }
  if (promisesNothingKept(reply.code)) co_return end(underway, TryEnd::promised, Verdict::again);
  bool again = reply.code == "FAILED" ? !plan.writes : !underway.sentForGood;
  co_return end(underway, again ? TryEnd::failed : TryEnd::unknown, again ? Verdict::again : Verdict::over);
}

}  // namespace tamarindshift::testing
