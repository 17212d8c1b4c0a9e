#pragma once

#include <deque>

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "edge/door.hpp"
#include "tests/platform/platform_history.hpp"
#include "tests/platform/standin_wire_service.hpp"

namespace tamarindshift::testing {

struct StandinPromotionSettings {
  std::size_t ratePerSecond = 50;
  Duration takesEffect = 300ms;
  bool fenceChecked = false;
};

class StandinPromotionApi : public DoorKeeper {
 public:
  StandinPromotionApi(Clock& clock, std::vector<PromotionCall>& calls, StandinPromotionSettings settings)
      : clock_(clock), calls_(calls), settings_(settings) {}
  void serves(StandinWireService& service) { services_[service.name()] = &service; }
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  void down(bool down) { down_ = down; }
  void slow(Duration delay) { delay_ = delay; }

 private:
  int take(const PromotionCall& call);
  Task<void> promote(StandinWireService& service, std::string database);
  Clock& clock_;
  std::vector<PromotionCall>& calls_;
  StandinPromotionSettings settings_;
  std::map<std::string, StandinWireService*> services_;
  std::map<std::string, std::uint64_t> fences_;
  std::deque<Instant> recent_;
  bool down_ = false;
  Duration delay_{};
  TaskScope scope_;
};

}  // namespace tamarindshift::testing
