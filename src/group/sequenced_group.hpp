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

class SequencedGroup : public Group {
 public:
  SequencedGroup(Clock& clock, PeerLink& link, Journal& journal, Member own, std::set<Address> seeds, GroupTimings timings);

  void join(GroupListener& listener) override;
  void multicast(const ViewId& view, std::string payload, bool durable) override;
  std::optional<Instant> viewConfirmedAt() const override;
  std::set<ServerId> unjoinedServers() const override;

  void meet(const std::set<Address>& addresses);
  /// Leaves the view and stays alone until the process ends; the others hear of it with the next heartbeat.
  void retire();
  void setFoundingMembers(std::set<ServerId> foundingMembers);
  std::optional<std::set<ServerId>> unjoinedSeeds() const;
  std::optional<std::set<ServerId>> agreedFoundingMembers() const;
  std::vector<Address> joinedPeers() const;
  const std::set<Address>& knownAddresses() const { return known_; }
  const ViewId& view() const { return view_; }

 private:
  struct Peer {
    GroupHeartbeat heartbeat;
    Instant heardAt{};
    std::optional<Instant> refusedUntil;
    /// When its machine said that its process has ended.
    std::optional<Instant> endedAt;
    std::optional<Instant> confirmedAt;
    std::optional<Instant> proofWaiting;
    std::uint64_t proofNeeds = 0;
    std::uint64_t receivedBefore = 0;
  };
  struct Unordered {
    std::uint64_t number = 0;
    std::string payload;
    bool durable = false;
    Instant sentAt{};
  };
  struct Forming {
    ViewId proposed;
    std::set<Member> members;
    std::map<Member, GroupFlushed> flushed;
    Instant deadline{};
  };

  template <class Body>
  void route(MessageType matter, void (SequencedGroup::*handler)(const Body&));
  template <class Body>
  void send(const Address& peer, MessageType matter, const Body& body) {
    link_.pass(peer, Envelope{matter, packed(body)});
  }

  Task<void> work();
  Task<void> heartbeat();
  Task<void> proveSoon();
  void sendHeartbeats();
  void onHeartbeat(const GroupHeartbeat& heartbeat);
  void onRefused(const Address& address);
  void onSubmit(const GroupSubmit& submit);
  void onOrdered(const GroupOrdered& ordered);
  void onAcked(const GroupMark& mark);
  void onSafe(const GroupMark& mark);
  void onPrepare(const GroupPrepare& prepare);
  void onFlushed(const GroupFlushed& flushed);
  void onInstall(const GroupInstall& install);

  std::set<Member> reachable() const;
  bool isSequencer() const;
  Duration settlesIn(const std::set<Member>& candidates) const;
  bool needsNewView(const std::set<Member>& reachable) const;
  void considerForming();
  void prepareAgain();
  void startForming(std::set<Member> members);
  void finishForming();
  void submit(Unordered& unordered);
  void submitAgain();
  void orderAgain(const Address& peer, std::uint64_t received);
  void order(const GroupSubmit& submit);
  void hold(const GroupOrdered& ordered);
  void becameStable(const ViewId& view, std::uint64_t upto);
  void recordAck(const Member& member, std::uint64_t upto);
  void advanceSafe(std::uint64_t upto);
  void deliverUpTo(std::uint64_t upto);
  void settleProof(Peer& peer);

  /// What is sent again at one heartbeat, to each peer; the rest follows once that has arrived.
  static constexpr std::size_t repeatedBytes = 1u << 20;

  Clock& clock_;
  PeerLink& link_;
  Journal& journal_;
  Member own_;
  std::set<Address> seeds_;
  GroupTimings timings_;
  GroupListener* listener_ = nullptr;
  std::set<Address> known_;
  std::set<ServerId> foundingMembers_;
  std::map<Address, Peer> peers_;

  ViewId view_;
  std::set<Member> members_;
  ViewId promised_;
  bool flushing_ = true;
  bool retiring_ = false;
  Instant flushedAt_{};
  std::uint64_t highestCounter_ = 0;
  std::optional<Instant> unsettledSince_;
  std::optional<Forming> forming_;

  std::map<std::uint64_t, Delivery> held_;
  std::uint64_t received_ = 0;
  std::uint64_t stable_ = 0;
  std::uint64_t safe_ = 0;
  std::uint64_t delivered_ = 0;

  std::deque<Unordered> unordered_;
  std::uint64_t lastNumber_ = 0;

  std::uint64_t lastSequence_ = 0;
  std::map<Member, std::uint64_t> numbers_;
  std::map<Member, std::uint64_t> acked_;
  std::map<std::uint64_t, GroupOrdered> ordered_;

  Queue<std::function<void()>> queue_;
  TaskScope scope_;
};

}  // namespace tamarindshift
