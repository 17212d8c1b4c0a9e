#pragma once

#include "base/clock.hpp"
#include "edge/line_link.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class TcpLineLink : public LineLink {
 public:
  TcpLineLink(boost::asio::io_context& context, Clock& clock, Detours detours = {})
      : context_(context), clock_(clock), detours_(std::move(detours)) {}
  Task<std::unique_ptr<LineConnection>> open(Address address, Instant deadline) override;

 private:
  boost::asio::io_context& context_;
  Clock& clock_;
  Detours detours_;
};

}  // namespace tamarindshift
