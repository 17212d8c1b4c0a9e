#include "real/file_store.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <boost/crc.hpp>

namespace tamarindshift {

namespace {

constexpr char magic[8] = {'T', 'A', 'M', 'S', 'H', 'I', 'F', 'T'};
constexpr std::size_t headerSize = sizeof(magic) + 4;
constexpr std::size_t recordHead = 8;
constexpr std::size_t mostRecord = 64u << 20;
// records of the engine begin with another byte
constexpr char batchMark = '\0';
constexpr std::size_t batchMarkSize = 1 + sizeof(std::uint64_t);
constexpr unsigned char engineRecordStart = 0x92;

std::uint32_t checksum(const char* bytes, std::size_t size) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes, size);
  return crc.checksum();
}

std::string header() {
  std::string bytes(magic, sizeof(magic));
  auto version = FileStore::version;
  bytes.append(reinterpret_cast<const char*>(&version), 4);
  return bytes;
}

std::string framed(const std::string& record) {
  auto size = static_cast<std::uint32_t>(record.size());
  auto crc = checksum(record.data(), record.size());
  std::string bytes(reinterpret_cast<const char*>(&size), 4);
  bytes.append(reinterpret_cast<const char*>(&crc), 4);
  return bytes + record;
}

std::optional<std::string> recordAt(const std::string& bytes, std::size_t offset) {
  if (bytes.size() - offset < recordHead) return std::nullopt;
  std::uint32_t size = 0;
  std::uint32_t crc = 0;
  std::memcpy(&size, bytes.data() + offset, 4);
  std::memcpy(&crc, bytes.data() + offset + 4, 4);
  if (size == 0 || size > mostRecord || size > bytes.size() - offset - recordHead) return std::nullopt;
  if (checksum(bytes.data() + offset + recordHead, size) != crc) return std::nullopt;
  return bytes.substr(offset + recordHead, size);
}

std::string framedMark(std::uint64_t batch) {
  std::string record(1, batchMark);
  record.append(reinterpret_cast<const char*>(&batch), sizeof(batch));
  return framed(record);
}

std::optional<std::uint64_t> markedBatch(const std::string& record) {
  if (record.size() != batchMarkSize || record.front() != batchMark) return std::nullopt;
  std::uint64_t batch = 0;
  std::memcpy(&batch, record.data() + 1, sizeof(batch));
  return batch;
}

/// What stands behind a place that can't be read.
struct Behind {
  bool records = false;
  bool marks = false;
};

Behind readableBehind(const std::string& bytes, std::size_t offset) {
  Behind behind;
  for (auto later = offset + 1; later + recordHead < bytes.size() && !behind.marks; ++later) {
    auto first = static_cast<unsigned char>(bytes[later + recordHead]);
    if (first != engineRecordStart && first != static_cast<unsigned char>(batchMark)) continue;
    auto record = recordAt(bytes, later);
    if (!record) continue;
    behind.marks = markedBatch(*record).has_value();
    behind.records = behind.records || first == engineRecordStart;
  }
  return behind;
}

std::string systemReason(const std::string& what) {
  return what + ": " + std::strerror(errno);
}

}  // namespace

FileStore::~FileStore() {
  if (file_ >= 0) ::close(file_);
  if (lock_ >= 0) ::close(lock_);
}

std::optional<std::vector<std::string>> FileStore::fail(std::string reason) {
  reason_ = std::move(reason);
  return std::nullopt;
}

