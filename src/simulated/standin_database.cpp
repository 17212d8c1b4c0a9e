#include "simulated/standin_database.hpp"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

#include "control/heartbeat_json.hpp"
#include "edge/door_replies.hpp"
#include "proxy/database_json.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

StandinDatabase::StandinDatabase(Clock& clock, WebLink& web, Journal& journal, StandinDatabaseSettings settings, std::uint64_t boot)
    : clock_(clock),
      web_(web),
      journal_(journal),
      settings_(std::move(settings)),
      boot_(boot),
      role_(settings_.primary ? "primary" : "replica") {
  scope_.spawn(replicate());
  scope_.spawn(heartbeats());
}

DatabaseStatus StandinDatabase::standing() const {
  Duration age = role_ == "primary" || lies_ ? Duration::zero() : contactAt_ ? clock_.now() - *contactAt_ : Duration{3600s};
  return DatabaseStatus{role_, epoch_, Position{position_ + (role_ == "primary" ? 0 : boast_)}, age, epoch_};
}

void StandinDatabase::restore(StandinDatabaseDisk disk) {
  epoch_ = disk.epoch;
  position_ = disk.position;
  data_ = std::move(disk.data);
}

bool StandinDatabase::accept(ConnectionId connection) {
  if (connections_.contains(connection)) return true;
  if (connections_.size() >= settings_.cap) {
    journal_.count("connections.over_cap");
    return false;
  }
  connections_[connection];
  openings_.push_back(StandinOpening{clock_.now(), connections()});
  return true;
}

void StandinDatabase::gone(ConnectionId connection) {
  connections_.erase(connection);
}

std::uint32_t StandinDatabase::mostConnections() const {
  std::uint32_t most = 0;
  for (const auto& opening : openings_) most = std::max(most, opening.connections);
  return most;
}

Task<DoorReply> StandinDatabase::serve(DoorRequest request) {
  if (request.path == "/run" && request.method == "POST") co_return co_await run(request.connection, std::move(request.body));
  if (request.path == "/status") co_return DoorReply{200, statusToJson(standing()), std::nullopt};
  if (request.path == "/pull" && request.method == "POST") co_return co_await pull(std::move(request.body));
  if (request.path == "/promote" && request.method == "POST") co_return promote(request.body);
  if (request.path == "/demote" && request.method == "POST") co_return demote(request.body);
  if (request.path == "/leave" && request.method == "POST") {
    bool taken = co_await detach();
    co_return taken ? DoorReply{200, "{}", std::nullopt} : refusal(503, "no node took the Detach");
  }
  if (request.path == "/return" && request.method == "POST") {
    leaving_ = false;
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.path == "/slow" && request.method == "POST") {
    settings_.work = std::chrono::milliseconds{Json::parse(request.body).at("work_ms").get<int>()};
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.path == "/data") co_return DoorReply{200, Json(data_).dump(), std::nullopt};
  if (request.path == "/counters")
    co_return DoorReply{200,
                        Json{{"requests", history_.size()},
                             {"connections", connections_.size()},
                             {"most_connections", mostConnections()},
                             {"cap", settings_.cap}}
                            .dump(),
                        std::nullopt};
  co_return refusal(404, "no such path");
}

Task<DoorReply> StandinDatabase::run(ConnectionId connection, std::string body) {
  auto request = requestFromJson(body);
  if (!request) co_return refusal(400, "malformed");
  if (!accept(connection)) co_return refusal(503, "too many connections");
  auto entry = history_.size();
  history_.push_back(StandinHistoryEntry{clock_.now(), connection, *request, false, role_, epoch_});
  auto reply = co_await runRequest(connection, std::move(*request));
  history_[entry].done = reply.done;
  co_return DoorReply{200, replyToJson(reply), std::nullopt};
}

