#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "base/address.hpp"
#include "base/clock.hpp"
#include "base/task_scope.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class TcpListener {
 public:
  using Accepted = std::function<void(std::shared_ptr<boost::asio::ip::tcp::socket>)>;

  TcpListener(boost::asio::io_context& context, Clock& clock, Accepted accepted);
  std::optional<std::string> open(const Address& address, int mostUnaccepted);

 private:
  Task<void> accept();

  boost::asio::io_context& context_;
  Clock& clock_;
  Accepted accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
  TaskScope scope_;
};

}  // namespace tamarindshift
