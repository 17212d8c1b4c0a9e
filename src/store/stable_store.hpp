#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarindshift {

/// An append-only store of checksummed records on one disk.
///
/// A disk that refuses writes does not end the process: appended records stay in memory in their order, `refusesWrites`
/// is true, no `onSynced` is called, and the store retries by itself until the disk takes the records.
class StableStore {
 public:
  virtual ~StableStore() = default;
  /// The records that are on the disk, in order; no value if they cannot be read, with the cause in `lastReason`.
  virtual std::optional<std::vector<std::string>> load() = 0;
  /// Adds a record in memory; it is durable only after the next `sync`.
  virtual void append(const std::string& record) = 0;
  /// Calls `onSynced` once everything that was appended before is on the disk.
  virtual void sync(std::function<void()> onSynced) = 0;
  /// Atomically replaces everything held so far with `records`.
  virtual void rewrite(const std::vector<std::string>& records) = 0;
  /// Size of all records in bytes.
  virtual std::size_t sizeBytes() const = 0;
  /// Whether the disk refused the last write, so that it holds less than was appended.
  virtual bool refusesWrites() const = 0;
  /// Cause of the last failure of `load` or of a write.
  virtual const std::string& lastReason() const = 0;
};

}  // namespace tamarindshift
