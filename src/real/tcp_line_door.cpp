#include "real/tcp_line_door.hpp"

#include "real/tcp_line_connection.hpp"

namespace tamarindshift {

namespace {

constexpr Duration clientUnanswered = 20s;
constexpr int mostUnaccepted = 1024;

}  // namespace

TcpLineDoor::TcpLineDoor(boost::asio::io_context& context, Clock& clock, Address address, LineKeeper& keeper)
    : clock_(clock), address_(std::move(address)), keeper_(keeper), listener_(context, clock, [this](auto socket) {
        scope_.spawn(keeper_.serve(std::make_shared<TcpLineConnection>(clock_, std::move(*socket), clientUnanswered)));
      }) {}

std::optional<std::string> TcpLineDoor::open() {
  return listener_.open(address_, mostUnaccepted);
}

}  // namespace tamarindshift
