#include "real/program.hpp"

#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

#include <boost/property_tree/ini_parser.hpp>
#include <tclap/CmdLine.h>

namespace tamarindshift {

void Program::add(std::vector<Setting> settings) {
  for (auto& setting : settings) add(std::move(setting));
}

std::optional<int> Program::read(int argumentCount, char** arguments) {
  try {
    TCLAP::CmdLine command(purpose_, ' ', PROGRAM_VERSION);
    TCLAP::ValueArg<std::string> file("", "settings", "settings file, lines of key=value with the keys named here", false, "", "path",
                                      command);
    TCLAP::SwitchArg defaults("", "print-defaults", "print every key with its default and end", command);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
    flags.reserve(settings_.size());
    for (const auto& setting : settings_)
      flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
          "", setting.key, setting.meaning + (setting.required ? " (required)" : ""), false, setting.standard, "value", command));
    command.setExceptionHandling(false);
    command.parse(argumentCount, arguments);
    if (defaults.getValue()) {
      for (const auto& setting : settings_) std::cout << "; " << setting.meaning << "\n" << setting.key << "=" << setting.standard << "\n";
      return 0;
    }
    if (file.isSet()) file_ = file.getValue();
    for (const auto& flag : flags)
      if (flag->isSet()) flagValues_[flag->getName()] = flag->getValue();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    return complain(name_, error.error() + " " + error.argId());
  }
  auto values = fileValues();
  if (!values) return complain(name_, reason_);
  if (!take(*values) || !settled()) return complain(name_, reason_);
  return std::nullopt;
}

std::optional<std::map<std::string, std::string>> Program::fileValues() {
  std::map<std::string, std::string> values;
  if (!file_.empty()) {
    boost::property_tree::ptree tree;
    try {
      boost::property_tree::read_ini(file_, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
      reason_ = error.what();
      return std::nullopt;
    }
    for (const auto& [key, child] : tree) values[key] = child.data();
  }
  for (const auto& [key, value] : flagValues_) values[key] = value;
  return values;
}

bool Program::known(const std::map<std::string, std::string>& values) {
  for (const auto& [key, value] : values)
    if (std::none_of(settings_.begin(), settings_.end(), [&](const Setting& setting) {
          return setting.key == key;
        })) {
      reason_ = "unknown setting " + key;
      return false;
    }
  return true;
}

bool Program::take(const std::map<std::string, std::string>& values) {
  if (!known(values)) return false;
  for (const auto& setting : settings_) {
    auto found = values.find(setting.key);
    if (found == values.end()) {
      if (!setting.required) continue;
      reason_ = "missing setting " + setting.key;
      return false;
    }
    if (auto fault = setting.take(found->second)) {
      reason_ = "setting " + setting.key + ": " + *fault;
      return false;
    }
  }
  values_ = values;
  return true;
}

bool Program::takeAgain(const std::map<std::string, std::string>& from, const std::map<std::string, std::string>& to) {
  auto valueOf = [](const Setting& setting, const std::map<std::string, std::string>& values) {
    auto found = values.find(setting.key);
    return found == values.end() ? setting.standard : found->second;
  };
  for (const auto& setting : settings_) {
    auto value = valueOf(setting, to);
    if (value == valueOf(setting, from)) continue;
    auto fault = setting.reread ? setting.take(value) : "changes at the next start only";
    if (!fault) continue;
    reason_ = "setting " + setting.key + ": " + *fault;
    return false;
  }
  return true;
}

bool Program::reread() {
  auto values = fileValues();
  if (!values || !known(*values)) return false;
  if (takeAgain(values_, *values) && settled()) {
    values_ = std::move(*values);
    return true;
  }
  auto reason = reason_;
  takeAgain(*values, values_);
  settled();
  reason_ = reason;
  return false;
}

bool Program::settled() {
  auto fault = settle_ ? settle_() : std::nullopt;
  if (fault) reason_ = *fault;
  return !fault;
}

std::uint64_t freshEntropy() {
  std::random_device device;
  std::uint64_t high = device();
  std::uint64_t value = (high << 32 | device()) >> 1;
  return std::max<std::uint64_t>(value, 1);
}

std::uint64_t freshIncarnation() {
  auto since = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
  return static_cast<std::uint64_t>(since.count()) << 10 | (freshEntropy() & 1023);
}

int complain(const std::string& program, const std::string& reason) {
  std::cerr << program << ": " << reason << "\n";
  return 2;
}

}  // namespace tamarindshift
