#include "real/tcp_listener.hpp"

#include "base/gate.hpp"
#include "real/completion.hpp"
#include "real/endpoint.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

TcpListener::TcpListener(boost::asio::io_context& context, Clock& clock, Accepted accepted)
    : context_(context), clock_(clock), accepted_(std::move(accepted)), acceptor_(context) {}

std::optional<std::string> TcpListener::open(const Address& address, int mostUnaccepted) {
  auto endpoint = endpointOf(address);
  if (!endpoint) return "not an address of the form ip:port: " + address.get();
  Error error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(mostUnaccepted, error);
  if (error) return "cannot listen on " + address.get() + ": " + error.message();
  scope_.spawn(accept());
  return std::nullopt;
}

Task<void> TcpListener::accept() {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(context_);
    auto [error] = co_await Completion<Error>([&](auto done) {
      acceptor_.async_accept(*socket, done);
    });
    if (error)
      co_await sleep(clock_, 50ms);
    else
      accepted_(socket);
  }
}

}  // namespace tamarindshift
