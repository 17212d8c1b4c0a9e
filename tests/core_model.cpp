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
    while (!open_.empty() && !broken_) {
      const auto* current = open_.front();
      open_.pop_front();
      expand(*current);
    }
    CoreModel::Result result;
    result.states = seen_.size();
    if (broken_) result.violation = path(*broken_);
    return result;
  }

 private:
  struct Visited {
    const Visited* before = nullptr;
    std::string step;
    const std::string* state = nullptr;
  };

  void add(State state, const Visited* before, std::string step, std::string fault = {}) {
    if (broken_) return;
    if (fault.empty()) fault = faultOf(state);
    if (!fault.empty()) {
      last_ = Visited{before, step + "; " + fault, nullptr};
      broken_ = &last_;
      return;
    }
    auto [found, fresh] = seen_.try_emplace(key(state));
    if (!fresh) return;
    found->second = Visited{before, std::move(step), &found->first};
    open_.push_back(&found->second);
  }

  static std::vector<std::string> path(const Visited& end) {
    std::vector<std::string> steps;
    for (const auto* at = &end; at; at = at->before) steps.push_back(at->step);
    std::reverse(steps.begin(), steps.end());
    return steps;
  }

  static State stateOf(const Visited& visited) {
    State state;
    std::memcpy(static_cast<void*>(&state), visited.state->data(), sizeof(State));
    return state;
  }

  /// What must hold in every state.
  std::string faultOf(const State& state) const {
    if ((state.confirmed & 3) == 3) return "two contents are confirmed under one version";
    const Log* longest = nullptr;
    for (const auto& member : state.member)
      if (member.joined && (!longest || member.log.green > longest->green)) longest = &member.log;
    auto group = groupOf(*longest, budget_.sameAddress, state.gone);
    int goneInGroup = size(group & state.gone);
    for (int index = 0; index < state.decidedLength; ++index) {
      auto action = state.decided[index];
      if (!(state.acknowledged & (1 << action))) continue;
      int copies = 0;
      for (int each = 0; each < members; ++each) {
        const auto& member = state.member[each];
        bool counts = member.joined && member.life != Life::gone && has(group, each);
        auto synced = member.log.length - member.unsynced;
        const auto* end = member.log.entries.begin() + synced;
        copies += counts && std::find(member.log.entries.begin(), end, action) != end;
      }
      if (copies + goneInGroup < 2) return "an acknowledged action is on " + std::to_string(copies) + " disk only";
    }
    int bearable = goneInGroup > 0 ? 0 : 1;
    if (2 * (size(group) - goneInGroup - bearable) <= size(group)) return "one more loss leaves no majority of the group";
    return {};
  }

  // ReplicationEngine::markGreen: the order that was decided first is the one
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

  // PlanVersionHistory::verdict, at the member that took the order
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

  /// SequencedGroup::onInstall: members that come from one view deliver the same, then stand in the new view.
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
    std::string fault;
    for (int view = 1; view <= state.views && fault.empty(); ++view) {
      Set branch = 0;
      for (int each = 0; each < members; ++each)
        if (has(set, each) && state.member[each].view == view) branch |= bit(each);
      if (branch) fault = leaveView(state, view, branch);
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
    add(state, &from, "view " + std::to_string(set), fault);
  }

  // the union of what the members of a branch hold; what one knew as safe is safe to all
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
        if (auto fault = installAt(state, each); !fault.empty()) return fault;
      while (member.received < received) member.log.append(own.messages[member.received++]);
      member.unsynced = 0;
      while (member.phase == Phase::regPrim && member.delivered < safe) {
        auto action = own.messages[member.delivered];
        if (auto fault = decide(state, each, action); !fault.empty()) return fault;
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
      // what came in this view and is not green is yellow, in the order of the view
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
    return newcomerKnown && set ? state.gone : Set{0};
  }

  /// ReplicationEngine::shiftToExchangeStates to endOfRetrans, for all members of a view at once.
  void exchange(State state, const Visited& from, int view) {
    auto set = state.view[view].set;
    const Member* most = nullptr;
    const Member* knowing = nullptr;
    for (int each = 0; each < members; ++each) {
      if (!has(set, each)) continue;
      const auto& member = state.member[each];
      if (member.life != Life::up || member.view != view || member.phase != Phase::exchange) return;
      if (!most || member.log.green > most->log.green) most = &member;
      if (!knowing || member.primIndex > knowing->primIndex) knowing = &member;
    }
    auto green = most->log;
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
      if (member.primIndex != knowing->primIndex || member.primSet != knowing->primSet || !member.yellowValid) continue;
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

    auto primIndex = knowing->primIndex;
    auto primSet = knowing->primSet;
    auto before = state;
    Set bits = lostNow(state, set);
    auto vulnerable = [&](int each) -> Byte& {
      return state.member[each].vulnerable;
    };
    for (int each = 0; each < members; ++each) {
      if (!has(set, each) || !vulnerable(each)) continue;
      const auto& own = before.member[each];
      bool outdated = primIndex > own.vulnerablePrim && !has(primSet, each);
      for (int other = 0; other < members; ++other) {
        if (!has(static_cast<Set>(own.vulnerableSet & set), other)) continue;
        const auto& its = before.member[other];
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
    auto group = groupOf(merged, budget_.sameAddress, state.gone);
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
    add(state, &from, "exchange in view " + std::to_string(set) + (quorum ? ", quorum" : ", no quorum"));
  }

  void sendCpc(State state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::construct || has(state.view[member.view].cpcs, who)) return;
    state.view[member.view].cpcs |= bit(who);
    add(state, &from, "cpc of " + std::to_string(who));
  }

  std::string installAt(State& state, int who) {
    auto& member = state.member[who];
    auto& log = member.log;
    while (log.green < log.length) {
      auto begin = log.entries.begin() + log.green;
      auto next = log.yellow > 0 ? *begin : *std::min_element(begin, log.entries.begin() + log.length);
      if (auto fault = decide(state, who, next); !fault.empty()) return fault;
    }
    member.yellowValid = false;
    ++member.primIndex;
    member.primSet = state.view[member.view].set;
    member.phase = Phase::regPrim;
    return {};
  }

  /// ReplicationEngine::onCpc with the last CPC of the view, which is safe.
  void install(State state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::construct) return;
    const auto& view = state.view[member.view];
    if (view.cpcs != view.set || !stillTogether(state, view.set, member.view)) return;
    auto fault = installAt(state, who);
    add(state, &from, std::to_string(who) + " installs", fault);
  }

  // a message becomes safe only while all members of the view still acknowledge in it
  static bool stillTogether(const State& state, Set set, Byte view) {
    for (int each = 0; each < members; ++each)
      if (has(set, each) && (state.member[each].life != Life::up || state.member[each].view != view)) return false;
    return true;
  }

  bool post(State& state, int who, Byte action) const {
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
    if (post(state, who, action)) add(state, &from, std::to_string(who) + " orders " + std::to_string(action));
  }

  void requestJoin(State state, const Visited& from, int who) {
    const auto& fresh = state.member[newcomer];
    if (fresh.life != Life::up || fresh.joined) return;
    if (post(state, who, join)) add(state, &from, std::to_string(who) + " orders the join");
  }

  /// MemberReplacement::review, at the member that leads.
  void requestLeave(State state, const Visited& from, int who, int leaver) {
    if (leaver != 2) return;  // one leaver keeps the search small
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    auto set = state.view[member.view].set;
    auto group = groupOf(member.log, budget_.sameAddress, state.gone);
    if (has(set, leaver) || !has(group, leaver) || (set & -set) != bit(who)) return;
    if (rules_.spareBeforeLeave && size(set & group) < 3) return;
    if (post(state, who, static_cast<Byte>(leave + leaver))) add(state, &from, "the leave of " + std::to_string(leaver) + " is ordered");
  }

  /// ReplicationEngine::received: synced before it counts, unless that rule is taken out.
  void receive(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    const auto& view = state.view[member.view];
    if (member.received >= view.length) return;
    member.log.append(view.messages[member.received++]);
    if (!rules_.syncBeforeReceipt) ++member.unsynced;
    add(state, &from, std::to_string(who) + " receives");
  }

  void deliver(State state, const Visited& from, int who) {
    auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim || member.delivered >= member.received) return;
    const auto& view = state.view[member.view];
    for (int each = 0; each < members; ++each)
      if (has(view.set, each) && (state.member[each].view != member.view || state.member[each].received <= member.delivered)) return;
    auto index = member.delivered++;
    auto fault = decide(state, who, view.messages[index]);
    if (view.creators[index] == who) acknowledge(state, who, view.messages[index]);
    add(state, &from, std::to_string(who) + " delivers " + std::to_string(view.messages[index]), fault);
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
    add(state, &from, std::to_string(who) + " is back");
  }

  /// A machine loses its disk; at most one is lost at once, and a crashed one counts while it is down.
  void loseDisk(State state, const Visited& from, int who) {
    if (who >= founders || state.disksLost >= budget_.disksLost) return;
    auto& member = state.member[who];
    if (member.life == Life::gone || member.life == Life::absent) return;
    for (int each = 0; each < members; ++each)
      if (each != who && state.member[each].life == Life::down) return;
    ++state.disksLost;
    state.gone |= bit(who);
    member = Member{};
    member.life = Life::gone;
    add(state, &from, std::to_string(who) + " loses its disk");
  }

  void startNewcomer(State state, const Visited& from) {
    if (state.gone == 0 || state.member[newcomer].life != Life::absent) return;
    state.member[newcomer].life = Life::up;
    add(state, &from, "the newcomer starts");
  }

  /// Core::onJoinAsk and ReplicationEngine::adopt.
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

  /// A member answers a reader: it must know all that was acknowledged before it was asked.
  void serve(const State& state, const Visited& from, int who) {
    const auto& member = state.member[who];
    if (member.life != Life::up || member.phase != Phase::regPrim) return;
    const auto& view = state.view[member.view];
    if (rules_.proofBeforeServing && !stillTogether(state, view.set, member.view)) return;
    if (rules_.proofBeforeServing)
      for (int each = 0; each < members; ++each)
        // a peer's echo counts once this member delivered as far as the peer had
        if (has(view.set, each) && state.member[each].delivered > member.delivered) return;
    for (int index = 0; index < state.decidedLength; ++index) {
      if (!(state.acknowledged & (1 << state.decided[index]))) continue;
      if (index >= member.log.green)
        return add(state, &from, std::to_string(who) + " serves", "a member serves without what was acknowledged");
    }
  }

  CoreModel::Rules rules_;
  CoreModel::Budget budget_;
  std::unordered_map<std::string, Visited> seen_;
  std::deque<const Visited*> open_;
  Visited last_;
  const Visited* broken_ = nullptr;
};

}  // namespace

CoreModel::Result CoreModel::explore(const Rules& rules, const Budget& budget) {
  return Search(rules, budget).run();
}

}  // namespace tamarindshift::testing
