#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/setting.hpp"
#include "real/log_journal.hpp"
#include "real/real_clock.hpp"

namespace tamarindshift {

class Program {
 public:
  Program(std::string name, std::string purpose) : name_(std::move(name)), purpose_(std::move(purpose)) {}
  void add(Setting setting) { settings_.push_back(std::move(setting)); }
  void add(std::vector<Setting> settings);
  // what settles things that follow from the settings taken, or says how they contradict each other
  void settle(std::function<std::optional<std::string>()> settle) { settle_ = std::move(settle); }
  std::optional<int> read(int argumentCount, char** arguments);
  void defaultFile(std::string path) { file_ = std::move(path); }
  bool reread();
  const std::string& lastReason() const { return reason_; }

 private:
  bool take(const std::map<std::string, std::string>& values);
  bool known(const std::map<std::string, std::string>& values);
  bool takeAgain(const std::map<std::string, std::string>& from, const std::map<std::string, std::string>& to);
  bool settled();
  std::optional<std::map<std::string, std::string>> fileValues();
  std::string name_;
  std::string purpose_;
  std::vector<Setting> settings_;
  std::function<std::optional<std::string>()> settle_;
  std::map<std::string, std::string> flagValues_;
  std::map<std::string, std::string> values_;
  std::string file_;
  std::string reason_;
};

std::uint64_t freshEntropy();
std::uint64_t freshIncarnation();
int complain(const std::string& program, const std::string& reason);

}  // namespace tamarindshift
