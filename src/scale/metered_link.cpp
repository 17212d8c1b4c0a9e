#include "scale/metered_link.hpp"

#include <msgpack.hpp>

namespace tamarindshift {

MeteredLink::MeteredLink(PeerLink& inner, Traffic& traffic, PeerClass peerClass)
    : inner_(inner), traffic_(traffic), peerClass_(std::move(peerClass)) {
  for (int number = 1; number < 64; ++number) {
    auto matter = static_cast<MessageType>(number);
    inner_.on(matter, [this, matter](const Address& from, const std::string& body) {
      Envelope envelope{matter, body};
      traffic_.in[name(from, envelope)] += Flow{1, body.size() + frameHead};
      arrived(from, envelope);
    });
  }
}

void MeteredLink::pass(const Address& peer, Envelope envelope) {
  traffic_.out[name(peer, envelope)] += Flow{1, envelope.body.size() + frameHead};
  inner_.pass(peer, std::move(envelope));
}

std::string MeteredLink::subject(const Envelope& envelope) {
  switch (envelope.type) {
    case MessageType::request:
      break;
    case MessageType::reply:
      return "reply";
    case MessageType::groupHeartbeat:
      return "group-heartbeat";
    case MessageType::joinSnapshot:
      return "snapshot";
    default:
      return "group";
  }
  bool referenced = false;
  auto reference = [](msgpack::type::object_type, std::size_t, void*) {
    return true;
  };
  auto handle = msgpack::unpack(envelope.body.data(), envelope.body.size(), referenced, reference);
  const auto& object = handle.get();
  constexpr std::size_t subjectOfAsk = 2;  // as PeerRequest lays its fields
  if (object.type != msgpack::type::ARRAY || object.via.array.size <= subjectOfAsk) return "ask";
  return object.via.array.ptr[subjectOfAsk].as<std::string>();
}

}  // namespace tamarindshift
