#include "tests/platform/wire_channel.hpp"

#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

Task<bool> WireChannel::open(Address address, Instant deadline) {
  connection_ = co_await link_.open(std::move(address), deadline);
  co_return connection_ != nullptr;
}

Task<WireReply> WireChannel::setUp(std::string database, std::string who, std::string id, Instant deadline) {
  connection_->write("SETUP " + database + " " + who + (id.empty() ? "" : " " + id) + "\r\n");
  co_return co_await answer(deadline, true);
}

Task<WireReply> WireChannel::query(std::string id, std::string text, Instant deadline) {
  connection_->write("QUERY " + id + " " + text + "\r\n");
  co_return co_await answer(deadline, false);
}

Task<std::optional<std::string>> WireChannel::unasked(Instant deadline) {
  co_return co_await connection_->readLine(deadline);
}

void WireChannel::release() {
  if (connection_) connection_->write("RELEASE\r\n");
  connection_.reset();
}

Task<WireReply> WireChannel::answer(Instant deadline, bool settingUp) {
  WireReply reply;
  bool ended = settingUp;
  for (;;) {
    auto line = co_await connection_->readLine(deadline);
    reply.at = clock_.now();
    if (!line) {
      bool told = reply.end == WireEnd::error;
      if (!told) reply.end = connection_->usable() ? WireEnd::silent : WireEnd::closed;
      co_return reply;
    }
    auto word = takeWireWord(*line);
    if (word == "ROW") {
      reply.rows.push_back(*line);
    } else if (word == "COMPLETE") {
      reply.stamp = *line;
      reply.end = WireEnd::complete;
      ended = true;
    } else if (word == "ERROR") {
      reply.code = takeWireWord(*line);
      reply.end = WireEnd::error;
      ended = true;
      if (settingUp) co_return reply;
    } else if (word == "IDLE" && ended) {
      auto state = takeWireWord(*line);
      reply.state = state.empty() ? '?' : state.front();
      reply.position = parseWirePosition(*line);
      if (settingUp) reply.end = WireEnd::complete;
      co_return reply;
    } else {
      reply.end = WireEnd::closed;
      connection_.reset();
      co_return reply;
    }
  }
}

}  // namespace tamarindshift::testing
