#pragma once

#include <deque>

#include "base/clock.hpp"
#include "base/gate.hpp"
#include "base/journal.hpp"
#include "base/peer_link.hpp"
#include "base/task_scope.hpp"
#include "real/tcp_listener.hpp"

namespace tamarindshift {

class TcpLink : public PeerLink {
 public:
  TcpLink(boost::asio::io_context& context, Clock& clock, Journal& journal, Address own, Detours detours);
  std::optional<std::string> listen();
  const Address& own() const override { return own_; }
  void pass(const Address& peer, Envelope envelope) override;
  std::size_t arriving(const Address& peer) const override;

 private:
  struct Outgoing {
    std::deque<std::string> queue;
    std::size_t bytes = 0;
    Gate filled;
    std::weak_ptr<boost::asio::ip::tcp::socket> socket;
    bool connecting = false;
  };
  // a whole control state with thousands of routes, and the orders that follow it, must fit
  static constexpr std::size_t mostQueueBytes = 48u << 20;
  // the queues of all peers together
  static constexpr std::size_t mostQueuedBytes = 64u << 20;
  static constexpr std::size_t mostFrameBytes = 32u << 20;
  static constexpr std::size_t receivedAtOnceBytes = 64u << 10;

  void heardFrom(const Address& peer, bool restarted);
  std::string hello() const { return own_.get() + " " + std::to_string(boot_); }
  Task<bool> receiveBody(boost::asio::ip::tcp::socket& socket, std::shared_ptr<std::string> body, std::size_t size,
                         const std::optional<Address>& from);
  Task<void> receive(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  Task<void> send(Address peer);
  void enqueued(Outgoing& outgoing, std::size_t bytes);
  void dequeued(Outgoing& outgoing, std::size_t bytes);

  boost::asio::io_context& context_;
  Clock& clock_;
  Journal& journal_;
  Address own_;
  Detours detours_;
  std::uint64_t boot_;
  std::map<Address, std::string> boots_;
  std::map<Address, std::size_t> arriving_;
  std::map<Address, std::unique_ptr<Outgoing>> outgoing_;
  std::size_t queuedBytes_ = 0;
  TaskScope scope_;
  TcpListener listener_;
};

}  // namespace tamarindshift
