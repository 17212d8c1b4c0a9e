#pragma once

#include "base/clock.hpp"
#include "store/stable_store.hpp"

namespace tamarindshift {

class FileStore : public StableStore {
 public:
  static constexpr std::uint32_t version = 1;

  FileStore(Clock& clock, std::string folder) : clock_(clock), folder_(std::move(folder)) {}
  ~FileStore() override;
  std::optional<std::vector<std::string>> load() override;
  void append(const std::string& record) override;
  void sync(std::function<void()> synced) override;
  void rewrite(const std::vector<std::string>& records) override;
  std::size_t length() const override { return length_; }
  const std::string& lastReason() const override { return reason_; }

 private:
  std::string path() const { return folder_ + "/actions.log"; }
  std::optional<std::vector<std::string>> fail(std::string reason);
  std::optional<std::vector<std::string>> parse(const std::string& bytes);
  void writeAll(int file, const std::string& bytes);
  void syncFolder();
  void flush();

  Clock& clock_;
  std::string folder_;
  int lock_ = -1;
  int file_ = -1;
  std::size_t length_ = 0;
  std::string unwritten_;
  std::vector<std::function<void()>> waiting_;
  std::string reason_;
};

}  // namespace tamarindshift
