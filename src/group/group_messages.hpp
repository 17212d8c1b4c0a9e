#pragma once

#include <map>
#include <set>
#include <vector>

#include "group/delivery.hpp"

// Messages between members of a group. The order of the fields is part of the wire format.

namespace tamarindshift {

/// Sent at a fixed interval to all known addresses.
struct GroupHeartbeat {
  Member from;
  /// Whether the sender takes part in views.
  bool joined = false;
  ViewId view;
  /// Whether the sender is between views: it has agreed to a new one that is not installed yet.
  bool flushing = false;
  /// The highest view counter that the sender has seen.
  std::uint64_t highestCounter = 0;
  /// Highest sequence numbers of `view` that the sender has received without a gap, that it has stored, and that are safe.
  std::uint64_t received = 0;
  std::uint64_t stable = 0;
  std::uint64_t safe = 0;
  /// On the sender's clock.
  Duration sentAt{};
  /// For each member that is not suspected: `sentAt` of its last heartbeat, an echo by which that member can tell how
  /// recent this contact is.
  std::map<Member, Duration> lastHeartbeatSentAt;
  std::set<Address> knownAddresses;
  /// The servers with which the sender wants to found the group, or founded it.
  std::set<ServerId> foundingMembers;
  /// The process ends: the others leave it out of views at once.
  bool retiring = false;
  MSGPACK_DEFINE(from, joined, view, flushing, highestCounter, received, stable, safe, sentAt, lastHeartbeatSentAt, knownAddresses,
                 foundingMembers, retiring)
};

/// From a member to the sequencer of its view: a message that wants a place in the order.
struct GroupSubmit {
  ViewId view;
  Member from;
  /// 1 for the sender's first message in the view, without gaps.
  std::uint64_t senderSequence = 0;
  std::string payload;
  bool durable = false;
  MSGPACK_DEFINE(view, from, senderSequence, payload, durable)
};

/// From the sequencer to the other members: a message with its place in the order.
struct GroupOrdered {
  Delivery delivery;
  /// As in `GroupSubmit`.
  std::uint64_t senderSequence = 0;
  MSGPACK_DEFINE(delivery, senderSequence)
};

/// As `groupAcked`, from a member to the sequencer: `from` has stored everything up to `sequence`. As `groupSafe`, from the
/// sequencer to the members: everything up to `sequence` is safe.
struct GroupWatermark {
  ViewId view;
  Member from;
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE(view, from, sequence)
};

/// From the coordinator of a view change: asks the members of the proposed view to stop their old views.
struct GroupPrepare {
  ViewId proposed;
  std::set<Member> members;
  MSGPACK_DEFINE(proposed, members)
};

/// The reply to `GroupPrepare`: the sender has stopped `view`.
struct GroupFlushed {
  ViewId proposed;
  Member from;
  ViewId view;
  std::uint64_t safe = 0;
  /// The messages of `view` after `safe` that the sender has received.
  std::vector<Delivery> deliveries;
  MSGPACK_DEFINE(proposed, from, view, safe, deliveries)
};

/// What the members of a new view that come from the same old view deliver of it before they go on.
struct PreviousView {
  std::set<Member> members;
  /// The highest sequence number that one of them knows as safe.
  std::uint64_t safe = 0;
  /// The messages that at least one of them holds.
  std::map<std::uint64_t, Delivery> deliveries;
  MSGPACK_DEFINE(members, safe, deliveries)
};

/// From the coordinator, once all members have flushed: they install the proposed view.
struct GroupInstall {
  ViewId proposed;
  std::set<Member> members;
  std::map<ViewId, PreviousView> previousViews;
  MSGPACK_DEFINE(proposed, members, previousViews)
};

}  // namespace tamarindshift
