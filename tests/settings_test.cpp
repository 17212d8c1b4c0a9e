#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "base/setting_kinds.hpp"
#include "real/program.hpp"

using namespace tamarindshift;

namespace {

struct Trial {
  Trial()
      : file((std::filesystem::temp_directory_path() / ("settings-" + std::to_string(freshEntropy()))).string()),
        program("trial", "tries settings") {
    program.add(addressSetting("address", "own address", address));
    program.add(reread(numberSetting("queue", "most requests", queue, 1, 100)));
    program.add(reread(numberSetting("sessions", "most sessions", sessions, 1, 100)));
    write("address=1.2.3.4:5\nqueue=7\n");
    std::vector<std::string> words{"trial", "--settings", file};
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    REQUIRE_FALSE(program.read(static_cast<int>(arguments.size()), arguments.data()));
  }
  ~Trial() { std::filesystem::remove(file); }
  void write(const std::string& text) { std::ofstream(file, std::ios::trunc) << text; }
  std::string refusal(const std::string& text) {
    write(text);
    return program.reread() ? "" : program.lastReason();
  }
  std::string file;
  Program program;
  Address address;
  std::size_t queue = 20;
  std::size_t sessions = 30;
};

}  // namespace

TEST_CASE("a settings file read again is taken whole or refused whole, with the reason") {
  Trial trial;
  CHECK(trial.queue == 7);
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=8\nsessions=9\n").empty());
  CHECK((trial.queue == 8 && trial.sessions == 9));
  CHECK(trial.refusal("address=1.2.3.4:6\nqueue=9\n") == "setting address: changes at the next start only");
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=10\nsessions=0\n").starts_with("setting sessions: must be"));
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=10\nsurprise=1\n") == "unknown setting surprise");
  CHECK_FALSE(trial.refusal("address=1.2.3.4:5\nqueue").empty());
  CHECK((trial.queue == 8 && trial.sessions == 9));
  CHECK(trial.refusal("address=1.2.3.4:5\n").empty());
  CHECK((trial.queue == 20 && trial.sessions == 30));
}

TEST_CASE("settings that contradict each other are refused with the reason, and the old ones stay") {
  Trial trial;
  std::vector<std::size_t> settled;
  trial.program.settle([&]() -> std::optional<std::string> {
    settled.push_back(trial.queue);
    if (trial.queue > trial.sessions) return "queue must not pass sessions";
    return std::nullopt;
  });
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=9\nsessions=10\n").empty());
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=12\nsessions=10\n") == "queue must not pass sessions");
  CHECK((trial.queue == 9 && trial.sessions == 10));
  CHECK(settled == std::vector<std::size_t>{9, 12, 9});
  CHECK(trial.refusal("address=1.2.3.4:5\nqueue=10\nsessions=10\n").empty());
}

TEST_CASE("a file with a key twice, a section or no sense is refused, and the old settings stay") {
  Trial trial;
  for (const char* text : {"address=1.2.3.4:5\nqueue=8\nqueue=9\n", "[part]\nqueue=8\n", "\xff\xfe", "queue=8\n",
                           "address=1.2.3.4:5\nqueue=\n", "address=1.2.3.4:5\nqueue=8 9\n"}) {
    CAPTURE(text);
    CHECK_FALSE(trial.refusal(text).empty());
    CHECK(trial.queue == 7);
  }
  std::filesystem::remove(trial.file);
  CHECK_FALSE(trial.program.reread());
  CHECK(trial.queue == 7);
}