Task<DatabaseReply> StandinDatabase::runRequest(ConnectionId key, DatabaseRequest request) {
  co_await sleep(clock_, settings_.work);
  auto fail = [this](const std::string& reason) {
    return DatabaseReply{false, true, reason, {}, standing(), {}};
  };
  auto found = connections_.find(key);
  if (found == connections_.end()) co_return fail("connection is gone");
  auto& connection = found->second;
  std::string text = request.text;
  bool mayKeep = !request.reads && (request.operation == Operation::statement || request.operation == Operation::execute ||
                                    request.operation == Operation::begin || request.operation == Operation::commit);
  if (mayKeep && role_ != "primary") co_return fail("not primary");
  switch (request.operation) {
    case Operation::begin:
      connection.inTransaction = true;
      connection.pending.clear();
      co_return DatabaseReply{true, true, {}, {}, standing(), {}};
    case Operation::rollback:
      connection.inTransaction = false;
      connection.pending.clear();
      co_return DatabaseReply{true, true, {}, {}, standing(), {}};
    case Operation::commit: {
      auto writes = std::exchange(connection.pending, {});
      connection.inTransaction = false;
      Kept kept;
      if (!writes.empty()) kept = co_await keep(std::move(writes));
      if (!kept.kept) co_return fail("not primary");
      co_return DatabaseReply{true, kept.replicated, {}, {}, standing(), kept.at};
    }
    case Operation::prepare:
      connection.prepared[request.name] = request.text;
      co_return DatabaseReply{true, true, {}, {}, standing(), {}};
    case Operation::set:
      connection.values[request.name] = request.text;
      co_return DatabaseReply{true, true, {}, {}, standing(), {}};
    case Operation::execute: {
      auto prepared = connection.prepared.find(request.name);
      if (prepared == connection.prepared.end()) co_return fail("no such prepared statement");
      text = prepared->second;
      for (std::size_t index = 0; index < request.parameters.size(); ++index) {
        auto mark = "$" + std::to_string(index + 1);
        auto place = text.find(mark);
        if (place != std::string::npos) text.replace(place, mark.size(), request.parameters[index].value_or("null"));
      }
      break;
    }
    case Operation::statement:
      break;
  }
  std::string result;
  bool within = connection.inTransaction;
  if (auto fault = apply(connection, text, request.reads, result)) co_return fail(*fault);
  Kept kept;
  if (!within && !connection.pending.empty()) {
    auto writes = std::exchange(connection.pending, {});
    kept = co_await keep(std::move(writes));
    if (!kept.kept) co_return fail("not primary");
  }
  co_return DatabaseReply{true, kept.replicated, {}, result, standing(), kept.at};
}

std::string StandinDatabase::value(const Connection& connection, const std::string& key) const {
  if (auto found = connection.pending.find(key); found != connection.pending.end()) return found->second;
  auto found = data_.find(key);
  return found == data_.end() ? "" : found->second;
}

std::optional<std::string> StandinDatabase::apply(Connection& connection, const std::string& text, bool reads, std::string& result) {
  std::istringstream words(text);
  std::string verb, key, rest;
  words >> verb >> key;
  std::getline(words >> std::ws, rest);
  if (verb == "get") {
    result = value(connection, key);
  } else if (verb == "show") {
    result = connection.values[key];
  } else if (verb == "put" && !reads) {
    connection.pending[key] = rest;
  } else if (verb == "append" && !reads) {
    connection.pending[key] = value(connection, key) + rest + ",";
  } else if (verb == "add" && !reads) {
    auto before = value(connection, key);
    auto sum = (before.empty() ? 0 : std::atoll(before.c_str())) + std::atoll(rest.c_str());
    result = connection.pending[key] = std::to_string(sum);
  } else if (verb == "put" || verb == "append" || verb == "add") {
    return "declared as reads";
  } else {
    result = text;
  }
  return std::nullopt;
}

Task<StandinDatabase::Kept> StandinDatabase::keep(std::map<std::string, std::string> writes) {
  Kept kept;
  kept.kept = role_ == "primary";
  if (!kept.kept) co_return kept;
  for (const auto& [key, value] : writes) data_[key] = value;
  auto position = ++position_;
  changes_.push_back(StandinChange{position, std::move(writes)});
  if (changes_.size() > 5000) changes_.pop_front();
  changed_.open();
  auto deadline = clock_.now() + settings_.semiSync;
  while (replicated_ < position && clock_.now() < deadline && role_ == "primary") co_await acked_.wait(clock_, deadline);
  kept.at = Position{position};
  kept.replicated = hides_ || replicated_ >= position;
  if (replicated_ < position) journal_.count("commits.not_replicated");
  co_return kept;
}

Task<DoorReply> StandinDatabase::pull(std::string body) {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object() || role_ != "primary") co_return refusal(409, "not primary");
  auto have = json.value("have", std::uint64_t{0});
  auto epoch = json.value("epoch", std::uint64_t{0});
  bool same = epoch == epoch_.get() && have <= position_ && (changes_.empty() ? have == position_ : have + 1 >= changes_.front().position);
  if (same) {
    if (have > replicated_) {
      replicated_ = have;
      acked_.open();
    }
    if (have == position_) co_await changed_.wait(clock_, clock_.now() + 100ms);
    if (role_ != "primary") co_return refusal(409, "not primary");
    Json changes = Json::array();
    for (auto change = changes_.rbegin(); change != changes_.rend() && change->position > have; ++change)
      changes.insert(changes.begin(), Json{{"position", change->position}, {"writes", change->writes}});
    co_return DoorReply{200, Json{{"epoch", epoch_.get()}, {"changes", changes}}.dump(), std::nullopt};
  }
  co_return DoorReply{200, Json{{"epoch", epoch_.get()}, {"position", position_}, {"data", data_}}.dump(), std::nullopt};
}

