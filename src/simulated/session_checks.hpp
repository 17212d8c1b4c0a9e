#pragma once

#include "simulated/history_checks.hpp"
#include "simulated/sent_request.hpp"
#include "simulated/standin_database.hpp"

namespace tamarindshift {

using DatabaseHistories = std::map<std::string, std::vector<StandinHistoryEntry>>;

struct RunAtDatabase {
  std::string database;
  const StandinHistoryEntry* entry = nullptr;
  const SentRequest* sent = nullptr;
};

class SessionChecks {
 public:
  SessionChecks(const std::vector<SentRequest>& sent, const DatabaseHistories& histories, FaultSink fault);
  void eachConnection();
  const std::vector<RunAtDatabase>& runs() const { return runs_; }

 private:
  struct Stretch {
    bool open = false;
    const SentRequest* last = nullptr;
    std::optional<std::size_t> stateOf;
    std::map<std::size_t, std::uint64_t> sequences;
  };
  void walk(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry);
  void end(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry);
  void statement(const std::string& database, Stretch& stretch, const StandinHistoryEntry& entry);
  bool begunInTime(const StandinHistoryEntry& entry) const;
  const SentRequest* of(std::size_t session, std::uint64_t sequence) const;
  void ran(const std::string& database, const StandinHistoryEntry& entry, const SentRequest& sent);

  const std::vector<SentRequest>& sent_;
  const DatabaseHistories& histories_;
  FaultSink fault_;
  std::map<std::string, const SentRequest*> byContent_;
  std::map<std::pair<std::size_t, std::uint64_t>, const SentRequest*> byPlace_;
  std::vector<const SentRequest*> begins_;
  std::map<const SentRequest*, std::size_t> times_;
  std::vector<RunAtDatabase> runs_;
};

}  // namespace tamarindshift
