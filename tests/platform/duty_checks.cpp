#include "tests/platform/duty_checks.hpp"

#include "tests/platform/wire_position.hpp"

namespace tamarindshift::testing {

void DutyChecks::check() {
  std::map<std::string, Newest> newest;
  for (const auto& call : history_.promotions) next(call, newest[call.service]);
}

void DutyChecks::next(const PromotionCall& call, Newest& newest) {
  auto fence = wholeWireNumber(call.fence);
  if (call.holder.empty() || !fence) return broke(call, "names no holder or fence");
  bool another = !newest.holder.empty() && newest.holder != call.holder;
  bool troubled = !history_.troubles.calm(Address{}, call.at - history_.bounds.contact, call.at);
  if (another && *fence == newest.fence) broke(call, "came from " + call.holder + " with the fence of " + newest.holder);
  if (*fence < newest.fence && !(another && troubled)) broke(call, "came with a fence below the one before");
  if (*fence >= newest.fence) newest = Newest{call.holder, *fence};
}

}  // namespace tamarindshift::testing
