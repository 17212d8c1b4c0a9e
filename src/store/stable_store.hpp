#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarindshift {

/// An append-only store of checksummed records on one disk.
///
/// A disk that refuses writes does not end the process: what was appended stays in memory in its order, `refusing`
/// is true, no `synced` is called, and the store tries again by itself until the disk takes the records.
class StableStore {
 public:
  virtual ~StableStore() = default;
  /// The records that are on the disk, in order; no value with a `lastReason` if they cannot be read.
  virtual std::optional<std::vector<std::string>> load() = 0;
  virtual void append(const std::string& record) = 0;
  /// Calls `synced` once everything appended before is on the disk.
  virtual void sync(std::function<void()> synced) = 0;
  /// Puts `records` in place of everything held so far, in one step.
  virtual void rewrite(const std::vector<std::string>& records) = 0;
  /// Bytes of all records.
  virtual std::size_t sizeBytes() const = 0;
  /// Whether the disk refused the last write and holds less than was appended.
  virtual bool refusesWrites() const = 0;
  virtual const std::string& lastReason() const = 0;
};

}  // namespace tamarindshift
