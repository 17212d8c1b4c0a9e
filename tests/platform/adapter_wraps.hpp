#pragma once

#include <functional>
#include <memory>

#include "edge/door.hpp"
#include "updates/update_feed.hpp"
#include "pooler/back_end.hpp"
#include "store/stable_store.hpp"

namespace tamarindshift::testing {

// what a test lays between the parts of the adapter's programs to break a rule; each may be left out
struct AdapterWraps {
  std::function<std::unique_ptr<BackEndConnector>(BackEndConnector&)> backEnds;
  std::function<std::unique_ptr<UpdateFeed>(UpdateFeed&)> feed;
  std::function<std::unique_ptr<DatabaseControl>(DatabaseControl&)> databases;
  std::function<std::unique_ptr<DoorKeeper>(DoorKeeper&)> control;
  std::function<std::unique_ptr<StableStore>(StableStore&)> store;
  bool stopsAtOnce = false;
};

// `own` where nothing is laid over it
template <class Seam>
Seam& wrapped(const std::function<std::unique_ptr<Seam>(Seam&)>& wrap, Seam& own, std::unique_ptr<Seam>& kept) {
  if (!wrap) return own;
  kept = wrap(own);
  return *kept;
}

}  // namespace tamarindshift::testing
