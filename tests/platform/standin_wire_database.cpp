#include "tests/platform/standin_wire_database.hpp"

#include <algorithm>
#include <sstream>

#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

StandinWireDatabase::StandinWireDatabase(Clock& clock, StandinWireService& service, StandinWireDatabaseSettings settings, WireDisk disk)
    : clock_(clock),
      service_(service),
      world_(service.fabric().chance()),
      history_(service.history()),
      settings_(std::move(settings)),
      slots_(clock, settings_.slots, settings_.queue),
      log_(std::move(disk.log)),
      term_(disk.term),
      leads_(service.leader() == settings_.id && disk.term == service.term() && !disk.demoted),
      applied_(log_.size()),
      contact_(clock.now()) {
  service_.join(*this);
  scope_.spawn(follow());
  scope_.spawn(watchLead());
}

StandinWireDatabase::~StandinWireDatabase() {
  service_.part(*this);
}

std::uint64_t StandinWireDatabase::applied() {
  while (!appliedAt_.empty() && appliedAt_.front() <= clock_.now()) {
    appliedAt_.pop_front();
    ++applied_;
  }
  return applied_;
}

std::string StandinWireDatabase::position() {
  return wireText(log_.end(applied()));
}

Task<void> StandinWireDatabase::work(Duration mean) {
  if (clock_.now() < busyUntil_) co_await sleep(clock_, busyUntil_ - clock_.now());
  auto duration = mean / 2 + Duration{world_.below(static_cast<std::uint64_t>(mean.count()) + 1)};
  if (world_.chance(10)) duration *= 4;
  co_await sleep(clock_, duration * troubles_.slowness);
}

Task<bool> StandinWireDatabase::setUp(std::shared_ptr<LineConnection> line) {
  auto refuse = [&](const std::string& code) {
    line->write("ERROR " + code + " " + settings_.id + "\r\n");
    line->close();
    return false;
  };
  auto asked = co_await line->readLine(std::nullopt);
  if (!asked) co_return false;
  auto word = takeWireWord(*asked);
  auto service = takeWireWord(*asked);
  auto who = takeWireWord(*asked);
  if (word != "SETUP" || service.empty() || who.empty()) co_return refuse("MALFORMED");
  if (service != settings_.service || (!asked->empty() && *asked != settings_.id)) co_return refuse("MISROUTED");
  if (connections_ > settings_.trunkLimit) {
    ++history_.overloads;
    co_return refuse("OVERLOAD");
  }
  auto slot = co_await slots_.take();
  if (!slot) co_return refuse("CONGESTED");
  co_await work(settings_.newConnection);
  co_return line->write("IDLE I " + position() + "\r\n");
}

Task<void> StandinWireDatabase::serve(std::shared_ptr<LineConnection> line) {
  Counted counted(connections_);
  if (!co_await setUp(line)) co_return;
  Connection connection;
  connection.number = ++history_.lastConnection;
  while (auto message = co_await line->readLine(std::nullopt)) {
    auto word = takeWireWord(*message);
    if (word != "QUERY") co_return;
    auto id = takeWireWord(*message);
    auto index = history_.runs.size();
    DatabaseRun noted;
    noted.service = settings_.service;
    noted.database = settings_.id;
    noted.connection = connection.number;
    noted.id = id;
    noted.text = withoutAfter(*message);
    noted.effect = noted.text;
    noted.transaction = connection.transaction;
    noted.arrivedAt = clock_.now();
    noted.log = log_.end(applied());
    noted.values = connection.values;
    history_.runs.push_back(std::move(noted));
    auto answer = co_await run(connection, *message, index);
    auto& run = history_.runs[index];
    run.endedAt = clock_.now();
    run.ran = answer.ran;
    run.answer = answer.error.empty() ? "COMPLETE" : answer.error;
    run.stamp = answer.completion;
    run.rows = answer.rows;
    if (!answer.error.empty() && connection.state == 'T') connection.state = 'E';
    if (connection.state == 'I') {
      connection.transaction = 0;
      connection.writes.clear();
    }
    history_.runs[index].brokenOff = !send(*line, connection, answer);
  }
}

