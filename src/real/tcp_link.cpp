#include "real/tcp_link.hpp"

#include <algorithm>
#include <cstring>

#include <netinet/tcp.h>

#include "real/completion.hpp"
#include "real/endpoint.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr Duration unanswered = 1s;

void breakWhenUnanswered(tcp::socket& socket) {
  Error ignored;
  using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(UserTimeout(static_cast<int>(milliseconds(unanswered).count())), ignored);
}

// a connection whose far end is gone without a word must not be kept for ever
void askWhetherAlive(tcp::socket& socket) {
  Error ignored;
  using Idle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Pause = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Most = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(Idle(10), ignored);
  socket.set_option(Pause(2), ignored);
  socket.set_option(Most(3), ignored);
}

// a peer never sends on a connection that we opened: if it can be read, it has ended
void watchEnd(const std::shared_ptr<tcp::socket>& socket) {
  socket->async_wait(tcp::socket::wait_read, [weak = std::weak_ptr<tcp::socket>(socket)](Error) {
    Error ignored;
    if (auto open = weak.lock()) open->close(ignored);
  });
}

std::string framed(const Envelope& envelope) {
  auto size = static_cast<std::uint32_t>(envelope.body.size() + 1);
  std::string frame(4, '\0');
  std::memcpy(frame.data(), &size, 4);
  frame.push_back(static_cast<char>(envelope.type));
  frame += envelope.body;
  return frame;
}

}  // namespace

TcpLink::TcpLink(boost::asio::io_context& context, Clock& clock, Journal& journal, Address own, Detours detours)
    : context_(context),
      clock_(clock),
      journal_(journal),
      own_(std::move(own)),
      detours_(std::move(detours)),
      boot_(static_cast<std::uint64_t>(clock.now().time_since_epoch().count())),
      listener_(context, clock, [this](auto socket) {
        scope_.spawn(receive(std::move(socket)));
      }) {}

std::optional<std::string> TcpLink::listen() {
  return listener_.open(own_, tcp::acceptor::max_listen_connections);
}

std::size_t TcpLink::arriving(const Address& peer) const {
  auto found = arriving_.find(peer);
  return found == arriving_.end() ? 0 : found->second;
}

// the memory it takes follows what has arrived, not what was announced
Task<bool> TcpLink::receiveBody(tcp::socket& socket, std::shared_ptr<std::string> body, std::size_t size,
                                const std::optional<Address>& from) {
  std::size_t received = 0;
  while (received < size) {
    if (from && received > 0) arriving_[*from] = received;
    body->resize(std::min(size, received + receivedAtOnceBytes));
    auto [error, amount] = co_await Completion<Error, std::size_t>([&](auto done) {
      socket.async_read_some(boost::asio::buffer(body->data() + received, body->size() - received),
                             [body, done](Error failure, std::size_t read) {
                               done(failure, read);
                             });
    });
    received += amount;
    if (error) break;
  }
  if (from) arriving_.erase(*from);
  co_return received == size;
}

Task<void> TcpLink::receive(std::shared_ptr<tcp::socket> socket) {
  Error ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  askWhetherAlive(*socket);
  std::optional<Address> from;
  for (;;) {
    auto head = std::make_shared<std::uint32_t>(0);
    auto [headError, headSize] = co_await Completion<Error, std::size_t>([&](auto done) {
      boost::asio::async_read(*socket, boost::asio::buffer(head.get(), 4), [head, done](Error error, std::size_t size) {
        done(error, size);
      });
    });
    if (headError || headSize != 4 || *head == 0 || *head > mostFrameBytes) co_return;
    auto body = std::make_shared<std::string>();
    bool whole = co_await receiveBody(*socket, body, *head, from);
    if (!whole) co_return;
    Envelope envelope{static_cast<MessageType>(body->front()), body->substr(1)};
    if (!from) {
      auto blank = envelope.body.find(' ');
      from = Address{envelope.body.substr(0, blank)};
      auto boot = blank == std::string::npos ? std::string{} : envelope.body.substr(blank + 1);
      auto [known, fresh] = boots_.try_emplace(*from, boot);
      bool restarted = !fresh && std::exchange(known->second, boot) != boot;
      heardFrom(*from, restarted);
    } else
      arrived(*from, envelope);
  }
}

