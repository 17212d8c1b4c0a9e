#include "scale/hollow_node.hpp"

#include <algorithm>

namespace tamarindshift {

HollowNode::HollowNode(Clock& clock, Journal& journal, PeerLink& agentLink, PeerLink& proxyLink, WebLink& databases,
                       const HollowNodeSettings& settings, std::uint64_t boot)
    : settings_(settings),
      agentLink_(agentLink, traffic_,
                 [this](const Address& peer) {
                   return peerClass(peer);
                 }),
      proxyLink_(proxyLink, proxyTraffic_, [](const Address&) {
        return "inside";
      }) {
  agent_ = std::make_unique<AgentNode>(clock, agentLink_, journal,
                                       AgentSettings{settings_.agent, settings_.zone, settings_.seeds, true, settings_.timings}, boot);
  ProxySettings proxy;
  proxy.agent = proxy.node = settings_.agent;
  proxy.timings = settings_.timings;
  proxy_ = std::make_unique<ProxyNode>(clock, proxyLink_, databases, journal, proxy, boot);
}

std::string HollowNode::peerClass(const Address& peer) const {
  if (peer == settings_.proxy) return "inside";
  return settings_.isReplica(peer) ? "replica" : "agent";
}

bool HollowNode::leased() const {
  const auto& services = proxy_->directory().services();
  return !services.empty() && std::all_of(services.begin(), services.end(), [&](const auto& each) {
    return proxy_->directory().leased(each.first);
  });
}

bool HollowNode::follows(PlanVersion mark) const {
  const auto& directory = proxy_->directory();
  if (directory.planMark() < mark) return false;
  return std::all_of(directory.services().begin(), directory.services().end(), [&](const auto& each) {
    return each.second.plan && each.second.plan->mark >= mark;
  });
}

bool HollowNode::servedUnder(const ServiceName& service, Epoch epoch) const {
  const auto* view = proxy_->directory().service(service);
  return view && view->primary.promoted && view->primary.epoch >= epoch && proxy_->directory().leased(service);
}

}  // namespace tamarindshift
