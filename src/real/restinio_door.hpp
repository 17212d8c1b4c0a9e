#pragma once

#include <memory>

#include "base/address.hpp"
#include "base/journal.hpp"
#include "edge/door.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

/// Begins the log line of a request whose handling threw, so that logs can be searched for it.
inline constexpr std::string_view requestThrew = "a request threw: ";

/// The HTTP server of the programs.
class RestinioDoor {
 public:
  /// Serves HTTP requests at `address` with `keeper`; a request whose handling throws is told in `journal`.
  RestinioDoor(boost::asio::io_context& context, Address address, DoorKeeper& keeper, Journal& journal);
  ~RestinioDoor();
  std::optional<std::string> open();
  /// Whether replies wait to be sent.
  bool holdsOutput() const;

 private:
  struct Server;
  std::unique_ptr<Server> server_;
};

}  // namespace tamarindshift
