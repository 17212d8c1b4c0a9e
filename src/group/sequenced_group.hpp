#pragma once

#include <deque>

#include "base/queue.hpp"
#include "base/journal.hpp"
#include "base/peer_link.hpp"
#include "base/task_scope.hpp"
#include "group/group.hpp"
#include "group/group_messages.hpp"
#include "group/group_timings.hpp"

namespace tamarindshift {

/// A `Group` in which one member of each view, the sequencer, puts all messages in order.
///
/// Members find each other by heartbeats: to the seeds first, then to every address that another heartbeat names. The lowest
/// reachable member coordinates view changes (prepare, flush, install), and the lowest member of the view is its
/// sequencer. A message is safe, and is delivered, once all members of the view have acknowledged it. Lost messages are sent
/// again with the heartbeats.
class SequencedGroup : public Group {
 public:
  SequencedGroup(Clock& clock, PeerLink& link, Journal& journal, Member own, std::set<Address> seeds, GroupTimings timings);

  void join(GroupListener& listener) override;
  void multicast(const ViewId& view, std::string payload, bool durable) override;
  std::optional<Instant> viewConfirmedAt() const override;
  std::set<ServerId> unjoinedServers() const override;

  /// Also sends heartbeats to these addresses.
  void addKnownAddresses(const std::set<Address>& addresses);
  /// Leaves the view and stays alone until the process ends; the others learn of it by a heartbeat that is sent at once.
  void retire();
  /// Announces with the heartbeats that this server wants to found the group with these servers, or has done so.
  void setFoundingMembers(std::set<ServerId> foundingMembers);
  /// The servers at the seed addresses; no value unless all of them are reachable and none takes part in views.
  std::optional<std::set<ServerId>> unjoinedSeeds() const;
  /// The founding members on which all of them agree, or with which one of them has founded the group together with this
  /// server; no value if there are none yet.
  std::optional<std::set<ServerId>> agreedFoundingMembers() const;
  /// Reachable servers that take part in views.
  std::vector<Address> joinedPeers() const;
  /// All addresses to which heartbeats are sent; this server's own is not among them.
  const std::set<Address>& knownAddresses() const { return knownAddresses_; }
  const ViewId& view() const { return view_; }

 private:
  struct Peer {
    GroupHeartbeat heartbeat;
    Instant lastContactAt{};
    /// Set when the peer did not reply to a proposal in time: until then it is not proposed again.
    std::optional<Instant> excludedUntil;
    /// When its machine last refused a connection: the process has ended.
    std::optional<Instant> connectionRefusedAt;
    /// See `Group::viewConfirmedAt`, for this peer alone.
    std::optional<Instant> confirmedAt;
    /// An echoed instant that becomes `confirmedAt` once this member has delivered up to `pendingConfirmationNeeds`.
    std::optional<Instant> pendingConfirmation;
    std::uint64_t pendingConfirmationNeeds = 0;
    std::uint64_t receivedBefore = 0;
  };
  /// An own message that has not come back from the sequencer yet.
  struct UnorderedMessage {
    std::uint64_t senderSequence = 0;
    std::string payload;
    bool durable = false;
    Instant sentAt{};
  };
  /// A view change that this member coordinates.
  struct ViewProposal {
    ViewId proposed;
    std::set<Member> members;
    std::map<Member, GroupFlushed> flushed;
    Instant deadline{};
  };

  template <class Body>
  void registerHandler(MessageType type, void (SequencedGroup::*handler)(const Body&));
  template <class Body>
  void send(const Address& peer, MessageType type, const Body& body) {
    link_.pass(peer, Envelope{type, packed(body)});
  }

  Task<void> runCommands();
  Task<void> heartbeatLoop();
  Task<void> confirmNewView();
  void sendHeartbeats();
  void onHeartbeat(const GroupHeartbeat& heartbeat);
  void onRefused(const Address& address);
  void onSubmit(const GroupSubmit& submit);
  void onOrdered(const GroupOrdered& ordered);
  void onAcked(const GroupWatermark& watermark);
  void onSafe(const GroupWatermark& watermark);
  void onPrepare(const GroupPrepare& prepare);
  void onFlushed(const GroupFlushed& flushed);
  void onInstall(const GroupInstall& install);

  std::set<Member> reachable() const;
  bool isSequencer() const;
  Duration settleDurationFor(const std::set<Member>& candidates) const;
  bool needsNewView(const std::set<Member>& reachable) const;
  void considerViewChange();
  void resendPrepare();
  void proposeView(std::set<Member> members);
  void installProposedView();
  void submit(UnorderedMessage& unordered);
  void resendSubmits();
  void resendOrdered(const Address& peer, std::uint64_t received);
  void order(const GroupSubmit& submit);
  void acceptOrdered(const GroupOrdered& ordered);
  void becameStable(const ViewId& view, std::uint64_t sequence);
  void recordAck(const Member& member, std::uint64_t sequence);
  void advanceSafe(std::uint64_t sequence);
  void deliverUpTo(std::uint64_t sequence);
  void applyPendingConfirmation(Peer& peer);

  /// Bound on what is sent again to each peer at one heartbeat; the rest follows once that has arrived.
  static constexpr std::size_t resendBytesPerHeartbeat = 1u << 20;

  Clock& clock_;
  PeerLink& link_;
  Journal& journal_;
  Member own_;
  std::set<Address> seeds_;
  GroupTimings timings_;
  GroupListener* listener_ = nullptr;
  std::set<Address> knownAddresses_;
  std::set<ServerId> foundingMembers_;
  std::map<Address, Peer> peers_;

  ViewId view_;
  std::set<Member> members_;
  // the highest proposal that this member has replied to; it replies to higher ones only
  ViewId promised_;
  // between views, also before the first one
  bool flushing_ = true;
  bool retiring_ = false;
  Instant flushedAt_{};
  std::uint64_t highestCounter_ = 0;
  std::optional<Instant> viewChangeWantedSince_;
  std::optional<ViewProposal> proposal_;

  std::map<std::uint64_t, Delivery> undelivered_;
  // sequence numbers up to which messages of the current view are received here, stored here, stored by all members, delivered here
  std::uint64_t receivedUpTo_ = 0;
  std::uint64_t stableUpTo_ = 0;
  std::uint64_t safeUpTo_ = 0;
  std::uint64_t deliveredUpTo_ = 0;

  // own messages, in the order in which they were sent
  std::deque<UnorderedMessage> unordered_;
  std::uint64_t lastSubmitted_ = 0;

  // used by the sequencer only
  std::uint64_t lastSequence_ = 0;
  std::map<Member, std::uint64_t> lastSenderSequence_;
  std::map<Member, std::uint64_t> acked_;
  // messages that are not safe yet, to be sent again
  std::map<std::uint64_t, GroupOrdered> ordered_;

  Queue<std::function<void()>> queue_;
  TaskScope scope_;
};

}  // namespace tamarindshift
