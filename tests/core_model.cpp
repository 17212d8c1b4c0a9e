#include "tests/core_model.hpp"

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <unordered_map>

#include "tests/core_model_state.hpp"

namespace tamarindshift::testing {

namespace {

using namespace core_model;

class Search {
 public:
  Search(const CoreModel::Rules& rules, const CoreModel::Budget& budget) : rules_(rules), budget_(budget) {}

  CoreModel::Result run() {
    State first;
    for (int each = 0; each < founders; ++each) {
      auto& member = first.member[each];
      member.life = Life::up;
      member.joined = true;
      member.primSet = bit(0) | bit(1) | bit(2);
    }
    add(first, nullptr, "start");
    while (!open_.empty() && !violated_) {
      const auto* current = open_.front();
      open_.pop_front();
      expand(*current);
    }
    CoreModel::Result result;
    result.states = seen_.size();
    if (violated_) result.violation = path(*violated_);
    return result;
  }

 private:
  struct Visited {
    const Visited* previous = nullptr;
    std::string step;
    const std::string* state = nullptr;
  };

  void add(State state, const Visited* previous, std::string step, std::string violation = {}) {
    if (violated_) return;
    if (violation.empty()) violation = violationIn(state);
    if (!violation.empty()) {
      violatedState_ = Visited{previous, step + "; " + violation, nullptr};
      violated_ = &violatedState_;
      return;
    }
    auto [found, fresh] = seen_.try_emplace(key(state));
    if (!fresh) return;
    found->second = Visited{previous, std::move(step), &found->first};
    open_.push_back(&found->second);
  }

  static std::vector<std::string> path(const Visited& end) {
    std::vector<std::string> steps;
    for (const auto* at = &end; at; at = at->previous) steps.push_back(at->step);
    std::reverse(steps.begin(), steps.end());
    return steps;
  }

  static State stateOf(const Visited& visited) {
    State state;
    std::memcpy(static_cast<void*>(&state), visited.state->data(), sizeof(State));
    return state;
  }

  /// The invariant that does not hold in this state; empty if all hold.
  std::string violationIn(const State& state) const {
    if ((state.confirmed & 3) == 3) return "two different contents are confirmed with the same version";
    const Log* longest = nullptr;
    for (const auto& member : state.member)
      if (member.joined && (!longest || member.log.green > longest->green)) longest = &member.log;
    auto group = groupOf(*longest, budget_.sameAddress, state.lost);
    int lostInGroup = size(group & state.lost);
    for (int index = 0; index < state.decidedLength; ++index) {
      auto action = state.decided[index];
      if (!(state.acknowledged & (1 << action))) continue;
      int copies = 0;
      for (int each = 0; each < members; ++each) {
        const auto& member = state.member[each];
        bool counts = member.joined && member.life != Life::lost && has(group, each);
        auto synced = member.log.length - member.unsynced;
        const auto* end = member.log.entries.begin() + synced;
        copies += counts && std::find(member.log.entries.begin(), end, action) != end;
      }
      if (copies + lostInGroup < 2) return "an acknowledged action is on only " + std::to_string(copies) + " disks";
    }
    int toleratedLosses = lostInGroup > 0 ? 0 : 1;
    if (2 * (size(group) - lostInGroup - toleratedLosses) <= size(group))
      return "one more lost machine would leave no majority of the group";
    return {};
  }

  // ReplicationEngine::markGreen: all members must follow the order that was decided first
  std::string decide(State& state, int who, Byte action) const {
    auto& log = state.member[who].log;
    auto at = std::find(log.entries.begin() + log.green, log.entries.begin() + log.length, action);
    std::rotate(log.entries.begin() + log.green, at, at + 1);
    auto position = log.green++;
    if (log.yellow > 0) --log.yellow;
    if (position < state.decidedLength) {
      if (state.decided[position] != action) return "members make different actions green at one position";
    } else {
      state.decided[state.decidedLength++] = action;
    }
    return {};
  }