// what was sent to a peer that has restarted is lost; without this the next message would be too.
// A connection asked for while the peer was silent is asked for anew.
void TcpLink::heardFrom(const Address& peer, bool restarted) {
  auto found = outgoing_.find(peer);
  if (found == outgoing_.end() || (!restarted && !found->second->connecting)) return;
  Error ignored;
  if (auto socket = found->second->socket.lock()) socket->close(ignored);
}

void TcpLink::pass(const Address& peer, Envelope envelope) {
  auto& outgoing = outgoing_[peer];
  if (!outgoing) {
    outgoing = std::make_unique<Outgoing>();
    scope_.spawn(send(peer));
  }
  auto frame = framed(envelope);
  if (outgoing->bytes + frame.size() > mostQueueBytes || queuedBytes_ + frame.size() > mostQueuedBytes) {
    journal_.count("link.dropped");
    return;
  }
  enqueued(*outgoing, frame.size());
  outgoing->queue.push_back(std::move(frame));
  outgoing->filled.open();
}

void TcpLink::enqueued(Outgoing& outgoing, std::size_t bytes) {
  outgoing.bytes += bytes;
  queuedBytes_ += bytes;
}

void TcpLink::dequeued(Outgoing& outgoing, std::size_t bytes) {
  outgoing.bytes -= bytes;
  queuedBytes_ -= bytes;
}

Task<void> TcpLink::send(Address peer) {
  auto& outgoing = *outgoing_.at(peer);
  auto endpoint = endpointOf(detoured(detours_, peer));
  while (endpoint) {
    while (outgoing.queue.empty()) co_await outgoing.filled.wait(clock_);
    auto socket = std::make_shared<tcp::socket>(context_);
    auto limit = clock_.after(250ms, [weak = std::weak_ptr<tcp::socket>(socket)] {
      Error ignored;
      if (auto open = weak.lock()) open->close(ignored);
    });
    outgoing.socket = socket;
    outgoing.connecting = true;
    auto [connectError] = co_await Completion<Error>([&](auto done) {
      socket->async_connect(*endpoint, [socket, done](Error error) {
        done(error);
      });
    });
    outgoing.connecting = false;
    clock_.cancel(limit);
    if (connectError) {
      outgoing.queue.clear();
      dequeued(outgoing, outgoing.bytes);
      if (connectError == boost::asio::error::connection_refused) refusedBy(peer);
      co_await sleep(clock_, 20ms);
      continue;
    }
    Error ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    breakWhenUnanswered(*socket);
    watchEnd(socket);
    outgoing.queue.push_front(framed(Envelope{MessageType{}, hello()}));
    enqueued(outgoing, outgoing.queue.front().size());
    for (;;) {
      while (outgoing.queue.empty()) co_await outgoing.filled.wait(clock_);
      if (!socket->is_open()) break;
      auto batch = std::make_shared<std::string>();
      while (!outgoing.queue.empty() && batch->size() < 65536) {
        *batch += outgoing.queue.front();
        outgoing.queue.pop_front();
      }
      dequeued(outgoing, batch->size());
      auto [error, size] = co_await Completion<Error, std::size_t>([&](auto done) {
        boost::asio::async_write(*socket, boost::asio::buffer(*batch), [socket, batch, done](Error failure, std::size_t amount) {
          done(failure, amount);
        });
      });
      if (error || size != batch->size()) break;
    }
    journal_.count("link.resets");
    socket->close(ignored);
  }
}

}  // namespace tamarindshift