std::optional<std::vector<std::string>> FileStore::load() {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) return fail("cannot make the data folder " + folder_ + ": " + error.message());
  lock_ = ::open((folder_ + "/lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
  if (lock_ < 0) return fail(systemReason("cannot write in the data folder " + folder_));
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) return fail("another process uses the data folder " + folder_);
  std::filesystem::remove(path() + ".new", error);
  std::ifstream stream(path(), std::ios::binary);
  std::string bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  stream.close();
  auto records = parse(bytes);
  if (!records) return std::nullopt;
  file_ = ::open(path().c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
  if (file_ < 0) return fail(systemReason("cannot open " + path()));
  if (::ftruncate(file_, static_cast<off_t>(length_)) != 0) return fail(systemReason("cannot cut " + path()));
  ::lseek(file_, 0, SEEK_END);
  if (::fsync(file_) != 0) return fail(systemReason("cannot sync " + path()));
  if (!syncFolder()) return fail(systemReason("cannot sync the folder " + folder_));
  syncedLength_ = length_;
  // the header goes with the first records, so that a disk that is full at the start is tried again
  if (length_ == 0) unsynced_ = header();
  length_ += unsynced_.size();
  return records;
}

std::optional<std::vector<std::string>> FileStore::parse(const std::string& bytes) {
  std::vector<std::string> records;
  length_ = 0;
  if (bytes.size() < headerSize) {
    auto whole = header();
    if (bytes != whole.substr(0, bytes.size())) return fail(path() + " is not a tamarindshift store");
    return records;
  }
  if (std::memcmp(bytes.data(), magic, sizeof(magic)) != 0) return fail(path() + " is not a tamarindshift store");
  std::uint32_t held = 0;
  std::memcpy(&held, bytes.data() + sizeof(magic), 4);
  if (held == 0 || held > version)
    return fail(path() + " has format " + std::to_string(held) + ", this program reads up to " + std::to_string(version));
  std::size_t offset = headerSize;
  while (offset < bytes.size()) {
    auto record = recordAt(bytes, offset);
    if (!record) break;
    offset += recordHead + record->size();
    if (auto batch = markedBatch(*record))
      batch_ = *batch;
    else
      records.push_back(std::move(*record));
  }
  // a batch is begun once the one before it is synced, so only the last one can be torn
  auto behind = readableBehind(bytes, offset);
  bool batchesKnown = held >= firstVersionWithBatches || batch_ > 0;
  if (behind.marks || (behind.records && !batchesKnown))
    return fail(path() + " is corrupted at byte " + std::to_string(offset) + " with good records behind it");
  length_ = offset;
  return records;
}

bool FileStore::writeAll(int file, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    auto amount = ::write(file, bytes.data() + done, bytes.size() - done);
    if (amount < 0 && errno == EINTR) continue;
    if (amount <= 0) return false;
    done += static_cast<std::size_t>(amount);
  }
  return true;
}

void FileStore::append(const std::string& record) {
  auto before = unsynced_.size();
  if (!std::exchange(batchOpen_, true)) unsynced_ += framedMark(++batch_);
  unsynced_ += framed(record);
  length_ += unsynced_.size() - before;
}

void FileStore::sync(std::function<void()> synced) {
  waiting_.push_back(std::move(synced));
  if (waiting_.size() == 1 && !refusing_)
    clock_.after(Duration::zero(), [this] {
      flush();
    });
}

bool FileStore::refuse(const std::string& what) {
  reason_ = systemReason(what);
  refusing_ = true;
  return false;
}

void FileStore::flush() {
  if (!persist()) {
    clock_.after(retryPause, [this, alive = std::weak_ptr<int>(alive_)] {
      if (alive.lock()) flush();
    });
    return;
  }
  refusing_ = false;
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (auto& synced : waiting) synced();
}

bool FileStore::persist() {
  return persistReplacement() && persistFolder() && persistAppended();
}

bool FileStore::persistReplacement() {
  if (!replacement_) return true;
  auto fresh = path() + ".new";
  int file = ::open(fresh.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0644);
  if (file < 0) return refuse("cannot open " + fresh);
  bool written = writeAll(file, *replacement_) && ::fsync(file) == 0 && ::rename(fresh.c_str(), path().c_str()) == 0;
  if (!written) {
    refuse("cannot rewrite " + path());
    ::close(file);
    ::unlink(fresh.c_str());
    return false;
  }
  ::close(file_);
  file_ = file;
  syncedLength_ = replacement_->size();
  replacement_.reset();
  folderChanged_ = true;
  return true;
}

bool FileStore::persistFolder() {
  if (folderChanged_ && !syncFolder()) return refuse("cannot sync the folder " + folder_);
  folderChanged_ = false;
  return true;
}

bool FileStore::persistAppended() {
  if (writeAll(file_, unsynced_) && ::fdatasync(file_) == 0) {
    syncedLength_ += unsynced_.size();
    unsynced_.clear();
    batchOpen_ = false;
    return true;
  }
  refuse("cannot write " + path());
  if (::ftruncate(file_, static_cast<off_t>(syncedLength_)) == 0) ::lseek(file_, static_cast<off_t>(syncedLength_), SEEK_SET);
  return false;
}

void FileStore::rewrite(const std::vector<std::string>& records) {
  auto bytes = header() + framedMark(++batch_);
  for (const auto& record : records) bytes += framed(record);
  // the file is synced whole before it takes its place, so nothing in it can be torn
  bytes += framedMark(++batch_);
  length_ = bytes.size();
  replacement_ = std::move(bytes);
  unsynced_.clear();
  batchOpen_ = false;
  if (!refusing_ && !(persistReplacement() && persistFolder())) flush();
}

bool FileStore::syncFolder() {
  int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

}  // namespace tamarindshift
