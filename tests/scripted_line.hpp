/// A LineConnection in memory.
#pragma once

#include <deque>

#include "base/gate.hpp"
#include "edge/line_connection.hpp"

namespace tamarindshift {

/// The test is the peer.
class ScriptedLine : public LineConnection {
 public:
  explicit ScriptedLine(Clock& clock) : clock_(clock) {}

  Task<std::optional<std::string>> readLine(std::optional<Instant> deadline) override {
    while (open_ && lines_.empty() && !ended_ && !(deadline && clock_.now() >= *deadline)) co_await arrived_.wait(clock_, deadline);
    if (!open_ || lines_.empty()) co_return std::nullopt;
    auto line = std::move(lines_.front());
    lines_.pop_front();
    if (line.size() > mostLineBytes) close();
    if (!open_) co_return std::nullopt;
    co_return line;
  }
  bool write(std::string bytes) override {
    if (open_ && !ended_) written += bytes;
    return open_ && !ended_;
  }
  bool usable() const override { return open_ && !ended_; }
  bool holdsInput() const override { return !lines_.empty() || !held_.empty(); }
  void close() override {
    open_ = false;
    arrived_.open();
  }

  /// Receives bytes; what is not followed by CR LF stays an incomplete line.
  void arrive(const std::string& bytes) {
    held_ += bytes;
    for (auto end = held_.find("\r\n"); end != std::string::npos; end = held_.find("\r\n")) {
      lines_.push_back(held_.substr(0, end));
      held_.erase(0, end + 2);
    }
    arrived_.open();
  }
  void closeByPeer() {
    ended_ = true;
    arrived_.open();
  }
  bool closed() const { return !open_; }
  /// What was written since the last call.
  std::string takeWritten() { return std::exchange(written, {}); }

  std::string written;

 private:
  Clock& clock_;
  std::string held_;
  std::deque<std::string> lines_;
  bool open_ = true;
  bool ended_ = false;
  Gate arrived_;
};

}  // namespace tamarindshift
