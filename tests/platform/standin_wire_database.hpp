#pragma once

#include "base/task_scope.hpp"
#include "edge/line_keeper.hpp"
#include "tests/platform/standin_wire_database_settings.hpp"
#include "tests/platform/standin_wire_service.hpp"
#include "tests/platform/wire_disk.hpp"
#include "tests/platform/wire_troubles.hpp"
#include "tests/platform/work_slots.hpp"

namespace tamarindshift::testing {

// end the line link that serves it (kill, losePower) before the database goes
class StandinWireDatabase : public LineKeeper {
 public:
  StandinWireDatabase(Clock& clock, StandinWireService& service, StandinWireDatabaseSettings settings, WireDisk disk);
  ~StandinWireDatabase() override;
  Task<void> serve(std::shared_ptr<LineConnection> line) override;

  const StandinWireDatabaseSettings& settings() const { return settings_; }
  WireDisk disk() const { return WireDisk{log_, term_, !leads_}; }
  bool leads() const { return leads_; }
  std::uint64_t term() const { return term_; }
  std::uint64_t received() const { return log_.size(); }
  std::uint64_t applied();
  const WireLog& log() const { return log_; }
  std::size_t connections() const { return connections_; }
  WireTroubles& troubles() { return troubles_; }
  void lead(std::uint64_t term);
  void replicaHas(std::uint64_t number);
  std::function<void()> roleChanged = [] {};

 private:
  struct Prepared {
    bool reads = false;
    std::string shape;
  };
  struct Connection {
    std::uint64_t number = 0;
    char state = 'I';
    std::uint64_t transaction = 0;
    bool readOnly = false;
    std::uint64_t term = 0;
    std::map<std::string, std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, Prepared> prepared;
    std::map<std::string, std::string> valuesBefore;
    std::map<std::string, Prepared> preparedBefore;
  };
  struct Answer {
    std::string error;
    std::string completion = "-";
    std::vector<std::string> rows;
    bool ran = false;
  };
  class Counted {
   public:
    explicit Counted(std::size_t& count) : count_(count) { ++count_; }
    Counted(const Counted&) = delete;
    ~Counted() { --count_; }

   private:
    std::size_t& count_;
  };

  Task<bool> setUp(std::shared_ptr<LineConnection> line);
  Task<Answer> run(Connection& connection, std::string text, std::size_t run);
  Task<Answer> end(Connection& connection, bool commits, std::size_t run);
  Task<Answer> read(Connection& connection, WireStatement statement, std::size_t run);
  Task<Answer> write(Connection& connection, WireStatement statement, std::size_t run);
  Task<Answer> status(std::size_t run);
  Task<Answer> suspend(std::uint64_t term, std::size_t run);
  Task<Answer> demote(std::uint64_t term, std::size_t run);
  void rollBack(Connection& connection);
  Answer begin(Connection& connection, const WireStatement& statement);
  Answer keepNames(Connection& connection, const WireStatement& statement);
  Task<bool> keep(std::map<std::string, std::string> writes, std::size_t run);
  Task<void> work(Duration mean);
  bool lostLead(const Connection& connection) const;
  bool lacks(const WireStatement& statement);
  Answer ranAs(std::size_t run, std::vector<std::string> rows);
  std::string statusRow();
  std::string position();
  bool send(LineConnection& line, const Connection& connection, const Answer& answer);
  Task<void> follow();
  Task<void> watchLead();
  void catchUp(StandinWireDatabase& leader);
  void stepDown();
  bool unlucky(unsigned perThousand) { return perThousand > 0 && world_.chance(perThousand); }

  Clock& clock_;
  StandinWireService& service_;
  World& world_;
  ServiceHistory& history_;
  StandinWireDatabaseSettings settings_;
  WorkSlots slots_;
  WireTroubles troubles_;
  WireLog log_;
  std::uint64_t term_;
  bool leads_;
  std::uint64_t applied_;
  std::deque<Instant> appliedAt_;
  std::uint64_t replicated_ = 0;
  std::uint64_t heldTerm_ = 0;
  Instant busyUntil_{};
  Instant contact_;
  std::optional<Instant> outranked_;
  std::size_t connections_ = 0;
  Gate changed_;
  Gate replicaAnswered_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing
