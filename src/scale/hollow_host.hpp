#pragma once

#include "real/daemon.hpp"
#include "real/tcp_link.hpp"
#include "scale/hollow_node.hpp"
#include "scale/quiet_journal.hpp"
#include "scale/scale_settings.hpp"

namespace tamarindshift {

// one process with many hollow nodes, asked over HTTP what they carried and when they followed
class HollowHost : public DoorKeeper {
 public:
  HollowHost(Daemon& daemon, const ScaleSettings& settings);
  std::optional<std::string> start();
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}

 private:
  Task<void> watch(std::function<bool(const HollowNode&)> reached);
  Daemon& daemon_;
  const ScaleSettings& settings_;
  QuietJournal journal_;
  std::vector<std::unique_ptr<TcpLink>> links_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::vector<std::optional<Instant>> reachedAt_;
  std::unique_ptr<TaskScope> watching_;
};

}  // namespace tamarindshift
