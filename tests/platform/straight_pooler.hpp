#pragma once

#include "edge/door.hpp"
#include "edge/line_keeper.hpp"
#include "edge/line_link.hpp"
#include "edge/web_link.hpp"
#include "simulated/world.hpp"
#include "tests/platform/straight_faults.hpp"
#include "tests/platform/straight_knowledge.hpp"
#include "tests/platform/wire_channel.hpp"

namespace tamarindshift::testing {

// a little pooler that shares nothing: each session has its own connection to the primary
class StraightPooler : public LineKeeper, public DoorKeeper {
 public:
  StraightPooler(Clock& clock, LineLink& link, WebLink& web, World& world, StraightKnowledge& knowledge, Address platform)
      : clock_(clock), link_(link), web_(web), world_(world), knowledge_(knowledge), platform_(std::move(platform)) {}
  Task<void> serve(std::shared_ptr<LineConnection> connection) override;
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  Task<void> drain(Duration patience);
  // the duty of one of them: a primary without heartbeats is replaced
  Task<void> watch();
  StraightFaults& faults() { return faults_; }

 private:
  struct Session {
    std::string hostName;
    std::string database;
    std::unique_ptr<WireChannel> channel;
    char state = 'I';
  };
  struct Passed {
    std::string text;
    bool stays = true;
  };
  Task<bool> connect(Session& session, std::string database);
  Task<Passed> pass(Session& session, std::string id, std::string text);
  Task<void> spoil(Session& session, std::string& id, std::string& text);
  Passed refused(Session& session, const std::string& code, bool stays) const;
  std::string primaryFor(const std::string& hostName) const;
  std::string candidate(const std::string& service, const std::string& but) const;
  DoorReply heartbeat(const DoorRequest& request, const std::string& id);
  DoorReply replace(const DoorRequest& request);
  bool unlucky(unsigned perThousand) { return perThousand > 0 && world_.chance(perThousand); }

  Clock& clock_;
  LineLink& link_;
  WebLink& web_;
  World& world_;
  StraightKnowledge& knowledge_;
  Address platform_;
  StraightFaults faults_;
  bool stopping_ = false;
  std::size_t sessions_ = 0;
};

}  // namespace tamarindshift::testing
