#pragma once

#include "base/address.hpp"
#include "base/clock.hpp"
#include "base/task_scope.hpp"
#include "edge/line_keeper.hpp"
#include "real/tcp_listener.hpp"

namespace tamarindshift {

class TcpLineDoor {
 public:
  TcpLineDoor(boost::asio::io_context& context, Clock& clock, Address address, LineKeeper& keeper);
  std::optional<std::string> open();

 private:
  Clock& clock_;
  Address address_;
  LineKeeper& keeper_;
  TcpListener listener_;
  TaskScope scope_;
};

}  // namespace tamarindshift
