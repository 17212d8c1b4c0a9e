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
    if (!record) return "the store holds an unreadable record";
    if (record->kind != EngineRecordKind::identity) continue;
    auto identity = unpacked<IdentityRecord>(record->body);
    if (!identity) return "the store holds an unreadable identity";
    if (identity->serverId.address != settings_.address) return "the data folder belongs to " + identity->serverId.address.get();
    own_ = identity->serverId;
  }
  Member member{own_, Boot{incarnation_ ^ 0x9e3779b97f4a7c15ULL}};
  group_ = std::make_unique<SequencedGroup>(clock_, link_, journal_, member, settings_.seeds, settings_.timings);
  engine_ = std::make_unique<ReplicationEngine>(clock_, *group_, store_, application_, journal_, settings_.bounds);
  if (!engine_->recover(*records)) return "the store holds an unreadable record";
  std::set<Address> addresses;
  for (const auto& server : engine_->members()) addresses.insert(server.address);
  group_->meet(addresses);
  link_.on(MessageType::joinRequest, [this](const Address& from, const std::string& bytes) {
    onJoinAsk(from, bytes);
  });
  link_.on(MessageType::joinSnapshot, [this](const Address& from, const std::string& bytes) {
    auto snapshot = unpacked<EngineSnapshot>(bytes);
    if (snapshot && engine_->identity() && engine_->adopt(*snapshot)) journal_.line("joined with a snapshot from " + from.get());
  });
  link_.on(MessageType::removalNotice, [this](const Address&, const std::string& bytes) {
    auto server = unpacked<ServerId>(bytes);
    if (server && *server == own_) removedFromGroup_ = true;
  });
  if (engine_->identity()) {
    group_->setFoundingMembers(engine_->identity()->foundingMembers);
    if (!engine_->isMember()) scope_.spawn(enter());
  } else {
    engine_->writeIdentity(IdentityRecord{own_, {}, false}, [this] {
      scope_.spawn(enter());
    });
  }
  return std::nullopt;
}

void Core::onJoinAsk(const Address& from, const std::string& bytes) {
  auto joiner = unpacked<ServerId>(bytes);
  if (!joiner || !engine_->isMember()) return;
  if (engine_->hasLeft(*joiner))
    link_.pass(from, Envelope{MessageType::removalNotice, packed(*joiner)});
  else if (engine_->hasMember(*joiner))
    link_.pass(from, Envelope{MessageType::joinSnapshot, packed(engine_->snapshotNow())});
  else
    engine_->requestJoin(*joiner);
}

Task<void> Core::enter() {
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
      engine_->found();
      journal_.line("founded a group of " + std::to_string(agreed->size()));
    } else if (!joined.empty()) {
      link_.pass(joined[attempt++ % joined.size()], Envelope{MessageType::joinRequest, packed(own_)});
      co_await sleep(clock_, 2 * settings_.timings.heartbeatInterval);
    } else if (auto seeds = settings_.mayFound ? group_->unjoinedSeeds() : std::nullopt;
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
