#pragma once

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
  int process() const { return process_; }
  /// Whether the process holds this signal back or catches it, so that its default action does not end the process.
  bool handles(int number) const;
  void signal(int number);
  void kill();

 private:
  std::string program_;
  std::vector<std::string> arguments_;
  std::string logFile_;
  int process_ = -1;
};

}  // namespace tamarindshift
