#pragma once

#include <log4cxx/logger.h>

#include "base/journal.hpp"

namespace tamarindshift {

class LogJournal : public Journal {
 public:
  explicit LogJournal(const std::string& program);
  void line(const std::string& text) override;
  void logCounters();

 private:
  log4cxx::LoggerPtr logger_;
  std::map<std::string, std::uint64_t> logged_;
};

}  // namespace tamarindshift
