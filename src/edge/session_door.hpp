#pragma once

#include "edge/door.hpp"
#include "proxy/proxy_node.hpp"

namespace tamarindshift {

class SessionDoor : public DoorKeeper {
 public:
  explicit SessionDoor(ProxyNode& proxy) : proxy_(proxy) {}
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId connection) override { proxy_.clientDisconnected(connection); }

 private:
  DoorReply open(const DoorRequest& request);
  Task<DoorReply> run(DoorRequest request, std::shared_ptr<Session> session);
  DoorReply status() const;
  ProxyNode& proxy_;
};

}  // namespace tamarindshift
