#pragma once

#include <map>

#include "base/gate.hpp"
#include "base/journal.hpp"
#include "control/names.hpp"
#include "edge/door.hpp"
#include "edge/web_link.hpp"

namespace tamarindshift {

struct PromoteCall {
  ServiceName service;
  Address address;
  Epoch epoch;
  Instant at{};
};

class StandinPlatform : public DoorKeeper {
 public:
  StandinPlatform(Clock& clock, WebLink& web, Journal& journal) : clock_(clock), web_(web), journal_(journal) {}
  void setPrimary(const ServiceName& service, const Address& address) { primaries_[service] = Primary{address, Epoch{}}; }
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  void refuseNext(unsigned amount) { refusals_ = amount; }
  void loseNext(unsigned amount) { losses_ = amount; }
  const std::vector<PromoteCall>& calls() const { return calls_; }

 private:
  struct Primary {
    Address address;
    Epoch epoch;
  };
  Task<DoorReply> promote(std::string body);
  Clock& clock_;
  WebLink& web_;
  Journal& journal_;
  std::map<ServiceName, Primary> primaries_;
  unsigned refusals_ = 0;
  unsigned losses_ = 0;
  std::vector<PromoteCall> calls_;
};

}  // namespace tamarindshift
