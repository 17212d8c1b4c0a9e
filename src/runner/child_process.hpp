#pragma once

#include <optional>
#include <string>
#include <vector>

namespace tamarindshift {

class ChildProcess {
 public:
  ChildProcess(std::string program, std::vector<std::string> arguments, std::string logFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  bool start();
  bool running();
  void signal(int number);
  void kill();
  std::optional<int> exitCode() const { return exitCode_; }

 private:
  std::string program_;
  std::vector<std::string> arguments_;
  std::string logFile_;
  int process_ = -1;
  std::optional<int> exitCode_;
};

}  // namespace tamarindshift
