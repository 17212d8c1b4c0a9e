#pragma once

#include "tests/platform/platform_history.hpp"

namespace tamarindshift::testing {

struct AskedStatement {
  const ClientTry* attempt = nullptr;
  const ClientStatement* statement = nullptr;
};

// which client's statement each run at a database was
class HistoryIndex {
 public:
  explicit HistoryIndex(const PlatformHistory& history);
  std::optional<AskedStatement> askedBy(const DatabaseRun& run) const;
  const std::vector<const DatabaseRun*>& runsOf(const ClientTry& attempt) const;
  const std::vector<const DatabaseRun*>& runsOf(const ClientStatement& statement) const;
  const DatabaseRun* stamped(const std::string& stamp) const;
  // prepared names may be renamed
  static std::string asked(const std::string& text);

 private:
  std::map<std::pair<std::string, std::string>, std::vector<AskedStatement>> asked_;
  std::map<const DatabaseRun*, AskedStatement> byRun_;
  std::map<const ClientTry*, std::vector<const DatabaseRun*>> byTry_;
  std::map<const ClientStatement*, std::vector<const DatabaseRun*>> byStatement_;
  std::map<std::string, const DatabaseRun*> byStamp_;
  std::vector<const DatabaseRun*> none_;
};

}  // namespace tamarindshift::testing
