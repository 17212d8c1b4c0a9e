#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "real/file_store.hpp"
#include "simulated/simulated_clock.hpp"

using namespace tamarindshift;

namespace {

struct Folder {
  Folder() : path(std::filesystem::temp_directory_path() / ("tamarindshift-store-" + std::to_string(::getpid()))) { std::filesystem::remove_all(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string log() const { return (path / "actions.log").string(); }
  std::string bytes() const {
    std::ifstream stream(log(), std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  }
  void write(const std::string& bytes) const { std::ofstream(log(), std::ios::binary | std::ios::trunc) << bytes; }
  std::filesystem::path path;
};

std::string record(int number) { return std::string("\x92", 1) + "record " + std::to_string(number); }

struct Opened {
  explicit Opened(const Folder& folder) : store(clock, folder.path.string()) { records = store.load(); }
  void add(int number) {
    store.append(record(number));
    bool synced = false;
    store.sync([&] { synced = true; });
    world.runUntil(world.now() + 1ms);
    REQUIRE(synced);
  }
  World world{1};
  SimulatedClock clock{world};
  FileStore store;
  std::optional<std::vector<std::string>> records;
};

void fill(const Folder& folder, int amount) {
  Opened opened(folder);
  REQUIRE(opened.records);
  for (int number = 1; number <= amount; ++number) opened.add(number);
}

}  // namespace

TEST_CASE("a store gives back what was synced, in order, and goes on behind it") {
  Folder folder;
  fill(folder, 3);
  {
    Opened opened(folder);
    REQUIRE(opened.records);
    REQUIRE(opened.records->size() == 3);
    CHECK(opened.records->back() == record(3));
    opened.store.rewrite({record(7)});
    opened.add(8);
  }
  Opened again(folder);
  REQUIRE(again.records);
  CHECK(*again.records == std::vector<std::string>{record(7), record(8)});
}

TEST_CASE("a tail torn at any byte is cut at the last good record") {
  Folder folder;
  fill(folder, 3);
  auto whole = folder.bytes();
  auto two = whole.size() - 8 - record(3).size();
  for (auto size = two; size < whole.size(); ++size) {
    folder.write(whole.substr(0, size));
    Opened opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->size() == 2);
    opened.add(4);
  }
  for (std::size_t size = 0; size < 12; ++size) {
    folder.write(whole.substr(0, size));
    Opened opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->empty());
  }
}

TEST_CASE("a corrupted tail is cut, a corrupted middle stops the process") {
  Folder folder;
  fill(folder, 3);
  auto whole = folder.bytes();
  auto tail = whole;
  tail.back() ^= 1;
  folder.write(tail);
  {
    Opened opened(folder);
    REQUIRE(opened.records);
    CHECK(opened.records->size() == 2);
  }
  auto middle = whole;
  middle[12 + 8 + 3] ^= 1;
  folder.write(middle);
  Opened opened(folder);
  CHECK_FALSE(opened.records);
  CHECK(opened.store.lastReason().find("corrupted at byte 12") != std::string::npos);
}

TEST_CASE("a foreign file, a newer format and a folder in use are refused with a reason") {
  Folder folder;
  fill(folder, 1);
  auto whole = folder.bytes();
  auto newer = whole;
  newer[8] = 9;
  folder.write(newer);
  {
    Opened opened(folder);
    CHECK_FALSE(opened.records);
    CHECK(opened.store.lastReason().find("format 9") != std::string::npos);
  }
  folder.write("something else altogether");
  {
    Opened opened(folder);
    CHECK_FALSE(opened.records);
    CHECK(opened.store.lastReason().find("not a tamarindshift store") != std::string::npos);
  }
  folder.write(whole);
  Opened first(folder);
  CHECK(first.records);
  Opened second(folder);
  CHECK_FALSE(second.records);
  CHECK(second.store.lastReason().find("another process") != std::string::npos);
}

TEST_CASE("a rewrite that stopped before its rename leaves the old records") {
  Folder folder;
  fill(folder, 2);
  std::ofstream(folder.log() + ".new", std::ios::binary) << "half a rewrite";
  Opened opened(folder);
  REQUIRE(opened.records);
  CHECK(opened.records->size() == 2);
  CHECK_FALSE(std::filesystem::exists(folder.log() + ".new"));
}
