#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "base/setting_kinds.hpp"
#include "real/program.hpp"

using namespace tamarindshift;

namespace {

struct Trial {
  Trial() : file((std::filesystem::temp_directory_path() / ("settings-" + std::to_string(freshEntropy()))).string()), program("trial", "tries settings") {
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
