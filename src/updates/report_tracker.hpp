// Turns the reports of a node into messages to replicas that carry only what changed since the last one.
#pragma once

#include "control/report_messages.hpp"

namespace tamarindshift {

/// The last report of a node, and what was sent of it to each replica.
class ReportTracker {
 public:
  /// Each replica gets a whole report once per `wholeInterval`, in case it lost the changes.
  explicit ReportTracker(Duration wholeInterval) : wholeInterval_(wholeInterval) {}
  /// Takes the next report. False if the report holds only changes to one of a boot that is not known here.
  bool record(NodeReport report);
  const NodeReport& last() const { return last_; }
  /// The packed report for a replica: what changed since the last message to it, or the whole report. Call it once for each send.
  const std::string& nextMessage(const Address& replica, Instant now);
  /// The next message to this replica is a whole report.
  void sendWholeNext(const Address& replica) { sent_.erase(replica); }

 private:
  struct Sent {
    std::uint64_t number = 0;
    Instant wholeAt{};
  };
  /// The packed report with the services that changed after report `number`; 0 packs all of them.
  const std::string& encodedSince(std::uint64_t number);
  Duration wholeInterval_;
  NodeReport last_;
  /// The report that last changed each service.
  std::map<ServiceName, std::uint64_t> changedBy_;
  std::map<Address, Sent> sent_;
  /// Packed forms of the last report, by the report that they build on.
  std::map<std::uint64_t, std::string> encoded_;
};

}  // namespace tamarindshift
