#include "real/log_journal.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/patternlayout.h>

namespace tamarindshift {

LogJournal::LogJournal(const std::string& program) : logger_(log4cxx::Logger::getLogger(program)) {
  auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %c %m%n"));
  log4cxx::BasicConfigurator::configure(std::make_shared<log4cxx::ConsoleAppender>(layout));
}

void LogJournal::line(const std::string& text) {
  LOG4CXX_INFO(logger_, text);
}

void LogJournal::logCounters() {
  std::string text;
  for (const auto& [name, value] : counters())
    if (auto before = logged_.find(name); before == logged_.end() || before->second != value)
      text += " " + name + "=" + std::to_string(value);
  logged_ = counters();
  if (!text.empty()) line("counters" + text);
}

}  // namespace tamarindshift
