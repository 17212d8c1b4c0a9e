#pragma once

#include "base/task_scope.hpp"
#include "base/timings.hpp"
#include "control/control_state.hpp"
#include "control/database_control.hpp"
#include "control/duty_epoch_check.hpp"
#include "control/member_replacement.hpp"
#include "control/plan_version_check.hpp"
#include "control/promotion_proof.hpp"
#include "control/ration_allocation.hpp"
#include "control/report_tables.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

/// The work of the one replica that leads the control plane: it chooses and promotes the primary of each service, divides
/// connections among the nodes (shares), limits work of later orders at crowded databases (rations), and enrols and
/// removes nodes and databases.
///
/// Every replica runs a `Duties`, but only the one on duty acts. What it decides takes effect as an action that is proposed
/// to the replication engine; calls that promote or demote a database are made only while no other member can be on duty.
class Duties {
 public:
  /// `losses`: machines that may be lost at once, 0 keeps absent members in the group. `rationing`: whether rations are used.
  Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state, ReportTables& access,
         DatabaseControl& databases, ServerId own, std::size_t losses, bool rationing);

  /// Whether this member holds the duties: it is the first server of the current configuration, which is a primary component.
  bool onDuty() const;
  /// Whether no other member can hold the duties by now, so that a database may be promoted or demoted.
  /// The others form a view without this member only once they have had no contact with it for the suspicion time.
  bool isSoleDutyHolder() const;
  /// Starts the next pass early. To be called when something arrived that a duty may wait for.
  void wake() { wake_.open(); }
  /// What the recovery of each service waits for; a service that waits for nothing is absent.
  const std::map<ServiceName, std::string>& waitReasons() const { return waitReasons_; }
  /// Nodes that have not reported yet that they apply the last change of shares of a service.
  std::vector<Address> nodesBehindOnShares(const ServiceName& name) const;
  /// Nodes that have no share of a service, each with the reason.
  std::map<Address, std::string> nodesWithoutShare(const ServiceName& name) const;
  /// Why a database gets no work, or less than it could; empty if there is no such reason.
  std::vector<std::string> unusedReasons(const ServiceName& name, const DatabaseName& database) const;

 private:
  /// Everything from which shares are computed, as counters that change with it.
  struct SharesInputs {
    std::uint64_t reportRevision = 0;
    std::uint64_t liveNodesRevision = 0;
    std::uint64_t sharesAt = 0;
    PlanVersion planMark;
    bool operator==(const SharesInputs&) const = default;
  };
  /// What this member knows of a service since it took the duties.
  struct ServiceDuty {
    Epoch epoch;
    /// When this member first handled the service in this epoch, and when in any epoch.
    Instant epochSeenAt{};
    Instant firstSeenAt{};
    /// When the former primary first answered a demote call as a replica.
    std::optional<Instant> demotedAt;
    /// The highest position that the former primary answered as a replica.
    LogPosition finalPosition;
    Instant demoteRequestedAt{};
    Instant sharesChangedAt{};
    /// Shares are not computed again before this, unless the number of nodes differs from `sharesNodeCount`.
    Instant nextSharesAt{};
    std::size_t sharesNodeCount = 0;
    /// The last change of shares that was seen here, and when it was first seen.
    std::uint64_t sharesVersionSeen = 0;
    Instant sharesVersionSeenAt{};
    /// The inputs of the last computation of shares, if it found nothing to change.
    std::optional<SharesInputs> unchangedForInputs;
    /// For each node with reserved connections the reservation and since when the node has been silent under it.
    std::map<Address, std::pair<std::uint64_t, Instant>> reservationsSeen;
    /// Since when the primary has been silent, suspected or without the role of a primary.
    Instant doubtedSince{};
    std::optional<Instant> degradedSince;
    /// When a degraded primary was last replaced.
    std::optional<Instant> degradedRecoveryAt;
    Instant nextProbeAt{};
    Instant nextPromoteAt{};
    Duration promoteBackoff{};
    /// The newest term or epoch that any database of the service answered.
    Epoch highestTerm;
    Instant rationsReviewedAt{};
    /// Since when this member has awaited the successor of each database that left.
    std::map<DatabaseName, Instant> successorAwaitedSince;
    /// Whether a coroutine works on this service.
    bool busy = false;
  };
  /// When this member first saw a service's epoch and then its promotion, on duty or not.
  struct SeenEpoch {
    Epoch epoch;
    Instant at{};
    std::optional<Instant> promotedAt;
  };
  /// A database that can become primary.
  struct Candidate {
    DatabaseName database;
    DatabaseStatus standing;
    /// Another candidate that did not answer and was lost at about the same time as the primary, so that it may hold more.
    std::optional<DatabaseName> unansweredReplica;
  };

  /// The result of a search for acknowledged commits: a database in service that holds them, or why they may still come back.
  struct CommitSearch {
    std::optional<Candidate> holder;
    std::optional<std::string> waitReason;
  };

  /// Connections up to this part of a branch (1/20) may stay unused for a while.
  static constexpr std::uint64_t minorShareDivisor = 20;

  Task<void> run();
  Task<void> wakeOnEngineChange();
  void recordEpochs();
  /// Checks what nodes hold of each branch, by the replicated state, against the connections of the branch.
  void checkShares(const ServiceName& name, const ServiceState& service);
  void checkPlanVersion();
  /// Starts the work on nodes, on databases and on each service that is not under way.
  void startPass();
  /// Runs `superviseOnce` and logs an exception instead of passing it on.
  Task<void> supervise(ServiceName name);
  Task<void> superviseOnce(ServiceName name);
  /// STATUS of several databases, asked at the same time; nothing stands for a database that did not answer.
  struct StatusPoll {
    std::map<DatabaseName, std::optional<DatabaseStatus>> standings;
    std::size_t outstanding = 0;
    Gate done;
  };
  /// Recovers to another database if the primary is silent, suspected by nodes or no primary any more.
  Task<void> monitorPrimary(ServiceName name);
  Task<void> chooseFirstPrimary(ServiceName name);
  /// Chooses a database and proposes a new epoch with it as the primary; `promote` then makes it one.
  Task<void> recover(ServiceName name, std::string reason);
  /// Takes the next step towards the promotion of the chosen database.
  Task<void> promote(ServiceName name);
  Task<bool> holdsRequiredCommits(ServiceName name, ServiceState service);
  std::optional<std::string> missingReportsReason(const ServiceName& name, const ServiceState& service) const;
  Task<void> replaceChosen(ServiceName name);
  Task<bool> mayAbandonCommits(ServiceName name, ServiceState service, LogPosition required);
  bool formerHolderMayHavePromoted(const ServiceName& name) const;
  Task<std::optional<Epoch>> alreadyPromotedTerm(ServiceName name, ServiceState service);
  PromotionProof promotionProof(const ServiceName& name, const ServiceState& service) const;
  Task<void> confirmPromotion(ServiceName name, ServiceState service, Epoch term);
  Task<void> requestPromotion(ServiceName name, ServiceState service);
  Task<std::optional<Epoch>> awaitPromotedTerm(ServiceName name, ServiceState service, Instant calledAt);
  Task<std::optional<DatabaseStatus>> awaitRequiredPosition(ServiceName name, ServiceState service, LogPosition required,
                                                            std::optional<DatabaseStatus> standing);
  Task<void> demote(ServiceName name, DatabaseName former);
  Task<void> demoteStrayPrimaries(ServiceName name);
  /// Asks a database for its STATUS; nothing if it does not answer within `timeout`.
  Task<std::optional<DatabaseStatus>> queryStatus(ServiceName name, DatabaseName database, Duration timeout);
  Task<void> pollDatabase(ServiceName name, DatabaseName database, std::shared_ptr<StatusPoll> poll);
  /// Databases that may become primary; of a discovered service, silent, suspected and degraded ones only if there are no others.
  std::vector<DatabaseName> candidates(const ServiceName& name, const std::optional<DatabaseName>& excluded) const;
  Task<std::shared_ptr<StatusPoll>> pollStatus(ServiceName name, std::set<DatabaseName> databases);
  std::optional<Candidate> bestCandidate(const ServiceName& name, const std::vector<DatabaseName>& among, const StatusPoll& poll);
  Task<CommitSearch> searchCommits(ServiceName name, LogPosition required);
  std::vector<DatabaseName> nonCandidateReplicas(const ServiceName& name, const std::vector<DatabaseName>& among) const;
  std::optional<DatabaseName> replicaThatMayHoldMore(const ServiceName& name, const std::vector<DatabaseName>& among,
                                                     const StatusPoll& poll, const DatabaseStatus& chosen);
  std::optional<DatabaseName> awaitedPredecessor(const ServiceName& name);
  Task<std::optional<Candidate>> findCandidate(ServiceName name, std::optional<DatabaseName> excluded);
  using Proposals = std::vector<std::pair<ControlCommandType, std::string>>;
  /// Proposes an update to the replication engine; whether it was applied.
  Task<bool> propose(ControlCommandType matter, std::string body);
  Task<void> proposeAll(Proposals proposals);
  Task<void> proposeOne(ControlCommandType matter, std::string body, std::shared_ptr<std::size_t> outstanding);
  Task<void> updateShares(ServiceName name);
  Task<void> updateRations(ServiceName name);
  std::map<DatabaseName, DemandsByNode> collectDemands(const ServiceName& name) const;
  SharesInputs sharesInputs(const ServiceName& name, const ServiceState& service) const;
  bool canPostponeMove(const ServiceName& name, const ServiceState& service, const Grants& target) const;
  void recordLiveNodes();
  Task<void> updateNodes();
  Task<void> removeLostDatabases();
  Task<void> drainLeavingDatabases(ServiceName name);
  Task<void> readmitReturnedDatabases(ServiceName name);
  /// Why a node may have acknowledged commits that it has not reported; nothing if every node has reported.
  std::optional<std::string> unreportedNodeReason(const ServiceName& name) const;
  /// Whether contact with a database was lost later than `databaseOut` before the last contact with the former primary.
  bool lostWithPrimary(const ServiceName& name, const DatabaseName& database) const;
  const ReportTables::Node* reportOf(const Address& node) const;
  bool reportIsRecent(const ReportTables::Node& node) const { return clock_.now() - node.lastContact <= timings_.nodeSilence; }
  /// Whether the node has sent no report for `nodeSilence`, counted from when this member took the duties at the earliest.
  bool silent(const Address& node) const;
  std::uint64_t followedPosition(const ServiceName& name, const Address& node) const;
  /// Whether nodes that hold nothing have had `nodeSilence` to follow the last change of shares.
  bool newcomerWaitOver(const ServiceName& name) const;
  /// Whether a node has reported that it applies the last change of shares, or need not be waited for.
  bool followsShares(const ServiceName& name, const ServiceState& service, const Address& node) const;
  bool everyNodeFollowsShares(const ServiceName& name, const ServiceState& service) const;
  bool hasLeftOldEpochs(const ServiceName& name, const ServiceState& service, const Address& node) const;
  /// A node that may still have work under an older epoch.
  std::optional<Address> nodeInOldEpoch(const ServiceName& name, const ServiceState& service) const;
  /// Whether every lease under an older epoch has expired.
  bool oldLeasesExpired(const ServiceName& name) const;
  const SeenEpoch* seenEpoch(const ServiceName& name) const;
  bool everyNodeReported() const;
  bool suspected(const ServiceName& name, const DatabaseName& database) const;
  bool degraded(const ServiceName& name, const DatabaseName& database) const;
  /// Whether at least half of the nodes with work at the service, and at least one, name the database in this set.
  bool halfOfNodesReport(const ServiceName& name, const DatabaseName& database, std::set<DatabaseName> ServiceReport::*reported) const;
  bool hasHealthyReplica(const ServiceName& name) const;
  Task<void> replaceDegradedPrimary(ServiceName name);
  bool heartbeatIsRecent(const ReportTables::Database& contact) const { return clock_.now() - contact.lastContact <= timings_.silence(); }
  bool reportsPrimary(const ServiceName& name, const DatabaseName& database) const;
  bool discovered(const ServiceName& name) const;
  bool keepsAcknowledged(const ServiceName& name) const;
  /// Whether this member is on duty and the promotion of this epoch is not confirmed yet.
  bool promotionPending(const ServiceName& name, Epoch epoch) const;
  void recordTerm(const ServiceName& name, Epoch term);
  /// The position that the chosen database must have reached before it is promoted.
  LogPosition requiredPosition(const ServiceName& name, const ServiceState& service) const;
  /// Whether a silent node has had `shareHold` to stop using its reserved connections.
  bool reservationExpired(const ServiceName& name, const Address& node) const;
  /// Connections that silent or leaving nodes may still use and that no other node may get yet.
  Grants reservedShares(const ServiceName& name, const ServiceState& service);
  void setWaitReason(const ServiceName& name, const std::string& reason);
  std::optional<DatabaseTarget> target(const ServiceName& service, const DatabaseName& database) const;
  bool present(const ServiceName& service, const DatabaseName& database) const { return target(service, database).has_value(); }

  Clock& clock_;
  Journal& journal_;
  const Timings& timings_;
  ReplicationEngine& engine_;
  const ControlState& state_;
  ReportTables& access_;
  DatabaseControl& databases_;
  ServerId ownId_;
  MemberReplacement memberReplacement_;
  bool rationing_;
  std::map<ServiceName, SeenEpoch> seenEpochs_;
  std::map<ServiceName, ServiceDuty> serviceDuties_;
  std::map<ServiceName, std::string> waitReasons_;
  std::vector<std::pair<Address, std::uint64_t>> liveNodes_;
  std::uint64_t liveNodesRevision_ = 0;
  // time that this pass spent on computing shares, and the service at which it ran out of it; the next pass starts there
  Duration sharesTimeSpent_{};
  std::optional<ServiceName> sharesResumeAt_;
  bool updatingNodes_ = false;
  bool removingDatabases_ = false;
  bool wasOnDuty_ = false;
  PlanVersionCheck planVersionCheck_{journal_};
  bool planUnchanged_ = false;
  DutyEpochCheck dutyEpochCheck_{journal_};
  Gate wake_;
  Gate proposalDone_;
  Instant dutiesTakenAt_{};
  TaskScope scope_;
};

}  // namespace tamarindshift
