#pragma once

#include <vector>

#include "base/address.hpp"
#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class Relay {
 public:
  Relay(boost::asio::io_context& context, Clock& clock, Address own, Address target);
  bool listen();
  const Address& own() const { return own_; }
  void cut(bool cut) { cut_ = cut; }
  void delay(Duration delay) { delay_ = delay; }
  /// Closes all connections that go through now.
  void reset();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  Task<void> accept();
  Task<void> join(std::shared_ptr<Socket> near);
  Task<void> pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to);

  boost::asio::io_context& context_;
  Clock& clock_;
  Address own_;
  Address target_;
  bool cut_ = false;
  Duration delay_{};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Socket>> sockets_;
  TaskScope scope_;
};

}  // namespace tamarindshift
