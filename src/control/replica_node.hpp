#pragma once

#include "base/desk.hpp"
#include "control/duties.hpp"
#include "control/replica_settings.hpp"
#include "edge/door.hpp"
#include "group/sequenced_group.hpp"
#include "news/news_desk.hpp"

namespace tamarindshift {

class ReplicaNode : public NewsSource {
 public:
  ReplicaNode(Clock& clock, PartnerLink& link, StableStore& store, WebLink& databases, Journal& journal,
              ReplicaSettings settings, std::uint64_t entropy);

  std::optional<std::string> start();
  bool dismissed() const { return dismissed_ || engine_->dismissed(); }
  const ReplicationEngine& engine() const { return *engine_; }
  ReplicationEngine& engine() { return *engine_; }
  const SequencedGroup& group() const { return *group_; }
  const ControlState& state() const { return state_; }
  const AccessTables& access() const { return access_; }
  const Duties& duties() const { return *duties_; }
  const ReplicaSettings& settings() const { return settings_; }
  Journal& journal() { return journal_; }

  Task<DoorReply> replacePlan(std::string text);
  Task<DoorReply> detach(DatabaseBeat beat);
  void noteBeat(const DatabaseBeat& beat, bool relay);
  Task<DoorReply> removeMember(Address address);

  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseSign> signs(const Topic& topic) override;

 private:
  void serveDesk();
  Task<void> enter();
  void onJoinAsk(const Address& from, const std::string& bytes);

  Clock& clock_;
  PartnerLink& link_;
  StableStore& store_;
  WebLink& databases_;
  Journal& journal_;
  ReplicaSettings settings_;
  std::uint64_t entropy_;
  bool dismissed_ = false;
  NewsBoard board_;
  ControlState state_;
  AccessTables access_;
  Desk desk_;
  std::unique_ptr<SequencedGroup> group_;
  std::unique_ptr<ReplicationEngine> engine_;
  std::unique_ptr<Duties> duties_;
  std::unique_ptr<NewsDesk> news_;
  TaskScope scope_;
};

}  // namespace tamarindshift
