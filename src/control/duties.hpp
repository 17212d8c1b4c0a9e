#pragma once

#include "base/task_scope.hpp"
#include "base/timings.hpp"
#include "control/access_tables.hpp"
#include "control/control_state.hpp"
#include "engine/replication_engine.hpp"
#include "pool/database_link.hpp"

namespace tamarindshift {

class Duties {
 public:
  Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state,
         AccessTables& access, WebLink& databases, Address platform, ServerId own);

  bool onDuty() const;
  void change(Address platform) { platform_ = std::move(platform); }
  const std::map<ServiceName, std::string>& waits() const { return waits_; }

 private:
  struct ServiceDuty {
    Epoch epoch;
    Instant seenAt{};
    Instant takenAt{};
    bool demoted = false;
    Place finalPlace;
    Instant demoteAskedAt{};
    Instant sharesMovedAt{};
    std::map<Address, std::pair<std::uint64_t, Instant>> reservedSeenAt;
    Instant silentSince{};
    bool busy = false;
  };
  struct Candidate {
    DatabaseName database;
    DatabaseStanding standing;
    bool allReached = true;
    std::optional<DatabaseName> mayHoldMore;
  };

  Task<void> run();
  void pass();
  Task<void> care(ServiceName name);
  Task<void> careFor(ServiceName name);
  Task<void> recover(ServiceName name, std::string reason);
  Task<void> promote(ServiceName name);
  Task<void> demote(ServiceName name, DatabaseName former);
  Task<void> demoteStray(ServiceName name);
  Task<std::optional<DatabaseStanding>> status(ServiceName name, DatabaseName database);
  Task<std::optional<Candidate>> candidate(ServiceName name, std::optional<DatabaseName> besides);
  Task<bool> order(ControlMatter matter, std::string body);
  Task<void> shares(ServiceName name);
  Task<void> nodes();
  Task<void> departures(ServiceName name);
  Task<void> returns(ServiceName name);
  std::optional<std::string> unproved(const ServiceName& name) const;
  bool diedWithPrimary(const ServiceName& name, const DatabaseName& database) const;
  const AccessTables::Node* heard(const Address& node) const;
  bool silent(const Address& node) const;
  std::uint64_t followed(const ServiceName& name, const Address& node) const;
  bool everyNodeFollows(const ServiceName& name, const ServiceState& service) const;
  bool overdue(const ServiceName& name, const Address& node) const;
  Grants reserve(const ServiceName& name, const ServiceState& service);
  void wait(const ServiceName& name, const std::string& reason);
  const PlanDatabase* planned(const ServiceName& service, const DatabaseName& database) const;

  Clock& clock_;
  Journal& journal_;
  const Timings& timings_;
  ReplicationEngine& engine_;
  const ControlState& state_;
  AccessTables& access_;
  WebLink& databases_;
  Address platform_;
  ServerId own_;
  std::map<ServiceName, ServiceDuty> duties_;
  std::map<ServiceName, std::string> waits_;
  bool nodesBusy_ = false;
  bool wasOnDuty_ = false;
  Instant takenAt_{};
  TaskScope scope_;
};

}  // namespace tamarindshift
