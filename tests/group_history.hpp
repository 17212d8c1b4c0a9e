#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "group/configuration.hpp"
#include "group/delivery.hpp"

// Checks what processes of a group saw against the guarantees of Extended Virtual Synchrony.

namespace tamarindshift::testing {

/// What one process saw in one view.
struct ViewRecord {
  Configuration configuration;
  std::map<std::uint64_t, std::string> received;
  /// Messages that the process itself sent.
  std::set<std::string> own;
  std::vector<std::pair<std::uint64_t, std::string>> delivered;
  /// Deliveries before the transitional configuration.
  std::size_t safeCount = 0;
  std::optional<std::set<ServerId>> transitional;
};

/// One run of a process, with its views in order.
struct ProcessRecord {
  ServerId server;
  std::vector<ViewRecord> views;
};

/// Collects the events of all processes. Violations that one event shows are added to `faults` at once (ten at most), those that
/// need whole histories by `verify`.
class GroupHistory {
 public:
  /// Starts the record of a process and returns the index under which its events are added.
  std::size_t addProcess(const ServerId& server);
  void regular(std::size_t process, const Configuration& configuration);
  void transitional(std::size_t process, const std::set<ServerId>& members);
  void received(std::size_t process, const Delivery& delivery);
  /// The process has stored everything up to `sequence`.
  void stable(std::size_t process, const ViewId& view, std::uint64_t sequence);
  void delivered(std::size_t process, const Delivery& delivery);
  void verify();

  std::vector<std::string> faults;
  /// How much was seen, so that a test can tell that its schedules exercise the checks.
  std::size_t safeDeliveries = 0;
  std::size_t transitionalDeliveries = 0;
  /// Pairs of processes that went from one view to the next together.
  std::size_t commonTransitions = 0;

 private:
  void addFault(const std::string& text);
  void compare(const ProcessRecord& left, const ProcessRecord& right);
  std::vector<ProcessRecord> processes_;
  std::map<ViewId, std::map<ServerId, std::uint64_t>> stable_;
  std::map<ViewId, std::map<std::uint64_t, std::string>> order_;
  std::map<ViewId, std::set<ServerId>> members_;
  std::map<ViewId, std::uint64_t> safeUpTo_;
};

}  // namespace tamarindshift::testing
