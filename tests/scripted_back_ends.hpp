/// Scripted databases behind a BackEndConnector, for tests of the pooler.
#pragma once

#include <deque>
#include <functional>
#include <map>

#include "base/gate.hpp"
#include "pooler/back_end.hpp"
#include "pooler/pooled_back_end.hpp"

namespace tamarindshift {

/// What a scripted database does with a statement. `unsent`: the connection is found to be closed; `silent`: the statement runs
/// and no reply comes.
enum class ScriptedOutcome {
  busy,
  behind,
  readOnly,
  failed,
  expired,
  unknownName,
  lostAfterRunning,
  lostBeforeRunning,
  unsent,
  slow,
  silent,
};

enum class ScriptedOpening { accepted, refused, overloaded, misdirected, hangs };

/// A statement that reached a database, with the state it met there.
struct ScriptedRun {
  std::uint64_t number = 0;
  std::uint64_t connection = 0;
  std::string database;
  Statement statement;
  std::optional<LogPosition> minPosition;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  LogPosition logPosition;
  bool inTransaction = false;
  bool ran = false;
  Instant at{};
  std::string stamp;
};

struct ScriptedDatabase {
  std::string name;
  bool primary = false;
  LogPosition logPosition;
  Duration runTime = 5ms;
  /// Added to `runTime` at the outcome `slow`.
  Duration slowDelay = 300ms;
  Duration openTime = 2ms;
  /// Between a commit at the primary and its arrival here.
  Duration lag = 2ms;
  /// Whether it receives the commits of the primary.
  bool replicates = true;
  /// Neither opens connections nor replies.
  bool unresponsive = false;
  /// Whether a rollback undoes the variables and prepared names set in its transaction.
  bool rollbackRestoresState = false;
  /// Outcomes of the next statements of each kind; a statement without one succeeds.
  std::map<StatementKind, std::deque<ScriptedOutcome>> next;
  ScriptedOpening opening = ScriptedOpening::accepted;
  std::uint32_t connections = 0;
  std::uint32_t peakConnections = 0;
  std::uint32_t openings = 0;
  Instant lastOpening{};
  std::vector<std::string> committed;
};

class ScriptedConnection;

class ScriptedBackEnds : public BackEndConnector {
 public:
  explicit ScriptedBackEnds(Clock& clock) : clock_(clock) {}

  ScriptedDatabase& add(const std::string& name, bool primary, LogPosition logPosition);
  ScriptedDatabase& at(const std::string& name) { return databases_.at(name); }
  const std::map<std::string, ScriptedDatabase>& databases() const { return databases_; }
  void script(const std::string& name, StatementKind kind, ScriptedOutcome outcome) { at(name).next[kind].push_back(outcome); }
  /// Closes all connections of a database from its side.
  void closeConnections(const std::string& name);
  Task<BackEndOpenResult> open(DatabaseTarget target, Instant deadline) override;

  std::vector<ScriptedRun> runs;
  /// Breaches of the protocol by the pooler.
  std::vector<std::string> violations;
  std::function<void(const ScriptedRun&)> onRun;

 private:
  friend class ScriptedConnection;
  struct ServerConnection;
  Task<BackEndReply> run(std::shared_ptr<ServerConnection> connection, Statement statement, std::optional<LogPosition> minPosition,
                         Instant deadline);
  BackEndReply execute(ServerConnection& connection, std::size_t number, std::optional<ScriptedOutcome> outcome);
  StatementFault effect(ServerConnection& connection, ScriptedRun& run);
  void commit(ScriptedDatabase& database, std::vector<std::string> ids);
  void close(ServerConnection& connection);
  static void rollBack(ServerConnection& connection);

  Clock& clock_;
  std::map<std::string, ScriptedDatabase> databases_;
  std::vector<std::weak_ptr<ServerConnection>> connections_;
  std::uint64_t lastConnection_ = 0;
};

}  // namespace tamarindshift
