#pragma once

#include <deque>

#include "base/gate.hpp"
#include "base/journal.hpp"
#include "base/task_scope.hpp"
#include "base/timings.hpp"
#include "control/report_messages.hpp"
#include "edge/door.hpp"
#include "edge/web_link.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

struct StandinDatabaseSettings {
  ServiceName service;
  DatabaseName name;
  Address address;
  Address platform;
  std::vector<Address> heartbeatsTo;
  std::uint32_t cap = 120;
  bool primary = false;
  bool tellsAddress = false;
  Duration work = 1ms;
  Duration heartbeat = 200ms;
  Duration semiSync = 500ms;
};

struct StandinHistoryEntry {
  Instant at{};
  ConnectionId connection;
  DatabaseRequest request;
  bool done = false;
  std::string role;
  Epoch epoch;
};

struct StandinOpening {
  Instant at{};
  std::uint32_t connections = 0;
};

struct StandinChange {
  std::uint64_t position = 0;
  std::map<std::string, std::string> writes;
};

struct StandinDatabaseDisk {
  Epoch epoch;
  std::uint64_t position = 0;
  std::map<std::string, std::string> data;
};

class StandinDatabase : public DoorKeeper {
 public:
  StandinDatabase(Clock& clock, WebLink& web, Journal& journal, StandinDatabaseSettings settings, std::uint64_t boot);

  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId connection) override;
  bool accept(ConnectionId connection);

  DatabaseStatus standing() const;
  StandinDatabaseDisk disk() const { return {epoch_, position_, data_}; }
  void restore(StandinDatabaseDisk disk);
  void slow(Duration work) { settings_.work = work; }
  void comeBack() { leaving_ = false; }
  void lieAboutContact() { lies_ = true; }
  void lieInHeartbeats() { liesInHeartbeats_ = true; }
  void hideReplication() { hides_ = true; }
  void boast(std::uint64_t positions) { boast_ = positions; }
  void lag(Duration lag) { lag_ = lag; }
  Task<bool> detach();
  const std::vector<StandinHistoryEntry>& history() const { return history_; }
  const std::map<std::string, std::string>& data() const { return data_; }
  const std::vector<StandinOpening>& openings() const { return openings_; }
  std::uint32_t mostConnections() const;
  std::uint32_t connections() const { return static_cast<std::uint32_t>(connections_.size()); }
  const StandinDatabaseSettings& settings() const { return settings_; }

 private:
  struct Connection {
    bool inTransaction = false;
    std::map<std::string, std::string> pending;
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> values;
  };

  Task<DoorReply> run(ConnectionId connection, std::string body);
  Task<DatabaseReply> runRequest(ConnectionId key, DatabaseRequest request);
  std::optional<std::string> apply(Connection& connection, const std::string& text, bool reads, std::string& result);
  std::string value(const Connection& connection, const std::string& key) const;
  struct Kept {
    bool kept = true;
    bool replicated = true;
    Position at;
  };
  Task<Kept> keep(std::map<std::string, std::string> writes);
  Task<DoorReply> pull(std::string body);
  std::string pullAsk() const;
  Task<void> replicate();
  Task<void> heartbeats();
  DatabaseHeartbeat heartbeat();
  DoorReply promote(const std::string& body);
  DoorReply demote(const std::string& body);

  Clock& clock_;
  WebLink& web_;
  Journal& journal_;
  StandinDatabaseSettings settings_;
  std::uint64_t boot_;
  std::string role_;
  Epoch epoch_;
  std::uint64_t position_ = 0;
  std::uint64_t replicated_ = 0;
  std::map<std::string, std::string> data_;
  std::deque<StandinChange> changes_;
  std::map<ConnectionId, Connection> connections_;
  std::vector<StandinOpening> openings_;
  std::uint64_t heartbeatNumber_ = 0;
  bool leaving_ = false;
  bool lies_ = false;
  bool liesInHeartbeats_ = false;
  bool hides_ = false;
  std::uint64_t boast_ = 0;
  Duration lag_{};
  std::optional<Instant> contactAt_;
  std::string lastSource_;
  std::vector<StandinHistoryEntry> history_;
  Gate changed_;
  Gate acked_;
  TaskScope scope_;
};

}  // namespace tamarindshift
