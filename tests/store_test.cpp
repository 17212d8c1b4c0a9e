// The store in a file: what was synced must survive full disks, torn writes and crashes, and a file that is damaged where it was
// synced must be refused.

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>

#include <filesystem>
#include <fstream>

#include "real/file_store.hpp"
#include "simulated/simulated_clock.hpp"

using namespace tamarindshift;

namespace {

struct TemporaryFolder {
  TemporaryFolder() : path(std::filesystem::temp_directory_path() / ("tamarindshift-store-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string log() const { return (path / "actions.log").string(); }
  std::string bytes() const {
    std::ifstream stream(log(), std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  }
  void write(const std::string& bytes) const { std::ofstream(log(), std::ios::binary | std::ios::trunc) << bytes; }
  std::filesystem::path path;
};

std::string record(int number) {
  return std::string("\x92", 1) + "record " + std::to_string(number);
}

struct OpenedStore {
  explicit OpenedStore(const TemporaryFolder& folder) : store(clock, folder.path.string()) { records = store.load(); }
  void add(int number) { addBatch({number}); }
  /// Appends records that one sync covers.
  void addBatch(const std::vector<int>& numbers) {
    for (int number : numbers) store.append(record(number));
    bool synced = false;
    store.sync([&] {
      synced = true;
    });
    world.runUntil(world.now() + 1ms);
    REQUIRE(synced);
  }
  World world{1};
  SimulatedClock clock{world};
  FileStore store;
  std::optional<std::vector<std::string>> records;
};

void fill(const TemporaryFolder& folder, int amount) {
  OpenedStore opened(folder);
  REQUIRE(opened.records);
  for (int number = 1; number <= amount; ++number) opened.add(number);
}

/// While it exists, files can grow to this many bytes only, as on a full disk.
class FullDisk {
 public:
  explicit FullDisk(std::size_t bytes) {
    signal_ = std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit limit{bytes, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() {
    ::setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, signal_);
  }

 private:
  rlimit before_{};
  void (*signal_)(int) = nullptr;
};

}  // namespace

TEST_CASE("a full disk does not end the process, and holds everything in order once it takes writes again") {
  for (std::size_t freeBytes = 0; freeBytes < 112; freeBytes += 7) {
    INFO("free space of " << freeBytes << " bytes");
    TemporaryFolder folder;
    fill(folder, 2);
    int synced = 0;
    {
      OpenedStore opened(folder);
      REQUIRE(opened.records);
      {
        FullDisk full(folder.bytes().size() + freeBytes);
        for (int number = 3; number <= 9; ++number) {
          opened.store.append(record(number));
          opened.store.sync([&] {
            ++synced;
          });
          opened.world.runUntil(opened.world.now() + 300ms);
        }
        CHECK(opened.store.refusesWrites());
        CHECK(opened.store.lastReason().find("cannot write") != std::string::npos);
        CHECK(synced < 7);
        opened.store.rewrite({record(1), record(9)});
        opened.store.append(record(10));
        opened.world.runUntil(opened.world.now() + 300ms);
      }
      opened.world.runUntil(opened.world.now() + 300ms);
      CHECK_FALSE(opened.store.refusesWrites());
      CHECK(synced == 7);
    }
    OpenedStore again(folder);
    REQUIRE(again.records);
    CHECK(*again.records == std::vector<std::string>{record(1), record(9), record(10)});
  }
}

TEST_CASE("after a crash, the store holds what was synced and not what a full disk refused") {
  TemporaryFolder folder;
  fill(folder, 2);
  {
    OpenedStore opened(folder);
    FullDisk full(folder.bytes().size() + 5);
    opened.store.append(record(3));
    opened.store.sync([] {});
    opened.world.runUntil(opened.world.now() + 300ms);
    CHECK(opened.store.refusesWrites());
  }
  OpenedStore again(folder);
  REQUIRE(again.records);
  CHECK(*again.records == std::vector<std::string>{record(1), record(2)});
}

TEST_CASE("a store that starts on a full disk waits for free space") {
  TemporaryFolder folder;
  std::optional<OpenedStore> opened;
  bool synced = false;
  {
    FullDisk full(4);
    opened.emplace(folder);
    REQUIRE(opened->records);
    opened->store.append(record(1));
    opened->store.sync([&] {
      synced = true;
    });
    opened->world.runUntil(opened->world.now() + 1s);
    CHECK_FALSE(synced);
  }
  opened->world.runUntil(opened->world.now() + 1s);
  CHECK(synced);
  opened.reset();
  OpenedStore again(folder);
  REQUIRE(again.records);
  CHECK(*again.records == std::vector<std::string>{record(1)});
}

TEST_CASE("a store loads what was synced, in order, and appends after it") {
  TemporaryFolder folder;
  fill(folder, 3);
  {
    OpenedStore opened(folder);
    REQUIRE(opened.records);
    REQUIRE(opened.records->size() == 3);
    CHECK(opened.records->back() == record(3));
    opened.store.rewrite({record(7)});
    opened.add(8);
  }
  OpenedStore again(folder);
  REQUIRE(again.records);
  CHECK(*again.records == std::vector<std::string>{record(7), record(8)});
}

TEST_CASE("a file cut off at any byte is truncated to its last complete record") {
  TemporaryFolder folder;
  fill(folder, 3);
  auto whole = folder.bytes();
  auto two = whole.size() - 8 - record(3).size();
  for (auto size = two; size < whole.size(); ++size) {
    folder.write(whole.substr(0, size));
    OpenedStore opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->size() == 2);
    opened.add(4);
  }
  for (std::size_t size = 0; size < 12; ++size) {
    folder.write(whole.substr(0, size));
    OpenedStore opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->empty());
  }
}

TEST_CASE("a corrupted last record is cut off, a corrupted earlier one is refused") {
  TemporaryFolder folder;
  fill(folder, 3);
  auto whole = folder.bytes();
  auto tail = whole;
  tail.back() ^= 1;
  folder.write(tail);
  {
    OpenedStore opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->size() == 2);
  }
  auto middle = whole;
  middle[12 + 8 + 3] ^= 1;
  folder.write(middle);
  OpenedStore opened(folder);
  CHECK_FALSE(opened.records);
  CHECK(opened.store.lastReason().find("corrupted at byte 12") != std::string::npos);
}

TEST_CASE("after a power loss that kept later parts of the last sync and lost earlier ones, the store cuts them off and continues") {
  TemporaryFolder folder;
  fill(folder, 2);
  auto synced = folder.bytes().size();
  {
    OpenedStore opened(folder);
    opened.addBatch({3, 4, 5, 6});
  }
  auto whole = folder.bytes();
  const std::size_t lostAtOnce = 11;
  for (auto lost = synced; lost + lostAtOnce < whole.size(); ++lost) {
    CAPTURE(lost);
    auto torn = whole;
    std::fill_n(torn.begin() + static_cast<std::ptrdiff_t>(lost), lostAtOnce, '\0');
    folder.write(torn);
    std::size_t kept = 0;
    {
      OpenedStore opened(folder);
      REQUIRE(opened.records);
      kept = opened.records->size();
      CHECK(kept >= 2);
      CHECK(kept < 6);
      opened.addBatch({7, 8});
    }
    OpenedStore again(folder);
    REQUIRE(again.records);
    REQUIRE(again.records->size() == kept + 2);
    CHECK(again.records->back() == record(8));
  }
}

TEST_CASE("synced records are never cut off, wherever in the file they are corrupted") {
  TemporaryFolder folder;
  {
    OpenedStore opened(folder);
    opened.addBatch({1, 2});
    bool rewritten = GENERATE(false, true);
    CAPTURE(rewritten);
    if (rewritten) opened.store.rewrite({record(1), record(2)});
    opened.addBatch({3, 4});
    opened.add(5);
  }
  auto whole = folder.bytes();
  auto lastBatch = whole.size() - 2 * 8 - 9 - record(5).size();
  for (std::size_t at = 12; at < lastBatch; ++at) {
    CAPTURE(at);
    auto corrupted = whole;
    corrupted[at] ^= 1;
    folder.write(corrupted);
    CHECK_FALSE(OpenedStore(folder).records);
  }
}

TEST_CASE("a store of format 1 is read, with the checks of that format") {
  TemporaryFolder folder;
  fill(folder, 1);
  auto frame = folder.bytes().substr(12 + 8 + 9);
  auto header = folder.bytes().substr(0, 12);
  header[8] = 1;
  folder.write(header + frame + frame + frame);
  {
    OpenedStore opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->size() == 3);
  }
  auto corrupted = header + frame + frame + frame;
  corrupted[12 + frame.size() + 9] ^= 1;
  folder.write(corrupted);
  CHECK_FALSE(OpenedStore(folder).records);
  folder.write(header + frame + frame + frame);
  {
    OpenedStore opened(folder);
    opened.add(2);
  }
  OpenedStore again(folder);
  REQUIRE(again.records);
  CHECK(again.records->size() == 4);
}

