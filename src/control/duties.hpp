#pragma once

#include "base/task_scope.hpp"
#include "base/timings.hpp"
#include "control/control_state.hpp"
#include "control/database_control.hpp"
#include "control/duty_epoch_check.hpp"
#include "control/member_replacement.hpp"
#include "control/plan_version_check.hpp"
#include "control/promotion_proof.hpp"
#include "control/ration_cut.hpp"
#include "control/report_tables.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

class Duties {
 public:
  Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state, ReportTables& access,
         DatabaseControl& databases, ServerId own, std::size_t losses, bool rationing);

  bool onDuty() const;
  /// Whether no other member can hold the duties by now, so that a database or the platform may be told to act.
  /// The others form a view without this member only once they have not heard from it for the suspicion time.
  bool provedOnDuty() const;
  // something came that a duty may wait for
  void wake() { wake_.open(); }
  const std::map<ServiceName, std::string>& waits() const { return waits_; }
  // nodes whose report that they follow the last move of shares is missing
  std::vector<Address> awaited(const ServiceName& name) const;
  // nodes that have no share of a service, with the reason
  std::map<Address, std::string> shareless(const ServiceName& name) const;
  // why a database gets no work, or less than it could
  std::vector<std::string> unused(const ServiceName& name, const DatabaseName& database) const;

 private:
  struct SharesInputs {
    std::uint64_t told = 0;
    std::uint64_t living = 0;
    std::uint64_t sharesAt = 0;
    PlanVersion mark;
    bool operator==(const SharesInputs&) const = default;
  };
  struct ServiceDuty {
    Epoch epoch;
    Instant seenAt{};
    Instant takenAt{};
    std::optional<Instant> demotedAt;
    LogPosition finalPlace;
    Instant demoteAskedAt{};
    Instant sharesMovedAt{};
    Instant sharesAfter{};
    std::size_t sharesFor = 0;
    // the last move of shares that was seen here, and since when
    std::uint64_t sharesSeen = 0;
    Instant sharesSeenAt{};
    // what the shares were last cut from, if they were found to be as they should
    std::optional<SharesInputs> sharesFit;
    std::map<Address, std::pair<std::uint64_t, Instant>> reservedSeenAt;
    Instant silentSince{};
    std::optional<Instant> strainedSince;
    std::optional<Instant> relievedAt;
    Instant probeAfter{};
    Instant promoteAfter{};
    Duration promotePause{};
    Epoch highestTerm;
    Instant rationsReviewedAt{};
    /// Since when the successors of databases that left are awaited here.
    std::map<DatabaseName, Instant> successorAwaitedSince;
    bool busy = false;
  };
  // when this member first saw a service's epoch and then its promotion, on duty or not
  struct SeenEpoch {
    Epoch epoch;
    Instant at{};
    std::optional<Instant> promotedAt;
  };
  struct Candidate {
    DatabaseName database;
    DatabaseStatus standing;
    std::optional<DatabaseName> mayHoldMore;
  };

  /// Where acknowledged commits were looked for: a database in service that holds them, or why they may still come back.
  struct CommitSearch {
    std::optional<Candidate> holder;
    std::optional<std::string> mayReturn;
  };

  // a part of a branch that is small enough to stay unused for a while
  static constexpr std::uint64_t fewOfABranch = 20;

  Task<void> run();
  Task<void> wakeOnGreen();
  void noteEpochs();
  /// What nodes hold of each branch, as it lies in the log, against the branch.
  void checkShares(const ServiceName& name, const ServiceState& service);
  void checkConfiguration();
  void pass();
  Task<void> care(ServiceName name);
  Task<void> careFor(ServiceName name);
  struct Survey {
    std::map<DatabaseName, std::optional<DatabaseStatus>> standings;
    std::size_t missing = 0;
    Gate done;
  };
  Task<void> watch(ServiceName name);
  Task<void> firstPrimary(ServiceName name);
  Task<void> recover(ServiceName name, std::string reason);
  Task<void> promote(ServiceName name);
  Task<bool> holdsNeeded(ServiceName name, ServiceState service);
  std::optional<std::string> mayLackReports(const ServiceName& name, const ServiceState& service) const;
  Task<void> chooseBetter(ServiceName name);
  Task<bool> givesUp(ServiceName name, ServiceState service, LogPosition needed);
  bool mayHaveBeenCalled(const ServiceName& name) const;
  Task<std::optional<Epoch>> leadsAlready(ServiceName name, ServiceState service);
  PromotionProof promotionProof(const ServiceName& name, const ServiceState& service) const;
  Task<void> confirm(ServiceName name, ServiceState service, Epoch term);
  Task<void> callPromotion(ServiceName name, ServiceState service);
  Task<std::optional<Epoch>> leads(ServiceName name, ServiceState service, Instant calledAt);
  Task<std::optional<DatabaseStatus>> reached(ServiceName name, ServiceState service, LogPosition needed,
                                              std::optional<DatabaseStatus> standing);
  Task<void> demote(ServiceName name, DatabaseName former);
  Task<void> demoteStray(ServiceName name);
  Task<std::optional<DatabaseStatus>> status(ServiceName name, DatabaseName database, Duration patience);
  Task<void> ask(ServiceName name, DatabaseName database, std::shared_ptr<Survey> survey);
  std::vector<DatabaseName> candidates(const ServiceName& name, const std::optional<DatabaseName>& besides) const;
  Task<std::shared_ptr<Survey>> survey(ServiceName name, std::set<DatabaseName> databases);
  std::optional<Candidate> best(const ServiceName& name, const std::vector<DatabaseName>& among, const Survey& survey);
  Task<CommitSearch> searchCommits(ServiceName name, LogPosition needed);
  std::vector<DatabaseName> otherReplicas(const ServiceName& name, const std::vector<DatabaseName>& among) const;
  std::optional<DatabaseName> mayHoldMoreThan(const ServiceName& name, const std::vector<DatabaseName>& among, const Survey& survey,
                                              const DatabaseStatus& chosen);
  std::optional<DatabaseName> awaitedPredecessor(const ServiceName& name);
  Task<std::optional<Candidate>> candidate(ServiceName name, std::optional<DatabaseName> besides);
  using Orders = std::vector<std::pair<ControlCommandType, std::string>>;
  Task<bool> order(ControlCommandType matter, std::string body);
  Task<void> orderAll(Orders orders);
  Task<void> orderOne(ControlCommandType matter, std::string body, std::shared_ptr<std::size_t> left);
  Task<void> shares(ServiceName name);
  Task<void> rations(ServiceName name);
  std::map<DatabaseName, NodeDemands> demands(const ServiceName& name) const;
  SharesInputs sharesInputs(const ServiceName& name, const ServiceState& service) const;
  bool canWait(const ServiceName& name, const ServiceState& service, const Grants& target) const;
  void noteLiving();
  Task<void> nodes();
  Task<void> enrolments();
  Task<void> departures(ServiceName name);
  Task<void> returns(ServiceName name);
  std::optional<std::string> unproved(const ServiceName& name) const;
  bool diedWithPrimary(const ServiceName& name, const DatabaseName& database) const;
  const ReportTables::Node* heard(const Address& node) const;
  bool reporting(const ReportTables::Node& node) const { return clock_.now() - node.lastContact <= timings_.nodeSilence; }
  bool silent(const Address& node) const;
  std::uint64_t followed(const ServiceName& name, const Address& node) const;
  bool newcomersWaitedFor(const ServiceName& name) const;
  bool follows(const ServiceName& name, const ServiceState& service, const Address& node) const;
  bool everyNodeFollows(const ServiceName& name, const ServiceState& service) const;
  bool leftOldEpochs(const ServiceName& name, const ServiceState& service, const Address& node) const;
  // a node that may still have work under an older epoch
  std::optional<Address> leftBehind(const ServiceName& name, const ServiceState& service) const;
  bool leasesOver(const ServiceName& name) const;
  const SeenEpoch* seenEpoch(const ServiceName& name) const;
  bool everyNodeHeard() const;
  bool suspected(const ServiceName& name, const DatabaseName& database) const;
  bool strained(const ServiceName& name, const DatabaseName& database) const;
  bool mostSay(const ServiceName& name, const DatabaseName& database, std::set<DatabaseName> ServiceReport::*told) const;
  bool hasBetter(const ServiceName& name) const;
  Task<void> relieve(ServiceName name);
  bool fresh(const ReportTables::Database& sign) const { return clock_.now() - sign.lastContact <= timings_.silence(); }
  bool saysPrimary(const ServiceName& name, const DatabaseName& database) const;
  bool discovered(const ServiceName& name) const;
  bool keepsAcknowledged(const ServiceName& name) const;
  bool pending(const ServiceName& name, Epoch epoch) const;
  void noteTerm(const ServiceName& name, Epoch term);
  LogPosition needed(const ServiceName& name, const ServiceState& service) const;
  bool overdue(const ServiceName& name, const Address& node) const;
  Grants reserve(const ServiceName& name, const ServiceState& service);
  void wait(const ServiceName& name, const std::string& reason);
  std::optional<DatabaseTarget> target(const ServiceName& service, const DatabaseName& database) const;
  bool present(const ServiceName& service, const DatabaseName& database) const { return target(service, database).has_value(); }

  Clock& clock_;
  Journal& journal_;
  const Timings& timings_;
  ReplicationEngine& engine_;
  const ControlState& state_;
  ReportTables& access_;
  DatabaseControl& databases_;
  ServerId own_;
  MemberReplacement members_;
  bool rationing_;
  std::map<ServiceName, SeenEpoch> seenEpochs_;
  std::map<ServiceName, ServiceDuty> duties_;
  std::map<ServiceName, std::string> waits_;
  std::vector<std::pair<Address, std::uint64_t>> living_;
  std::uint64_t livingChanges_ = 0;
  // time that this pass spent on cutting shares, and where it stopped for it
  Duration sharesSpent_{};
  std::optional<ServiceName> sharesLeftAt_;
  bool nodesBusy_ = false;
  bool enrolmentsBusy_ = false;
  bool wasOnDuty_ = false;
  PlanVersionCheck planVersions_{journal_};
  bool planSame_ = false;
  DutyEpochCheck dutyEpochs_{journal_};
  Gate wake_;
  Gate ordered_;
  Instant takenAt_{};
  TaskScope scope_;
};

}  // namespace tamarindshift
