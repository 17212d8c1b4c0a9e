#pragma once

#include "control/report_messages.hpp"

namespace tamarindshift {

// the last reports of a node, and what each replica was told of them
class ReportTracker {
 public:
  explicit ReportTracker(Duration whole) : whole_(whole) {}
  // false if the report goes on from one that was not noted
  bool record(NodeReport report);
  const NodeReport& last() const { return last_; }
  // what the replica was not told yet, or all of it
  const std::string& nextMessage(const Address& replica, Instant now);
  void sendWholeNext(const Address& replica) { told_.erase(replica); }

 private:
  struct Told {
    std::uint64_t number = 0;
    Instant wholeAt{};
  };
  const std::string& bytesAfter(std::uint64_t number);
  Duration whole_;
  NodeReport last_;
  std::map<ServiceName, std::uint64_t> changedBy_;
  std::map<Address, Told> told_;
  std::map<std::uint64_t, std::string> bytes_;
};

}  // namespace tamarindshift
