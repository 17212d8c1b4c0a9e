#include "real/tcp_line_door.hpp"

#include "base/gate.hpp"
#include "real/completion.hpp"
#include "real/endpoint.hpp"
#include "real/tcp_line_connection.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr Duration clientUnanswered = 20s;

}  // namespace

TcpLineDoor::TcpLineDoor(boost::asio::io_context& context, Clock& clock, Address address, LineKeeper& keeper)
    : context_(context), clock_(clock), address_(std::move(address)), keeper_(keeper), acceptor_(context) {}

std::optional<std::string> TcpLineDoor::open() {
  auto endpoint = endpointOf(address_);
  if (!endpoint) return "not an address of the form ip:port: " + address_.get();
  Error error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(1024, error);
  if (error) return "cannot listen on " + address_.get() + ": " + error.message();
  scope_.spawn(accept());
  return std::nullopt;
}

Task<void> TcpLineDoor::accept() {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(context_);
    auto [error] = co_await Completion<Error>([&](auto done) { acceptor_.async_accept(*socket, done); });
    if (error) {
      co_await sleep(clock_, 50ms);
      continue;
    }
    scope_.spawn(keeper_.serve(std::make_shared<TcpLineConnection>(clock_, std::move(*socket), clientUnanswered)));
  }
}

}  // namespace tamarindshift
