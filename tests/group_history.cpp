#include "tests/group_history.hpp"

#include <algorithm>

namespace tamarindshift::testing {

std::size_t GroupHistory::addProcess(const ServerId& server) {
  processes_.push_back(ProcessRecord{server, {}});
  return processes_.size() - 1;
}

void GroupHistory::addFault(const std::string& text) {
  if (faults.size() < 10) faults.push_back(text);
}

void GroupHistory::regular(std::size_t process, const Configuration& configuration) {
  auto& own = processes_[process];
  if (!own.views.empty()) {
    if (!own.views.back().transitional) addFault("no transitional configuration before a regular one");
    if (configuration.confId <= own.views.back().configuration.confId) addFault("a view id that is not higher than the one before");
  }
  if (!configuration.members.contains(own.server)) addFault("a view without the process that installed it");
  auto [known, fresh] = members_.emplace(configuration.confId, configuration.members);
  if (!fresh && known->second != configuration.members) addFault("one view with different members at two processes");
  own.views.push_back(ViewRecord{configuration, {}, {}, {}, 0, std::nullopt});
}

void GroupHistory::transitional(std::size_t process, const std::set<ServerId>& members) {
  auto& own = processes_[process];
  if (own.views.empty()) return;
  auto& last = own.views.back();
  if (last.transitional) addFault("two transitional configurations in a row");
  last.transitional = members;
  if (!members.contains(own.server)) addFault("a transitional configuration without the process itself");
  if (!std::includes(last.configuration.members.begin(), last.configuration.members.end(), members.begin(), members.end()))
    addFault("a transitional configuration with members that were not in the view");
}

void GroupHistory::received(std::size_t process, const Delivery& delivery) {
  auto& last = processes_[process].views.back();
  last.received[delivery.sequence] = delivery.payload;
  if (delivery.sender == processes_[process].server) last.own.insert(delivery.payload);
}

void GroupHistory::stable(std::size_t process, const ViewId& view, std::uint64_t sequence) {
  auto& held = stable_[view][processes_[process].server];
  held = std::max(held, sequence);
}

void GroupHistory::delivered(std::size_t process, const Delivery& delivery) {
  auto& last = processes_[process].views.back();
  const auto& view = last.configuration.confId;
  if (delivery.view != view) addFault("delivered in another view than ordered");
  if (delivery.sequence != last.delivered.size() + 1) addFault("a gap or a repetition in the sequence numbers");
  auto [known, fresh] = order_[view].emplace(delivery.sequence, delivery.payload);
  if (!fresh && known->second != delivery.payload) addFault("two messages at one position of a view");
  last.delivered.emplace_back(delivery.sequence, delivery.payload);
  if (last.transitional) {
    ++transitionalDeliveries;
    return;
  }
  ++safeDeliveries;
  ++last.safeCount;
  auto& safeUpTo = safeUpTo_[view];
  safeUpTo = std::max(safeUpTo, delivery.sequence);
  for (const auto& member : last.configuration.members)
    if (stable_[view][member] < delivery.sequence) addFault("delivered as safe, but not stored by " + text(member));
}

void GroupHistory::compare(const ProcessRecord& left, const ProcessRecord& right) {
  for (std::size_t one = 0; one + 1 < left.views.size(); ++one)
    for (std::size_t two = 0; two + 1 < right.views.size(); ++two) {
      const auto& mine = left.views[one];
      const auto& theirs = right.views[two];
      if (mine.configuration.confId != theirs.configuration.confId) continue;
      if (left.views[one + 1].configuration.confId != right.views[two + 1].configuration.confId) continue;
      ++commonTransitions;
      if (mine.transitional != theirs.transitional)
        addFault("two processes changed view together with different transitional configurations");
      if (mine.transitional && !mine.transitional->contains(right.server))
        addFault("a transitional configuration without a process that changed view together with this one");
      if (mine.delivered != theirs.delivered) addFault("two processes changed view together and delivered different messages");
    }
}

void GroupHistory::verify() {
  for (const auto& process : processes_)
    for (std::size_t index = 0; index + 1 < process.views.size(); ++index) {
      const auto& viewRecord = process.views[index];
      if (viewRecord.delivered.size() < safeUpTo_[viewRecord.configuration.confId])
        addFault(text(process.server) + " did not deliver what another process delivered as safe");
      for (const auto& payload : viewRecord.own)
        if (std::none_of(viewRecord.delivered.begin(), viewRecord.delivered.end(), [&](const auto& each) {
              return each.second == payload;
            }))
          addFault(text(process.server) + " did not deliver its own " + payload);
    }
  for (std::size_t left = 0; left < processes_.size(); ++left)
    for (std::size_t right = left + 1; right < processes_.size(); ++right) compare(processes_[left], processes_[right]);
}

}  // namespace tamarindshift::testing
