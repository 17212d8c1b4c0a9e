#pragma once

#include <map>
#include <set>
#include <vector>

#include "group/delivery.hpp"

namespace tamarindshift {

struct GroupHeartbeat {
  Member from;
  bool joined = false;
  ViewId view;
  bool flushing = false;
  std::uint64_t highestCounter = 0;
  std::uint64_t received = 0;
  std::uint64_t stable = 0;
  std::uint64_t safe = 0;
  Duration sentAt{};
  std::map<Member, Duration> lastHeartbeatSentAt;
  std::set<Address> knownAddresses;
  std::set<ServerId> foundingMembers;
  // the process ends: it is to be left out of views at once
  bool retiring = false;
  MSGPACK_DEFINE(from, joined, view, flushing, highestCounter, received, stable, safe, sentAt, lastHeartbeatSentAt, knownAddresses,
                 foundingMembers, retiring)
};

struct GroupSubmit {
  ViewId view;
  Member from;
  std::uint64_t number = 0;
  std::string payload;
  bool durable = false;
  MSGPACK_DEFINE(view, from, number, payload, durable)
};

struct GroupOrdered {
  Delivery delivery;
  std::uint64_t number = 0;
  MSGPACK_DEFINE(delivery, number)
};

struct GroupMark {
  ViewId view;
  Member from;
  std::uint64_t upto = 0;
  MSGPACK_DEFINE(view, from, upto)
};

struct GroupPrepare {
  ViewId proposed;
  std::set<Member> members;
  MSGPACK_DEFINE(proposed, members)
};

struct GroupFlushed {
  ViewId proposed;
  Member from;
  ViewId view;
  std::uint64_t safe = 0;
  std::vector<Delivery> held;
  MSGPACK_DEFINE(proposed, from, view, safe, held)
};

struct GroupBranch {
  std::set<Member> members;
  std::uint64_t safe = 0;
  std::map<std::uint64_t, Delivery> held;
  MSGPACK_DEFINE(members, safe, held)
};

struct GroupInstall {
  ViewId proposed;
  std::set<Member> members;
  std::map<ViewId, GroupBranch> branches;
  MSGPACK_DEFINE(proposed, members, branches)
};

}  // namespace tamarindshift