  // PlanVersionHistory::verdict, at the member that accepted the order
  void acknowledge(State& state, int who, Byte action) const {
    state.acknowledged |= static_cast<Byte>(1 << action);
    if (action != orderOne && action != orderTwo) return;
    const auto& log = state.member[who].log;
    auto other = action == orderOne ? orderTwo : orderOne;
    const auto* end = log.entries.begin() + log.green;
    const auto* own = std::find(log.entries.begin(), end, action);
    bool taken = std::find(log.entries.begin(), own, other) != own;
    if (!taken || !rules_.digestOfVersion) state.confirmed |= action;
  }

  void expand(const Visited& visited) {
    auto state = stateOf(visited);
    for (Set set = 1; set < bit(members); ++set) formView(state, visited, set);
    for (int view = 1; view <= state.views; ++view) exchange(state, visited, view);
    for (int who = 0; who < members; ++who) {
      sendCpc(state, visited, who);
      install(state, visited, who);
      for (Byte action : {orderOne, orderTwo}) order(state, visited, who, action);
      requestJoin(state, visited, who);
      for (int leaver = 0; leaver < founders; ++leaver) requestLeave(state, visited, who, leaver);
      receive(state, visited, who);
      deliver(state, visited, who);
      crash(state, visited, who);
      recover(state, visited, who);
      loseDisk(state, visited, who);
      adopt(state, visited, who);
      serve(state, visited, who);
    }
    startNewcomer(state, visited);
  }

  /// SequencedGroup::onInstall: members that come from one view deliver the same messages, then install the new view.
  void formView(State state, const Visited& from, Set set) {
    if (state.views >= budget_.views) return;
    bool sameView = true;
    int common = -1;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      const auto& member = state.member[each];
      if (member.life != Life::up || !member.joined) return;
      if (common < 0) common = member.view;
      sameView = sameView && member.view == common && member.view != 0;
    }
    if (sameView && state.view[common].set == set) return;
    std::string violation;
    for (int view = 1; view <= state.views && violation.empty(); ++view) {
      Set branch = 0;
      for (int each = 0; each < members; ++each)
        if (has(set, each) && state.member[each].view == view) branch |= bit(each);
      if (branch) violation = leaveView(state, view, branch);
    }
    auto& view = state.view[++state.views];
    view.set = set;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      auto& member = state.member[each];
      member.view = state.views;
      member.phase = Phase::exchange;
      member.received = member.delivered = 0;
    }
    add(state, &from, "view of set " + std::to_string(set), violation);
  }

  // The members that come from one view get the union of their messages; what is safe at one of them is safe at all.
  std::string leaveView(State& state, int view, Set branch) {
    const auto& own = state.view[view];
    Byte received = 0;
    Byte safe = 0;
    bool installed = false;
    for (int each = 0; each < members; ++each) {
      if (!has(branch, each)) continue;
      received = std::max(received, state.member[each].received);
      safe = std::max(safe, state.member[each].delivered);
      installed = installed || state.member[each].phase == Phase::regPrim;
    }
    for (int each = 0; each < members; ++each) {
      if (!has(branch, each)) continue;
      auto& member = state.member[each];
      if (member.phase == Phase::construct && installed)
        if (auto violation = installAt(state, each); !violation.empty()) return violation;
      while (member.received < received) member.log.append(own.messages[member.received++]);
      member.unsynced = 0;
      while (member.phase == Phase::regPrim && member.delivered < safe) {
        auto action = own.messages[member.delivered];
        if (auto violation = decide(state, each, action); !violation.empty()) return violation;
        ++member.delivered;
      }
      endOfPhase(state, each);
    }
    return {};
  }

