#include "real/tcp_line_link.hpp"

#include "real/completion.hpp"
#include "real/endpoint.hpp"
#include "real/tcp_line_connection.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr Duration backEndUnanswered = 3s;

}  // namespace

Task<std::unique_ptr<LineConnection>> TcpLineLink::open(Address address, Instant deadline) {
  auto endpoint = endpointOf(detoured(detours_, address));
  if (!endpoint) co_return nullptr;
  auto socket = std::make_shared<tcp::socket>(context_);
  auto limit = clock_.after(std::max(Duration::zero(), deadline - clock_.now()), [weak = std::weak_ptr<tcp::socket>(socket)] {
    Error ignored;
    if (auto open = weak.lock()) open->close(ignored);
  });
  auto [error] = co_await Completion<Error>([&](auto done) {
    socket->async_connect(*endpoint, [socket, done](Error failure) {
      done(failure);
    });
  });
  clock_.cancel(limit);
  if (error || !socket->is_open()) co_return nullptr;
  co_return std::make_unique<TcpLineConnection>(clock_, std::move(*socket), backEndUnanswered);
}

}  // namespace tamarindshift
