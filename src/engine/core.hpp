#pragma once

#include <memory>

#include "base/peer_link.hpp"
#include "base/task_scope.hpp"
#include "engine/replication_engine.hpp"
#include "group/sequenced_group.hpp"

namespace tamarindshift {

struct CoreSettings {
  /// Address of this server for its peers.
  Address address;
  /// Addresses at which the first members of the group are found; this server's own may be among them.
  std::set<Address> seeds;
  GroupTimings timings;
  EngineBounds bounds;
  /// Whether this server may found a group together with the other seeds; otherwise it only joins an existing one.
  bool mayFoundGroup = true;
};

/// A member of the core: the group layer and the replication engine on one store, and how a server becomes a member.
class Core {
 public:
  /// `incarnation` must be higher than in earlier runs at this address. It becomes part of the server's identity if the store is
  /// empty, and identifies this run of the process otherwise.
  Core(Clock& clock, PeerLink& link, StableStore& store, Application& application, Journal& journal, CoreSettings settings,
       std::uint64_t incarnation);

  /// Recovers from the store and starts; returns the reason if the store cannot be used.
  std::optional<std::string> start();
  /// Tells the other members that this process ends and leaves the view; there is no way back before a restart.
  void retire() { group_->retire(); }
  /// Whether this server was removed from the group: it can only come back with an empty store.
  bool removedFromGroup() const { return removedFromGroup_ || engine_->removedFromGroup(); }
  const ReplicationEngine& engine() const { return *engine_; }
  ReplicationEngine& engine() { return *engine_; }
  const SequencedGroup& group() const { return *group_; }
  const ServerId& serverId() const { return own_; }

 private:
  Task<void> joinOrFoundGroup();
  void onJoinRequest(const Address& from, const std::string& bytes);

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
