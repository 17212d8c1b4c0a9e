#pragma once

#include <memory>

#include "base/clock.hpp"
#include "edge/line_link.hpp"
#include "tests/platform/wire_reply.hpp"

namespace tamarindshift::testing {

// the asking side of the wire
class WireChannel {
 public:
  WireChannel(Clock& clock, LineLink& link) : clock_(clock), link_(link) {}
  Task<bool> open(Address address, Instant deadline);
  // complete where IDLE came
  Task<WireReply> setUp(std::string database, std::string who, std::string id, Instant deadline);
  Task<WireReply> query(std::string id, std::string text, Instant deadline);
  // a message or a close that came while nothing was asked
  Task<std::optional<std::string>> unasked(Instant deadline);
  bool usable() const { return connection_ && connection_->usable(); }
  void release();
  void drop() { connection_.reset(); }

 private:
  Task<WireReply> answer(Instant deadline, bool settingUp);
  Clock& clock_;
  LineLink& link_;
  std::unique_ptr<LineConnection> connection_;
};

}  // namespace tamarindshift::testing
