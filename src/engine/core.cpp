#include "engine/core.hpp"

namespace tamarindshift {

Core::Core(Clock& clock, PeerLink& link, StableStore& store, Application& application, Journal& journal, CoreSettings settings,
           std::uint64_t incarnation)
    : clock_(clock),
      link_(link),
      store_(store),
      application_(application),
      journal_(journal),
      settings_(std::move(settings)),
      incarnation_(incarnation) {}

std::optional<std::string> Core::start() {
  auto records = store_.load();
  if (!records) return store_.lastReason();
  own_ = ServerId{settings_.address, Incarnation{incarnation_}};
  for (const auto& bytes : *records) {
    auto record = unpacked<EngineRecord>(bytes);
    if (!record) return "the store holds a record of " + std::to_string(bytes.size()) + " bytes that cannot be read";
    if (record->kind != EngineRecordKind::identity) continue;
    auto identity = unpacked<IdentityRecord>(record->body);
    if (!identity) return "the identity record of the store cannot be read";
    if (identity->serverId.address != settings_.address)
      return "the data folder belongs to " + identity->serverId.address.get() + ", not to " + settings_.address.get();
    own_ = identity->serverId;
  }
  Member member{own_, Boot{incarnation_ ^ 0x9e3779b97f4a7c15ULL}};
  group_ = std::make_unique<SequencedGroup>(clock_, link_, journal_, member, settings_.seeds, settings_.timings);
  engine_ = std::make_unique<ReplicationEngine>(clock_, *group_, store_, application_, journal_, settings_.bounds);
  if (!engine_->recover(*records)) return "the store holds a record that cannot be read";
  std::set<Address> addresses;
  for (const auto& server : engine_->members()) addresses.insert(server.address);
  group_->addKnownAddresses(addresses);
  link_.on(MessageType::joinRequest, [this](const Address& from, const std::string& bytes) {
    onJoinRequest(from, bytes);
  });
  link_.on(MessageType::joinSnapshot, [this](const Address& from, const std::string& bytes) {
    auto snapshot = unpacked<EngineSnapshot>(bytes);
    if (snapshot && engine_->identity() && engine_->joinFromSnapshot(*snapshot))
      journal_.line("joined the group with a snapshot from " + from.get());
  });
  link_.on(MessageType::removalNotice, [this](const Address&, const std::string& bytes) {
    auto server = unpacked<ServerId>(bytes);
    if (server && *server == own_) removedFromGroup_ = true;
  });
  if (engine_->identity()) {
    group_->setFoundingMembers(engine_->identity()->foundingMembers);
    if (!engine_->isMember()) scope_.spawn(joinOrFoundGroup());
  } else {
    engine_->writeIdentity(IdentityRecord{own_, {}, false}, [this] {
      scope_.spawn(joinOrFoundGroup());
    });
  }
  return std::nullopt;
}

void Core::onJoinRequest(const Address& from, const std::string& bytes) {
  auto joiner = unpacked<ServerId>(bytes);
  if (!joiner || !engine_->isMember()) return;
  if (engine_->hasLeft(*joiner))
    link_.pass(from, Envelope{MessageType::removalNotice, packed(*joiner)});
  else if (engine_->hasMember(*joiner))
    link_.pass(from, Envelope{MessageType::joinSnapshot, packed(engine_->takeSnapshot())});
  else
    engine_->requestJoin(*joiner);
}

Task<void> Core::joinOrFoundGroup() {
  std::size_t attempt = 0;
  while (!engine_->isMember()) {
    auto identity = *engine_->identity();
    auto agreed = group_->agreedFoundingMembers();
    auto joined = group_->joinedPeers();
    if (agreed && agreed->contains(own_)) {
      identity.foundingMembers = *agreed;
      identity.founded = true;
      engine_->writeIdentity(identity, [] {});
      group_->setFoundingMembers(*agreed);
      engine_->foundGroup();
      journal_.line("founded a group of " + std::to_string(agreed->size()) + " members");
    } else if (!joined.empty()) {
      link_.pass(joined[attempt++ % joined.size()], Envelope{MessageType::joinRequest, packed(own_)});
      co_await sleep(clock_, 2 * settings_.timings.heartbeatInterval);
    } else if (auto seeds = settings_.mayFoundGroup ? group_->unjoinedSeeds() : std::nullopt;
               seeds && seeds->contains(own_) && *seeds != identity.foundingMembers) {
      identity.foundingMembers = *seeds;
      Gate synced;
      engine_->writeIdentity(identity, [&synced] {
        synced.open();
      });
      co_await synced.wait(clock_);
      group_->setFoundingMembers(identity.foundingMembers);
    }
    co_await sleep(clock_, settings_.timings.heartbeatInterval);
  }
}

}  // namespace tamarindshift
