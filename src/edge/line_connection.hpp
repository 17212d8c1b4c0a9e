#pragma once

#include <optional>
#include <string>

#include "base/task.hpp"
#include "base/time.hpp"

namespace tamarindshift {

class LineConnection {
 public:
  static constexpr std::size_t mostLineBytes = 1u << 20;

  virtual ~LineConnection() = default;
  // the next line without its CR LF; nothing once the far end closed, a line broke off or was longer than
  // mostLineBytes, or the deadline passed (the connection stays usable after a deadline)
  virtual Task<std::optional<std::string>> readLine(std::optional<Instant> deadline) = 0;
  // queued and sent in order; false once the connection is closed
  virtual bool write(std::string bytes) = 0;
  virtual bool usable() const = 0;
  /// Whether bytes have come that nobody has read.
  virtual bool holdsInput() const = 0;
  /// Whether bytes that were written wait to be sent, also after `close`. Never again once the connection is broken.
  virtual bool holdsOutput() const { return false; }
  // whether reading ended because a line was longer than mostLineBytes
  virtual bool tooLong() const { return false; }
  // what was written before still goes out
  virtual void close() = 0;
};

}  // namespace tamarindshift
