#include "runner/relay.hpp"

#include <array>

#include "real/completion.hpp"
#include "real/endpoint.hpp"

namespace tamarindshift {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

Relay::Relay(boost::asio::io_context& context, Clock& clock, Address own, Address target)
    : context_(context), clock_(clock), own_(std::move(own)), target_(std::move(target)), acceptor_(context) {}

bool Relay::listen() {
  Error error;
  auto endpoint = endpointOf(own_);
  if (!endpoint) return false;
  acceptor_.open(endpoint->protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  if (error) return false;
  scope_.spawn(accept());
  return true;
}

void Relay::reset() {
  Error ignored;
  for (const auto& each : std::exchange(sockets_, {}))
    if (auto socket = each.lock()) socket->close(ignored);
}

Task<void> Relay::accept() {
  for (;;) {
    auto near = std::make_shared<Socket>(context_);
    auto [error] = co_await Completion<Error>([&](auto done) {
      acceptor_.async_accept(*near, done);
    });
    if (error) co_return;
    scope_.spawn(join(near));
  }
}

Task<void> Relay::join(std::shared_ptr<Socket> near) {
  while (cut_) co_await sleep(clock_, 20ms);
  auto far = std::make_shared<Socket>(context_);
  auto endpoint = endpointOf(target_).value_or(tcp::endpoint{});
  auto [error] = co_await Completion<Error>([&](auto done) {
    far->async_connect(endpoint, [far, done](Error failure) {
      done(failure);
    });
  });
  Error ignored;
  if (error) {
    near->close(ignored);
    co_return;
  }
  near->set_option(tcp::no_delay(true), ignored);
  far->set_option(tcp::no_delay(true), ignored);
  std::erase_if(sockets_, [](const auto& each) {
    return each.expired();
  });
  sockets_.push_back(near);
  sockets_.push_back(far);
  scope_.spawn(pump(near, far));
  scope_.spawn(pump(far, near));
}

Task<void> Relay::pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to) {
  auto buffer = std::make_shared<std::array<char, 16384>>();
  Error ignored;
  for (;;) {
    auto [readError, size] = co_await Completion<Error, std::size_t>([&](auto done) {
      from->async_read_some(boost::asio::buffer(*buffer), [from, buffer, done](Error error, std::size_t amount) {
        done(error, amount);
      });
    });
    if (delay_ > Duration::zero()) co_await sleep(clock_, delay_);
    while (cut_) co_await sleep(clock_, 20ms);
    if (readError) break;
    auto [writeError, written] = co_await Completion<Error, std::size_t>([&](auto done) {
      boost::asio::async_write(*to, boost::asio::buffer(buffer->data(), size), [to, buffer, done](Error error, std::size_t amount) {
        done(error, amount);
      });
    });
    if (writeError || written != size) break;
  }
  from->close(ignored);
  to->close(ignored);
}

}  // namespace tamarindshift