std::string StandinDatabase::pullAsk() const {
  return Json{{"have", position_}, {"epoch", epoch_.get()}}.dump();
}

Task<void> StandinDatabase::replicate() {
  for (;;) {
    if (role_ == "primary") {
      co_await sleep(clock_, 100ms);
      continue;
    }
    auto found = co_await web_.call(settings_.platform, "GET", "/primary/" + settings_.service.get(), {}, clock_.now() + 500ms);
    auto json = found ? Json::parse(found->body, nullptr, false) : Json{};
    if (!found || found->status != 200 || !json.is_object()) {
      co_await sleep(clock_, 200ms);
      continue;
    }
    Address primary{json.value("address", "")};
    auto asked = clock_.now();
    auto connection = co_await web_.open(primary, clock_.now() + 500ms);
    while (connection && connection->usable() && role_ != "primary") {
      auto started = clock_.now();
      std::string ask = pullAsk();
      auto outcome = co_await connection->exchange("POST", "/pull", std::move(ask), clock_.now() + 1s);
      if (outcome.fate != PassFate::replied || outcome.status != 200 || role_ == "primary") break;
      auto pulled = Json::parse(outcome.body, nullptr, false);
      if (!pulled.is_object() || Epoch{pulled.value("epoch", std::uint64_t{0})} < epoch_) break;
      if (lag_ > Duration::zero()) co_await sleep(clock_, lag_);
      if (pulled.contains("data")) {
        data_ = pulled["data"].get<std::map<std::string, std::string>>();
        position_ = pulled["position"].get<std::uint64_t>();
      } else {
        for (const auto& change : pulled["changes"]) {
          position_ = change["position"].get<std::uint64_t>();
          for (const auto& [key, value] : change["writes"].items()) data_[key] = value.get<std::string>();
        }
      }
      epoch_ = Epoch{pulled["epoch"].get<std::uint64_t>()};
      contactAt_ = started;
      if (clock_.now() - asked > 2s) break;
    }
    connection.reset();
    co_await sleep(clock_, 5ms);
  }
}

DatabaseHeartbeat StandinDatabase::heartbeat() {
  auto own = standing();
  if (liesInHeartbeats_) own.contactAge = Duration::zero();
  DatabaseHeartbeat heartbeat{
      settings_.service, settings_.name, boot_, ++heartbeatNumber_, own.role, own.epoch, own.position, own.contactAge, leaving_, {}, {}, 0};
  if (settings_.tellsAddress) {
    heartbeat.address = settings_.address;
    heartbeat.capacity = settings_.cap;
  }
  return heartbeat;
}

Task<void> StandinDatabase::heartbeats() {
  for (std::size_t attempt = 0;; ++attempt) {
    if (!settings_.heartbeatsTo.empty()) {
      auto node = settings_.heartbeatsTo[attempt % settings_.heartbeatsTo.size()];
      auto outcome = co_await web_.call(node, "POST", "/heartbeat", heartbeatToJson(heartbeat()), clock_.now() + settings_.heartbeat);
      if (!outcome) continue;
    }
    co_await sleep(clock_, settings_.heartbeat);
  }
}

Task<bool> StandinDatabase::detach() {
  leaving_ = true;
  for (const auto& node : settings_.heartbeatsTo) {
    auto outcome = co_await web_.call(node, "POST", "/detach", heartbeatToJson(heartbeat()), clock_.now() + 2s);
    if (outcome && outcome->status == 200) co_return true;
  }
  co_return false;
}

DoorReply StandinDatabase::promote(const std::string& body) {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return refusal(400, "malformed");
  Epoch epoch{json.value("epoch", std::uint64_t{0})};
  if (epoch < epoch_) return refusal(409, "an older epoch");
  if (role_ != "primary" || epoch != epoch_) {
    journal_.line("promoted to epoch " + std::to_string(epoch.get()));
    replicated_ = 0;
    changes_.clear();
  }
  epoch_ = epoch;
  role_ = "primary";
  return DoorReply{200, statusToJson(standing()), std::nullopt};
}

DoorReply StandinDatabase::demote(const std::string& body) {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return refusal(400, "malformed");
  Epoch epoch{json.value("epoch", std::uint64_t{0})};
  if (role_ == "primary" && epoch <= epoch_) return refusal(409, "an older epoch");
  if (role_ == "primary") journal_.line("demoted");
  role_ = "replica";
  contactAt_.reset();
  changed_.open();
  return DoorReply{200, statusToJson(standing()), std::nullopt};
}

}  // namespace tamarindshift
