#include "runner/child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>

extern char** environ;

namespace tamarindshift {

ChildProcess::ChildProcess(std::string program, std::vector<std::string> arguments, std::string logFile)
    : program_(std::move(program)), arguments_(std::move(arguments)), logFile_(std::move(logFile)) {}

ChildProcess::~ChildProcess() {
  kill();
}

bool ChildProcess::start() {
  if (running()) return true;
  std::vector<char*> words{program_.data()};
  for (auto& argument : arguments_) words.push_back(argument.data());
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile_.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // the runner's own sockets would otherwise stay open in the child after the runner has closed them
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  int failed = posix_spawn(&process_, program_.c_str(), &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) process_ = -1;
  return failed == 0;
}

bool ChildProcess::running() {
  if (process_ < 0) return false;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) == 0) return true;
  process_ = -1;
  return false;
}

bool ChildProcess::handles(int number) const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  const auto bit = std::uint64_t{1} << (number - 1);
  std::string word;
  while (status >> word) {
    if (word != "SigBlk:" && word != "SigCgt:") continue;
    std::uint64_t mask = 0;
    if (status >> std::hex >> mask && (mask & bit)) return true;
  }
  return false;
}

void ChildProcess::signal(int number) {
  if (running()) ::kill(process_, number);
}

void ChildProcess::kill() {
  if (!running()) return;
  ::kill(process_, SIGCONT);
  ::kill(process_, SIGKILL);
  int status = 0;
  ::waitpid(process_, &status, 0);
  process_ = -1;
}

}  // namespace tamarindshift