bool StandinWireDatabase::send(LineConnection& line, const Connection& connection, const Answer& answer) {
  std::string text;
  if (answer.error.empty()) {
    for (const auto& row : answer.rows) text += "ROW " + row + "\r\n";
    text += "COMPLETE " + answer.completion + "\r\n";
  } else {
    text += "ERROR " + answer.error + " " + settings_.id + "\r\n";
  }
  text += std::string("IDLE ") + connection.state + " " + position() + "\r\n";
  if (!answer.ran || !unlucky(troubles_.loseAnswer)) {
    line.write(std::move(text));
    return true;
  }
  auto kind = world_.below(3);
  if (kind == 0) return false;
  if (kind == 1) line.write(text.substr(0, world_.below(text.size())));
  line.close();
  return false;
}

bool StandinWireDatabase::lostLead(const Connection& connection) const {
  return connection.state == 'T' && !connection.readOnly && (!leads_ || term_ != connection.term);
}

bool StandinWireDatabase::lacks(const WireStatement& statement) {
  return statement.after && !log_.has(*statement.after, applied());
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::run(Connection& connection, std::string text, std::size_t run) {
  auto fault = [](const char* code) {
    return Answer{code, "-", {}, false};
  };
  auto statement = parseWireStatement(text);
  if (!statement) co_return fault("MALFORMED");
  history_.runs[run].verb = statement->verb;
  bool ends = statement->verb == WireVerb::commit || statement->verb == WireVerb::rollback;
  if (connection.state == 'E') {
    if (!ends) co_return fault("MALFORMED");
    rollBack(connection);
    if (statement->verb == WireVerb::commit) co_return fault("ABORTED");
    co_return Answer{};
  }
  if (statement->verb == WireVerb::execute) {
    auto prepared = connection.prepared.find(statement->name);
    if (prepared == connection.prepared.end()) co_return fault("UNKNOWN");
    history_.runs[run].shape = prepared->second.shape;
    statement->verb = prepared->second.reads ? WireVerb::read : WireVerb::write;
    history_.runs[run].effect =
        (prepared->second.reads ? "READ " : "WRITE ") + statement->thing + (statement->data.empty() ? "" : " " + statement->data);
    if (statement->after && !prepared->second.reads) co_return fault("MALFORMED");
  }
  history_.runs[run].writes = statement->verb == WireVerb::write;
  bool endsUnwritten = statement->verb == WireVerb::commit && connection.writes.empty();
  if (lostLead(connection) && !endsUnwritten && statement->verb != WireVerb::rollback) co_return fault("READONLY");
  switch (statement->verb) {
    case WireVerb::begin: {
      auto answer = begin(connection, *statement);
      history_.runs[run].transaction = connection.transaction;
      co_return answer;
    }
    case WireVerb::commit:
    case WireVerb::rollback:
      if (connection.state == 'I') co_return fault("MALFORMED");
      co_return co_await end(connection, statement->verb == WireVerb::commit, run);
    case WireVerb::read:
      co_return co_await read(connection, *statement, run);
    case WireVerb::write:
      co_return co_await write(connection, *statement, run);
    case WireVerb::status:
      co_return co_await status(run);
    case WireVerb::suspend:
      co_return co_await suspend(statement->term, run);
    case WireVerb::demote:
      co_return co_await demote(statement->term, run);
    case WireVerb::resume:
      heldTerm_ = 0;
      co_return Answer{};
    default:
      co_return keepNames(connection, *statement);
  }
}

StandinWireDatabase::Answer StandinWireDatabase::begin(Connection& connection, const WireStatement& statement) {
  if (connection.state == 'T') return Answer{"MALFORMED", "-", {}, false};
  if (!statement.reads && !leads_) return Answer{"READONLY", "-", {}, false};
  if (lacks(statement)) return Answer{"LAGGING", "-", {}, false};
  connection.state = 'T';
  connection.transaction = ++history_.lastTransaction;
  connection.readOnly = statement.reads;
  connection.term = term_;
  connection.writes.clear();
  connection.valuesBefore = connection.values;
  connection.preparedBefore = connection.prepared;
  return Answer{};
}

void StandinWireDatabase::rollBack(Connection& connection) {
  connection.state = 'I';
  if (!settings_.rollbackForgets) return;
  connection.values = connection.valuesBefore;
  connection.prepared = connection.preparedBefore;
}

StandinWireDatabase::Answer StandinWireDatabase::keepNames(Connection& connection, const WireStatement& statement) {
  if (statement.verb == WireVerb::set) connection.values[statement.name] = statement.data;
  if (statement.verb == WireVerb::prepare) connection.prepared[statement.name] = Prepared{statement.reads, statement.shape};
  if (statement.verb == WireVerb::discard && connection.prepared.erase(statement.name) == 0) return Answer{"UNKNOWN", "-", {}, false};
  if (statement.verb == WireVerb::reset) {
    if (connection.state != 'I') return Answer{"MALFORMED", "-", {}, false};
    connection.values.clear();
    connection.prepared.clear();
  }
  return Answer{};
}

StandinWireDatabase::Answer StandinWireDatabase::ranAs(std::size_t run, std::vector<std::string> rows) {
  if (unlucky(troubles_.fail)) return Answer{"FAILED", "-", {}, true};
  if (unlucky(troubles_.expire)) return Answer{"EXPIRED", "-", {}, true};
  std::ostringstream stamp;
  stamp << std::hex << ++history_.lastStamp << "." << run << "." << world_.below(std::uint64_t{1} << 62);
  return Answer{"", stamp.str(), std::move(rows), true};
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::read(Connection& connection, WireStatement statement, std::size_t run) {
  if (lacks(statement)) co_return Answer{"LAGGING", "-", {}, false};
  auto slot = co_await slots_.take();
  if (!slot) co_return Answer{"CONGESTED", "-", {}, false};
  if (lacks(statement)) co_return Answer{"LAGGING", "-", {}, false};
  if (lostLead(connection)) co_return Answer{"READONLY", "-", {}, false};
  auto within = applied();
  history_.runs[run].log = log_.end(within);
  auto own = connection.writes.find(statement.thing);
  auto row = statement.thing + "=" + (own == connection.writes.end() ? log_.read(statement.thing, within) : own->second);
  co_await work(settings_.read);
  std::vector<std::string> rows{row};
  co_return ranAs(run, std::move(rows));
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::write(Connection& connection, WireStatement statement, std::size_t run) {
  if (connection.state == 'T' ? connection.readOnly : !leads_) co_return Answer{"READONLY", "-", {}, false};
  auto slot = co_await slots_.take();
  if (!slot) co_return Answer{"CONGESTED", "-", {}, false};
  co_await work(settings_.write);
  if (connection.state == 'T') {
    if (lostLead(connection)) co_return Answer{"READONLY", "-", {}, false};
    connection.writes[statement.thing] = statement.data;
    co_return ranAs(run, {});
  }
  if (!leads_) co_return Answer{"READONLY", "-", {}, false};
  auto answer = ranAs(run, {});
  if (!answer.error.empty() && world_.below(2) == 0) co_return answer;
  std::map<std::string, std::string> writes{{statement.thing, statement.data}};
  bool held = co_await keep(std::move(writes), run);
  if (!held) co_return Answer{"FAILED", "-", {}, true};
  co_return answer;
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::end(Connection& connection, bool commits, std::size_t run) {
  if (!commits) {
    rollBack(connection);
    co_return Answer{};
  }
  auto slot = co_await slots_.take();
  if (!slot) co_return Answer{"CONGESTED", "-", {}, false};
  co_await work(settings_.commit);
  if (!connection.writes.empty() && lostLead(connection)) co_return Answer{"READONLY", "-", {}, false};
  connection.state = 'I';
  auto answer = ranAs(run, {});
  if (connection.writes.empty() || (!answer.error.empty() && world_.below(2) == 0)) co_return answer;
  bool held = co_await keep(std::exchange(connection.writes, {}), run);
  if (!held) co_return Answer{"FAILED", "-", {}, true};
  co_return answer;
}

Task<bool> StandinWireDatabase::keep(std::map<std::string, std::string> writes, std::size_t run) {
  auto term = term_;
  WireLogEntry entry{WirePosition{term_, log_.size() + 1}, std::move(writes), clock_.now()};
  auto number = entry.position.number;
  history_.runs[run].kept = entry.position;
  history_.runs[run].keptAt = clock_.now();
  log_.append(std::move(entry));
  applied_ = log_.size();
  changed_.open();
  if (!service_.syncReplicas()) co_return true;
  while (leads_ && term_ == term && replicated_ < number) {
    auto again = clock_.now() + 100ms;
    co_await replicaAnswered_.wait(clock_, again);
  }
  co_return leads_&& term_ == term;
}

std::string StandinWireDatabase::statusRow() {
  auto waiting = log_.size() - applied();
  auto silence = clock_.now() - contact_;
  auto lag = leads_            ? Duration::zero()
             : waiting > 0     ? clock_.now() - log_.entry(applied_ + 1).keptAt
             : silence > 200ms ? silence
                               : Duration::zero();
  std::ostringstream row;
  row << (leads_ ? "primary" : "replica") << " " << term_ << " " << wireText(log_.end(log_.size())) << " " << heldTerm_ << " "
      << milliseconds(lag).count() << " " << slots_.busy() << " " << connections_;
  return row.str();
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::status(std::size_t run) {
  auto slot = co_await slots_.take();
  if (!slot) co_return Answer{"CONGESTED", "-", {}, false};
  co_await work(settings_.status);
  history_.runs[run].log = log_.end(applied());
  std::vector<std::string> rows{statusRow()};
  co_return Answer{"", "-", std::move(rows), true};
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::suspend(std::uint64_t term, std::size_t run) {
  if (leads_ || term <= term_) co_return Answer{"MALFORMED", "-", {}, false};
  heldTerm_ = std::max(heldTerm_, term);
  co_return co_await status(run);
}

Task<StandinWireDatabase::Answer> StandinWireDatabase::demote(std::uint64_t term, std::size_t run) {
  if (leads_ && term_ < term) stepDown();
  co_return co_await status(run);
}

void StandinWireDatabase::lead(std::uint64_t term) {
  term_ = term;
  leads_ = true;
  heldTerm_ = 0;
  replicated_ = 0;
  appliedAt_.clear();
  applied_ = log_.size();
  outranked_.reset();
  changed_.open();
  roleChanged();
}

void StandinWireDatabase::stepDown() {
  leads_ = false;
  outranked_.reset();
  contact_ = clock_.now();
  changed_.open();
  replicaAnswered_.open();
  roleChanged();
}

void StandinWireDatabase::replicaHas(std::uint64_t number) {
  if (number <= replicated_) return;
  replicated_ = number;
  replicaAnswered_.open();
}

Task<void> StandinWireDatabase::watchLead() {
  for (;;) {
    co_await sleep(clock_, 50ms);
    auto* other = leads_ ? service_.leaderFor(*this) : nullptr;
    if (!other || other->term() <= term_) {
      outranked_.reset();
      continue;
    }
    if (!outranked_) outranked_ = clock_.now();
    if (clock_.now() - *outranked_ >= 1s) stepDown();
  }
}

Task<void> StandinWireDatabase::follow() {
  auto followed = [this]() -> StandinWireDatabase* {
    if (leads_ || troubles_.receivesNothing) return nullptr;
    auto* leader = service_.leaderFor(*this);
    return leader && (heldTerm_ == 0 || leader->term() > term_) ? leader : nullptr;
  };
  for (;;) {
    auto* leader = followed();
    if (!leader) {
      co_await sleep(clock_, 20ms);
      continue;
    }
    auto patience = clock_.now() + 100ms;
    if (leader->term() == term_ && leader->log_.size() == log_.size()) co_await leader->changed_.wait(clock_, patience);
    co_await sleep(clock_, service_.fabric().latency());
    leader = followed();
    if (leader) catchUp(*leader);
  }
}

void StandinWireDatabase::catchUp(StandinWireDatabase& leader) {
  contact_ = clock_.now();
  auto common = log_.commonWith(leader.log_);
  if (common < log_.size()) {
    applied();
    log_.cutBack(common);
    applied_ = std::min(applied_, common);
    while (applied_ + appliedAt_.size() > common) appliedAt_.pop_back();
    busyUntil_ = clock_.now() + 200ms;
  }
  if (leader.term() > term_) heldTerm_ = 0;
  term_ = leader.term();
  for (auto number = common + 1; number <= leader.log_.size(); ++number) {
    auto lag = settings_.lag / 2 + Duration{world_.below(static_cast<std::uint64_t>(settings_.lag.count()) + 1)};
    auto at = clock_.now() + lag * troubles_.lagFactor;
    if (!appliedAt_.empty()) at = std::max(at, appliedAt_.back());
    appliedAt_.push_back(at);
    log_.append(leader.log_.entry(number));
  }
  service_.received(*this, leader, log_.size());
}

}  // namespace tamarindshift::testing
