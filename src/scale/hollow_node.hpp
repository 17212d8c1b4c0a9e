#pragma once

#include "updates/agent_node.hpp"
#include "proxy/proxy_node.hpp"
#include "scale/metered_link.hpp"

namespace tamarindshift {

struct HollowNodeSettings {
  Address agent;
  Address proxy;
  Zone zone;
  std::set<Address> seeds;
  Timings timings;
  std::function<bool(const Address&)> isReplica;
};

// the agent and the proxy of one machine, with all their state and without clients
class HollowNode {
 public:
  HollowNode(Clock& clock, Journal& journal, PeerLink& agentLink, PeerLink& proxyLink, WebLink& databases,
             const HollowNodeSettings& settings, std::uint64_t boot);

  bool leased() const;
  bool follows(PlanVersion mark) const;
  bool servedUnder(const ServiceName& service, Epoch epoch) const;
  const Traffic& traffic() const { return traffic_; }
  const HollowNodeSettings& settings() const { return settings_; }
  AgentNode& agent() { return *agent_; }
  const ProxyNode& proxy() const { return *proxy_; }

 private:
  std::string peerClass(const Address& peer) const;
  HollowNodeSettings settings_;
  Traffic traffic_;
  Traffic proxyTraffic_;
  MeteredLink agentLink_;
  MeteredLink proxyLink_;
  std::unique_ptr<AgentNode> agent_;
  std::unique_ptr<ProxyNode> proxy_;
};

}  // namespace tamarindshift
