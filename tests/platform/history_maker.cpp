#include "tests/platform/history_maker.hpp"

namespace tamarindshift::testing {

HistoryMaker::HistoryMaker() {
  history.services.terms.push_back(TermStart{"orders", "a", 1, 0, at(0s)});
  history.services.syncReplicas["orders"] = true;
  sent(configuration(1), 100ms, 200ms);
}

PlatformConfiguration HistoryMaker::configuration(std::uint64_t revision) const {
  PlatformConfiguration made;
  made.revision = revision;
  made.services.push_back(PlatformService{"orders", 120, 1});
  made.services.push_back(PlatformService{"stock", 120, 0});
  auto route = [&](const std::string& host, RouteClass routeClass) {
    PlatformRoute each;
    each.name = "r-" + host;
    each.hostName = host;
    each.routeClass = routeClass;
    each.targetService = "orders";
    each.staleness = std::chrono::milliseconds{routeClass == RouteClass::primary ? 0 : 1000};
    made.routes.push_back(each);
  };
  route("shop", RouteClass::primary);
  route("list", RouteClass::boundedStaleness);
  route("own", RouteClass::inHouse);
  return made;
}

ConfigurationSent& HistoryMaker::sent(const PlatformConfiguration& configuration, Duration when, std::optional<Duration> acknowledged) {
  ConfigurationSent each;
  each.body = configurationJson(configuration);
  each.configuration = configuration;
  each.valid = configuration.valid();
  each.node = Address{"10.1.0.1:90"};
  each.sentAt = at(when);
  if (acknowledged) each.acknowledgedAt = at(*acknowledged);
  history.operators.sent.push_back(std::move(each));
  return history.operators.sent.back();
}

void HistoryMaker::readBack(const PlatformConfiguration& configuration, Duration when) {
  history.operators.reads.push_back(ConfigurationRead{at(when), configurationJson(configuration)});
}

std::size_t HistoryMaker::attempt(std::size_t session, const std::string& hostName, bool transaction) {
  ClientTry made;
  made.operation = history.clients.tries.size();
  made.session = session;
  made.node = Address{"10.2.0.1:80"};
  made.hostName = hostName;
  made.routeClass = hostName == "list" ? RouteClass::boundedStaleness : hostName == "own" ? RouteClass::inHouse : RouteClass::primary;
  made.staleness = hostName == "shop" ? Duration::zero() : Duration{1s};
  made.transaction = transaction;
  history.clients.tries.push_back(std::move(made));
  return history.clients.tries.size() - 1;
}

ClientStatement& HistoryMaker::asks(std::size_t attempt, const std::string& text, Duration when) {
  ClientStatement statement;
  statement.id = "q" + std::to_string(++ids_);
  statement.text = text;
  statement.sentAt = at(when);
  statement.reply.end = WireEnd::silent;
  history.clients.tries[attempt].statements.push_back(std::move(statement));
  return history.clients.tries[attempt].statements.back();
}

DatabaseRun& HistoryMaker::runOnly(const ClientStatement& statement, Duration when, const std::string& database) {
  DatabaseRun run;
  run.service = "orders";
  run.database = database;
  run.connection = 1;
  run.id = statement.id;
  run.text = statement.text;
  run.effect = statement.text;
  if (auto parsed = parseWireStatement(statement.text)) run.verb = parsed->verb;
  run.writes = run.verb == WireVerb::write;
  run.arrivedAt = at(when);
  run.endedAt = at(when + 1ms);
  run.ran = run.verb == WireVerb::read || run.verb == WireVerb::write || run.verb == WireVerb::execute || run.verb == WireVerb::commit;
  run.log = WirePosition{1, 0};
  run.answer = "COMPLETE";
  run.stamp = run.ran ? "s" + std::to_string(++ids_) : "-";
  if (run.verb == WireVerb::read) run.rows = {statement.text + " row"};
  history.services.runs.push_back(std::move(run));
  return history.services.runs.back();
}

DatabaseRun& HistoryMaker::runs(std::size_t attempt, const std::string& text, Duration when, const std::string& database) {
  const auto& statement = asks(attempt, text, when);
  auto& run = runOnly(statement, when + 1ms, database);
  WireReply reply;
  reply.end = WireEnd::complete;
  reply.stamp = run.stamp;
  reply.rows = run.rows;
  reply.state = 'I';
  reply.at = at(when + 3ms);
  answer(attempt, reply);
  return run;
}

void HistoryMaker::answer(std::size_t attempt, const WireReply& reply) {
  auto& statement = history.clients.tries[attempt].statements.back();
  statement.reply = reply;
  statement.endedAt = reply.at;
}

void HistoryMaker::refuse(std::size_t attempt, const std::string& code, Duration when) {
  WireReply reply;
  reply.end = WireEnd::error;
  reply.code = code;
  reply.at = at(when);
  answer(attempt, reply);
}

void HistoryMaker::close(std::size_t attempt, Duration when) {
  WireReply reply;
  reply.end = WireEnd::closed;
  reply.at = at(when);
  answer(attempt, reply);
}

void HistoryMaker::keep(DatabaseRun& run, std::uint64_t term, std::uint64_t number) {
  run.kept = WirePosition{term, number};
  run.keptAt = run.endedAt;
}

void HistoryMaker::operation(Duration began, bool served) {
  ClientOperation made;
  made.hostName = "shop";
  made.beganAt = at(began);
  made.endedAt = at(began + 10ms);
  made.ended = true;
  made.served = served;
  history.clients.operations.push_back(made);
}

}  // namespace tamarindshift::testing
