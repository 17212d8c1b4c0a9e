#pragma once

#include "base/gate.hpp"
#include "updates/update_store.hpp"
#include "updates/update_source.hpp"

namespace tamarindshift {

class UpdateFeed : public UpdateSource {
 public:
  virtual const UpdateStore& updates() const = 0;
  // opened when news or a lease came that were not there before
  virtual Gate& changed() = 0;
  // when a replica last answered, with a lease or without
  virtual Instant coreRepliedAt() const { return {}; }
};

}  // namespace tamarindshift
