#include "real/tcp_line_connection.hpp"

#include <array>

#include <netinet/tcp.h>

#include "real/completion.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t mostOutgoing = 16u << 20;

}  // namespace

TcpLineConnection::TcpLineConnection(Clock& clock, tcp::socket socket, Duration unanswered)
    : clock_(clock), wire_(std::make_shared<Wire>(std::move(socket))) {
  Error ignored;
  wire_->socket.non_blocking(true, ignored);
  wire_->socket.set_option(tcp::no_delay(true), ignored);
  using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  wire_->socket.set_option(UserTimeout(static_cast<int>(milliseconds(unanswered).count())), ignored);
}

TcpLineConnection::~TcpLineConnection() {
  wire_->reader = nullptr;
  close();
}

void TcpLineConnection::Wire::wake() {
  if (auto waiting = std::exchange(reader, nullptr)) waiting();
}

void TcpLineConnection::Wire::shut() {
  open = false;
  ended = true;
  Error ignored;
  socket.close(ignored);
  wake();
}

void TcpLineConnection::Wire::arm() {
  if (armed || !open || ended || arrived.size() > mostLineBytes) return;
  armed = true;
  socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
    self->armed = false;
    if (error)
      self->ended = true;
    else
      self->take();
    self->wake();
  });
}

void TcpLineConnection::Wire::take() {
  static std::array<char, 65536> scratch;
  Error error;
  auto size = socket.read_some(boost::asio::buffer(scratch), error);
  if (error == boost::asio::error::would_block) return;
  if (error) {
    ended = true;
    return;
  }
  arrived.append(scratch.data(), size);
}

void TcpLineConnection::Wire::flush() {
  if (!leaving.empty() || !open) return;
  if (outgoing.empty()) {
    if (closing) shut();
    return;
  }
  Error error;
  auto size = socket.write_some(boost::asio::buffer(outgoing), error);
  if (error && error != boost::asio::error::would_block) return shut();
  if (!error && size == outgoing.size()) {
    outgoing.clear();
    if (closing) shut();
    return;
  }
  outgoing.erase(0, error ? 0 : size);
  leaving.swap(outgoing);
  boost::asio::async_write(socket, boost::asio::buffer(leaving), [self = shared_from_this()](Error failure, std::size_t) {
    self->leaving.clear();
    if (failure) return self->shut();
    self->flush();
  });
}

std::optional<std::string> TcpLineConnection::lineHeld() {
  auto& arrived = wire_->arrived;
  auto end = arrived.find("\r\n", wire_->scanned);
  if (end == std::string::npos) {
    wire_->scanned = arrived.empty() ? 0 : arrived.size() - 1;
    return std::nullopt;
  }
  std::string line = arrived.substr(0, end);
  arrived.erase(0, end + 2);
  wire_->scanned = 0;
  if (arrived.empty() && arrived.capacity() > 8192) std::string{}.swap(arrived);
  return line;
}

Task<std::optional<std::string>> TcpLineConnection::readLine(std::optional<Instant> deadline) {
  auto wire = wire_;
  for (;;) {
    auto line = lineHeld();
    if (line && line->size() <= mostLineBytes) {
      wire->arm();
      co_return line;
    }
    wire->tooLong = wire->tooLong || line || wire->arrived.size() > mostLineBytes;
    if (wire->tooLong || wire->ended || !wire->open || (deadline && clock_.now() >= *deadline)) co_return std::nullopt;
    std::optional<TimerId> timer;
    if (deadline)
      timer = clock_.after(*deadline - clock_.now(), [weak = std::weak_ptr<Wire>(wire)] {
        if (auto held = weak.lock()) held->wake();
      });
    wire->arm();
    co_await Completion<>([&](auto done) {
      wire->reader = done;
    });
    if (timer) clock_.cancel(*timer);
  }
}

bool TcpLineConnection::write(std::string bytes) {
  if (!usable() || wire_->closing || wire_->outgoing.size() + bytes.size() > mostOutgoing) return false;
  wire_->outgoing += bytes;
  wire_->flush();
  return wire_->open;
}

void TcpLineConnection::close() {
  wire_->closing = true;
  wire_->flush();
  if (!wire_->leaving.empty()) {
    wire_->ended = true;
    wire_->wake();
  }
}

}  // namespace tamarindshift
