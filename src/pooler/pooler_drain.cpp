#include <algorithm>

#include "pooler/pooler.hpp"

// Pooler: how it stops, and what it still owes its clients then.

namespace tamarindshift {

void Pooler::drain() {
  if (draining()) return;
  drain_.begin();
  journal_.line("draining: not ready from now on, serving for " + std::to_string(milliseconds(settings_.drainServingTime).count()) + " ms");
}

bool Pooler::stopped() const {
  if (!closing()) return false;
  return sessions_.empty() || drain_.over() || (drain_.answersDue() && !anyBusy());
}

bool Pooler::anyBusy() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return session->busy;
  });
}

bool Pooler::needsConnections() const {
  if (drain_.transactionsOver()) return false;
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return session->busy || (session->transaction && !session->transaction->failed);
  });
}

void Pooler::superviseDrain() {
  if (closing() && !needsConnections() && !std::exchange(releasesShare_, true)) requestReport();
  if (drain_.answersDue()) pool_.dropBusy();
}

bool Pooler::noMoreConnections(const ServiceName& name, const ServiceDirectory::ServiceView& view) const {
  return drain_.transactionsOver() || (closing() && guide_.leased(name) && connectionLimit(name, view) == 0);
}

}  // namespace tamarindshift