  // ReplicationEngine::transitionalConfiguration and invalidateVulnerable
  static void endOfPhase(State& state, int who) {
    auto& member = state.member[who];
    const auto& view = state.view[member.view];
    if (member.phase == Phase::regPrim) {
      member.vulnerable = false;
      member.yellowValid = true;
      // what was received in this view and is not green becomes yellow, in the order of the view
      auto& log = member.log;
      log.yellow = 0;
      for (int index = 0; index < member.received; ++index) {
        auto at = std::find(log.entries.begin() + log.green + log.yellow, log.entries.begin() + log.length, view.messages[index]);
        if (at == log.entries.begin() + log.length) continue;
        std::rotate(log.entries.begin() + log.green + log.yellow, at, at + 1);
        ++log.yellow;
      }
    } else if (member.phase == Phase::construct) {
      bool all = view.cpcs == view.set;
      if (!all) member.vulnerable = false;  // No
      if (all) {                            // Un
        member.yellowValid = true;
        auto& log = member.log;
        std::sort(log.entries.begin() + log.green + log.yellow, log.entries.begin() + log.length);
        log.yellow = static_cast<Byte>(log.length - log.green);
      }
    }
    member.phase = Phase::nonPrim;
  }

  Set lostNow(const State& state, Set set) const {
    bool newcomerKnown = budget_.sameAddress && state.member[newcomer].life == Life::up && !state.member[newcomer].joined;
    return newcomerKnown && set ? state.lost : Set{0};
  }

