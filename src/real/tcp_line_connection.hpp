#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/clock.hpp"
#include "edge/line_connection.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class TcpLineConnection : public LineConnection {
 public:
  // `unanswered`: how long bytes may stay unacknowledged before the connection counts as broken
  TcpLineConnection(Clock& clock, boost::asio::ip::tcp::socket socket, Duration unanswered);
  ~TcpLineConnection() override;
  Task<std::optional<std::string>> readLine(std::optional<Instant> deadline) override;
  bool write(std::string bytes) override;
  bool usable() const override { return wire_->open && !wire_->ended; }
  bool holdsInput() const override { return !wire_->arrived.empty(); }
  bool holdsOutput() const override { return wire_->open && !(wire_->outgoing.empty() && wire_->leaving.empty()); }
  bool tooLong() const override { return wire_->tooLong; }
  void close() override;

 private:
  struct Wire : std::enable_shared_from_this<Wire> {
    explicit Wire(boost::asio::ip::tcp::socket given) : socket(std::move(given)) {}
    void arm();
    void take();
    void flush();
    void shut();
    void wake();
    boost::asio::ip::tcp::socket socket;
    std::string arrived;
    std::size_t scanned = 0;
    std::string outgoing;
    std::string leaving;
    std::function<void()> reader;
    bool armed = false;
    bool open = true;
    bool ended = false;
    bool closing = false;
    bool tooLong = false;
  };
  std::optional<std::string> lineHeld();
  Clock& clock_;
  std::shared_ptr<Wire> wire_;
};

}  // namespace tamarindshift
