#pragma once

#include <memory>

#include "base/peer_link.hpp"
#include "base/task_scope.hpp"
#include "engine/replication_engine.hpp"
#include "group/sequenced_group.hpp"

namespace tamarindshift {

struct CoreSettings {
  Address address;
  std::set<Address> seeds;
  GroupTimings timings;
  EngineBounds bounds;
  bool mayFound = true;
};

class Core {
 public:
  Core(Clock& clock, PeerLink& link, StableStore& store, Application& application, Journal& journal, CoreSettings settings,
       std::uint64_t incarnation);

  std::optional<std::string> start();
  /// Tells the other members that this one leaves now and steps out of the view, for good as far as this process goes.
  void retire() { group_->retire(); }
  bool removedFromGroup() const { return removedFromGroup_ || engine_->removedFromGroup(); }
  const ReplicationEngine& engine() const { return *engine_; }
  ReplicationEngine& engine() { return *engine_; }
  const SequencedGroup& group() const { return *group_; }
  const ServerId& serverId() const { return own_; }

 private:
  Task<void> enter();
  void onJoinAsk(const Address& from, const std::string& bytes);

  Clock& clock_;
  PeerLink& link_;
  StableStore& store_;
  Application& application_;
  Journal& journal_;
  CoreSettings settings_;
  std::uint64_t incarnation_;
  ServerId own_;
  bool removedFromGroup_ = false;
  std::unique_ptr<SequencedGroup> group_;
  std::unique_ptr<ReplicationEngine> engine_;
  TaskScope scope_;
};

}  // namespace tamarindshift
