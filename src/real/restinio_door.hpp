#pragma once

#include <memory>

#include "base/address.hpp"
#include "edge/door.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class RestinioDoor {
 public:
  RestinioDoor(boost::asio::io_context& context, Address address, DoorKeeper& keeper);
  ~RestinioDoor();
  std::optional<std::string> open();

 private:
  struct Server;
  std::unique_ptr<Server> server_;
};

}  // namespace tamarindshift
