// The updates that a node receives, as its router and pooler read them.
#pragma once

#include "base/gate.hpp"
#include "updates/update_store.hpp"
#include "updates/update_source.hpp"

namespace tamarindshift {

/// Topics as received from a source, with their leases.
class UpdateFeed : public UpdateSource {
 public:
  virtual const UpdateStore& updates() const = 0;
  /// Opens when an update arrives, or a lease for a topic that had none.
  virtual Gate& changed() = 0;
  /// Last reply of a replica itself, with a lease or without one.
  virtual Instant coreRepliedAt() const { return {}; }
};

}  // namespace tamarindshift