  /// ReplicationEngine::shiftToExchangeStates to finishRetransmission, for all members of a view at once.
  void exchange(State state, const Visited& from, int view) {
    auto set = state.view[view].set;
    const Member* mostGreen = nullptr;
    const Member* latestPrimary = nullptr;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      const auto& member = state.member[each];
      if (member.life != Life::up || member.view != view || member.phase != Phase::exchange) return;
      if (!mostGreen || member.log.green > mostGreen->log.green) mostGreen = &member;
      if (!latestPrimary || member.primIndex > latestPrimary->primIndex) latestPrimary = &member;
    }
    auto green = mostGreen->log;
    green.cut(green.green);
    green.yellow = 0;
    std::vector<Byte> reds;
    std::optional<std::vector<Byte>> yellow;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      const auto& member = state.member[each];
      const auto& log = member.log;
      for (int index = 0; index < log.length; ++index)
        if (!green.contains(log.entries[index]) && std::find(reds.begin(), reds.end(), log.entries[index]) == reds.end())
          reds.push_back(log.entries[index]);
      if (member.primIndex != latestPrimary->primIndex || member.primSet != latestPrimary->primSet || !member.yellowValid) continue;
      std::vector<Byte> own(log.entries.begin() + log.green, log.entries.begin() + log.green + log.yellow);
      if (!yellow)
        yellow = own;
      else
        std::erase_if(*yellow, [&](Byte action) {
          return std::find(own.begin(), own.end(), action) == own.end();
        });
    }
    std::sort(reds.begin(), reds.end());
    auto merged = green;
    if (yellow)
      for (auto action : *yellow)
        if (!merged.contains(action)) merged.append(action), ++merged.yellow;
    for (auto action : reds) merged.append(action);

    auto primIndex = latestPrimary->primIndex;
    auto primSet = latestPrimary->primSet;
    auto previous = state;
    Set bits = lostNow(state, set);
    auto vulnerable = [&](int each) -> Byte& {
      return state.member[each].vulnerable;
    };
    for (int each = 0; each < members; ++each) {
      if (!has(set, each) || !vulnerable(each)) continue;
      const auto& own = previous.member[each];
      bool outdated = primIndex > own.vulnerablePrim && !has(primSet, each);
      for (int other = 0; other < members; ++other) {
        if (!has(static_cast<Set>(own.vulnerableSet & set), other)) continue;
        const auto& its = previous.member[other];
        if (!its.vulnerable || its.vulnerableView != own.vulnerableView) outdated = true;
      }
      if (outdated) vulnerable(each) = false;
    }
    for (int each = 0; each < members; ++each)
      if (has(set, each) && vulnerable(each)) bits |= bit(each);
    bool blocked = false;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      if (vulnerable(each) && (state.member[each].vulnerableSet & ~bits) == 0) vulnerable(each) = false;
      blocked = blocked || vulnerable(each);
    }
    auto group = groupOf(merged, budget_.sameAddress, state.lost);
    auto voters = static_cast<Set>(primSet & ~lostNow(state, set));
    bool quorum = !(rules_.vulnerableBlocks && blocked);
    if (rules_.majorityOfGroup) quorum = quorum && 2 * size(group & set) > size(group);
    if (rules_.majorityOfLastPrimary) {
      int present = size(voters & set);
      bool tie = 2 * present == size(voters) && (voters & -voters & set);
      quorum = quorum && voters && (2 * present > size(voters) || tie);
    }
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      auto& member = state.member[each];
      member.log = merged;
      member.primIndex = primIndex;
      member.primSet = primSet;
      member.yellowValid = yellow.has_value();
      member.phase = quorum ? Phase::construct : Phase::nonPrim;
      if (!quorum) continue;
      member.vulnerable = true;
      member.vulnerableSet = set;
      member.vulnerablePrim = primIndex;
      member.vulnerableView = static_cast<Byte>(view);
    }
    add(state, &from, "exchange in the view of set " + std::to_string(set) + (quorum ? ", quorum" : ", no quorum"));
  }

  void sendCpc(State state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::construct || has(state.view[member.view].cpcs, who)) return;
    state.view[member.view].cpcs |= bit(who);
    add(state, &from, "CPC of " + std::to_string(who));
  }

  std::string installAt(State& state, int who) {
    auto& member = state.member[who];
    auto& log = member.log;
    while (log.green < log.length) {
      auto begin = log.entries.begin() + log.green;
      auto next = log.yellow > 0 ? *begin : *std::min_element(begin, log.entries.begin() + log.length);
      if (auto violation = decide(state, who, next); !violation.empty()) return violation;
    }
    member.yellowValid = false;
    ++member.primIndex;
    member.primSet = state.view[member.view].set;
    member.phase = Phase::regPrim;
    return {};
  }

  /// ReplicationEngine::onCpc with the last CPC of the view, once it is safe.
  void install(State state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::construct) return;
    const auto& view = state.view[member.view];
    if (view.cpcs != view.set || !allStillInView(state, view.set, member.view)) return;
    auto violation = installAt(state, who);
    add(state, &from, std::to_string(who) + " installs", violation);
  }

  // a message becomes safe only while all members of the view are still in it to acknowledge it
  static bool allStillInView(const State& state, Set set, Byte view) {
    for (int each = 0; each < members; ++each)
      if (has(set, each) && (state.member[each].life != Life::up || state.member[each].view != view)) return false;
    return true;
  }

  bool orderInView(State& state, int who, Byte action) const {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim || (state.ordered & (1 << action))) return false;
    auto& view = state.view[member.view];
    if (view.length == view.messages.size()) return false;
    state.ordered |= static_cast<Byte>(1 << action);
    view.messages[view.length] = action;
    view.creators[view.length++] = static_cast<Byte>(who);
    return true;
  }

  void order(State state, const Visited& from, int who, Byte action) {
    if (who != action - 1) return;  // one operator at each of two members
    if (orderInView(state, who, action)) add(state, &from, std::to_string(who) + " orders " + std::to_string(action));
  }

  void requestJoin(State state, const Visited& from, int who) {
    const auto& fresh = state.member[newcomer];
    if (fresh.life != Life::up || fresh.joined) return;
    if (orderInView(state, who, join)) add(state, &from, std::to_string(who) + " orders the join of the newcomer");
  }

  /// MemberReplacement::review, at the leader.
  void requestLeave(State state, const Visited& from, int who, int leaver) {
    if (leaver != 2) return;  // one leaver keeps the search small
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    auto set = state.view[member.view].set;
    auto group = groupOf(member.log, budget_.sameAddress, state.lost);
    if (has(set, leaver) || !has(group, leaver) || (set & -set) != bit(who)) return;
    if (rules_.spareBeforeLeave && size(set & group) < 3) return;
    if (orderInView(state, who, static_cast<Byte>(leave + leaver)))
      add(state, &from, "the leave of " + std::to_string(leaver) + " is ordered");
  }

  /// ReplicationEngine::received: synced before it is acknowledged, unless that rule is disabled.
  void receive(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    const auto& view = state.view[member.view];
    if (member.received >= view.length) return;
    member.log.append(view.messages[member.received++]);
    if (!rules_.syncBeforeAcknowledgement) ++member.unsynced;
    add(state, &from, std::to_string(who) + " receives");
  }

  void deliver(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim || member.delivered >= member.received) return;
    const auto& view = state.view[member.view];
    for (int each = 0; each < members; ++each)
      if (has(view.set, each) && (state.member[each].view != member.view || state.member[each].received <= member.delivered)) return;
    auto index = member.delivered++;
    auto violation = decide(state, who, view.messages[index]);
    if (view.creators[index] == who) acknowledge(state, who, view.messages[index]);
    add(state, &from, std::to_string(who) + " delivers " + std::to_string(view.messages[index]), violation);
  }

  void crash(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::up || !member.joined || state.crashes >= budget_.crashes) return;
    ++state.crashes;
    member.log.cut(static_cast<Byte>(member.log.length - member.unsynced));
    member.log.green = std::min(member.log.green, member.log.length);
    member.unsynced = 0;
    endOfPhase(state, who);
    member.life = Life::down;
    member.view = member.received = member.delivered = 0;
    add(state, &from, std::to_string(who) + " crashes");
  }

  void recover(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::down) return;
    member.life = Life::up;
    add(state, &from, std::to_string(who) + " recovers");
  }

  /// A machine loses its disk, at most one at a time; a crashed member counts as one while it is down.
  void loseDisk(State state, const Visited& from, int who) {
    if (who >= founders || state.disksLost >= budget_.disksLost) return;
    auto& member = state.member[who];
    if (member.life == Life::lost || member.life == Life::absent) return;
    for (int each = 0; each < members; ++each)
      if (each != who && state.member[each].life == Life::down) return;
    ++state.disksLost;
    state.lost |= bit(who);
    member = Member{};
    member.life = Life::lost;
    add(state, &from, std::to_string(who) + " loses its disk");
  }

  void startNewcomer(State state, const Visited& from) {
    if (state.lost == 0 || state.member[newcomer].life != Life::absent) return;
    state.member[newcomer].life = Life::up;
    add(state, &from, "the newcomer starts");
  }

  /// Core::onJoinRequest and ReplicationEngine::joinFromSnapshot.
  void adopt(State state, const Visited& from, int who) {
    const auto& member = state.member[who];
    auto& fresh = state.member[newcomer];
    if (who == newcomer || member.life != Life::up || !member.joined || fresh.life != Life::up || fresh.joined) return;
    const auto* end = member.log.entries.begin() + member.log.green;
    if (std::find(member.log.entries.begin(), end, join) == end) return;
    fresh.joined = true;
    fresh.log = member.log;
    fresh.log.cut(fresh.log.green);
    fresh.log.yellow = 0;
    add(state, &from, "the newcomer adopts a snapshot of " + std::to_string(who));
  }

  /// A member answers a read: it must have everything that was acknowledged before the request.
  void serve(const State& state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    const auto& view = state.view[member.view];
    if (rules_.confirmationBeforeServing && !allStillInView(state, view.set, member.view)) return;
    if (rules_.confirmationBeforeServing)
      for (int each = 0; each < members; ++each)
        // a peer's echo counts only once this member has delivered as far as the peer had
        if (has(view.set, each) && state.member[each].delivered > member.delivered) return;
    for (int index = 0; index < state.decidedLength; ++index) {
      if (!(state.acknowledged & (1 << state.decided[index]))) continue;
      if (index >= member.log.green)
        return add(state, &from, std::to_string(who) + " serves", "a member serves a read without an acknowledged action");
    }
  }

  CoreModel::Rules rules_;
  CoreModel::Budget budget_;
  std::unordered_map<std::string, Visited> seen_;
  std::deque<const Visited*> open_;
  Visited violatedState_;
  const Visited* violated_ = nullptr;
};

}  // namespace

CoreModel::Result CoreModel::explore(const Rules& rules, const Budget& budget) {
  return Search(rules, budget).run();
}

}  // namespace tamarindshift::testing
