#pragma once

#include <memory>

#include "base/clock.hpp"
#include "store/stable_store.hpp"

namespace tamarindshift {

/// The store in one file of a data folder. Writes and syncs block the one thread.
///
/// Bytes leave memory only after their sync. If a write or a sync fails, the file is cut back to what the last good
/// sync covered and the same bytes are written again after `retryPause`, since the kernel may have dropped the pages
/// of a failed sync.
///
/// What one sync covers is a batch, with a mark and its number before it. A loss of power may leave any part of the last
/// batch, which nobody was told is on the disk; it is cut at the first record that can't be read. A record that can't
/// be read before a later mark had been synced, so the store refuses to start.
class FileStore : public StableStore {
 public:
  static constexpr Duration retryPause = 200ms;
  static constexpr std::uint32_t version = 2;
  static constexpr std::uint32_t firstVersionWithBatches = 2;

  FileStore(Clock& clock, std::string folder) : clock_(clock), folder_(std::move(folder)) {}
  ~FileStore() override;
  std::optional<std::vector<std::string>> load() override;
  void append(const std::string& record) override;
  void sync(std::function<void()> synced) override;
  void rewrite(const std::vector<std::string>& records) override;
  std::size_t sizeBytes() const override { return length_; }
  bool refusesWrites() const override { return refusing_; }
  const std::string& lastReason() const override { return reason_; }

 private:
  std::string path() const { return folder_ + "/actions.log"; }
  std::optional<std::vector<std::string>> fail(std::string reason);
  std::optional<std::vector<std::string>> parse(const std::string& bytes);
  bool writeAll(int file, const std::string& bytes);
  bool syncFolder();
  void flush();
  bool persist();
  bool persistReplacement();
  bool persistFolder();
  bool persistAppended();
  bool refuse(const std::string& what);

  Clock& clock_;
  std::string folder_;
  int lock_ = -1;
  int file_ = -1;
  std::size_t length_ = 0;
  // bytes of the file that a good sync covered
  std::size_t syncedLength_ = 0;
  std::string unsynced_;
  std::uint64_t batch_ = 0;
  // the mark of the batch stands in unsynced_
  bool batchOpen_ = false;
  // the whole content that is to replace the file
  std::optional<std::string> replacement_;
  // the name of a new file is not yet known to be on the disk
  bool folderChanged_ = false;
  bool refusing_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::vector<std::function<void()>> waiting_;
  std::string reason_;
};

}  // namespace tamarindshift