TEST_CASE("a foreign file, a newer format and a folder in use are refused with a reason") {
  TemporaryFolder folder;
  fill(folder, 1);
  auto whole = folder.bytes();
  auto newer = whole;
  newer[8] = 9;
  folder.write(newer);
  {
    OpenedStore opened(folder);
    CHECK_FALSE(opened.records);
    CHECK(opened.store.lastReason().find("format 9") != std::string::npos);
  }
  folder.write("something else altogether");
  {
    OpenedStore opened(folder);
    CHECK_FALSE(opened.records);
    CHECK(opened.store.lastReason().find("not a tamarindshift store") != std::string::npos);
  }
  folder.write(whole);
  OpenedStore first(folder);
  CHECK(first.records);
  OpenedStore second(folder);
  CHECK_FALSE(second.records);
  CHECK(second.store.lastReason().find("another process") != std::string::npos);
}

TEST_CASE("a rewrite that was interrupted before its rename leaves the old records") {
  TemporaryFolder folder;
  fill(folder, 2);
  std::ofstream(folder.log() + ".new", std::ios::binary) << "half a rewrite";
  OpenedStore opened(folder);
  REQUIRE(opened.records);
  CHECK(opened.records->size() == 2);
  CHECK_FALSE(std::filesystem::exists(folder.log() + ".new"));
}
