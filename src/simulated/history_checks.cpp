#include "simulated/history_checks.hpp"

#include <sstream>

#include "control/plan.hpp"

namespace tamarindshift {

namespace {

std::multiset<std::string> split(const std::string& list) {
  std::multiset<std::string> tokens;
  std::istringstream stream(list);
  for (std::string token; std::getline(stream, token, ',');)
    if (!token.empty()) tokens.insert(token);
  return tokens;
}

}  // namespace

HistoryChecks::HistoryChecks(const std::vector<CallerOperation>& operations, const std::vector<CallerKind>& kinds, Instant start,
                             FaultSink fault)
    : operations_(operations), kinds_(kinds), start_(start), fault_(std::move(fault)) {}

void HistoryChecks::writesOnce(const KeptData& kept) const {
  std::map<ServiceName, std::map<std::string, std::multiset<std::string>>> lists;
  for (const auto& [service, data] : kept)
    for (const auto& [key, list] : data) lists[service][key] = split(list);
  std::map<KindName, ServiceName> services;
  for (const auto& kind : kinds_) services[kind.kind] = kind.service;
  for (const auto& operation : operations_) {
    auto service = lists.find(services[operation.kind]);
    if (service == lists.end()) continue;
    for (const auto& token : operation.tokens) {
      auto times = service->second[operation.key].count(token);
      if (times > 1) fault_("written twice: " + token);
      if (operation.outcome == "done" && times == 0) fault_("acknowledged and gone: " + token + " ended " + clockText(operation.endedAt));
      if (operation.outcome != "done" && operation.outcome != "unknown" && times > 0)
        fault_("kept after '" + operation.outcome + "' (" + operation.reason + "): " + token + " ended " + clockText(operation.endedAt));
    }
  }
}

void HistoryChecks::readsFresh() const {
  std::map<std::string, std::vector<std::pair<Instant, std::string>>> acknowledged;
  for (const auto& operation : operations_)
    if (operation.outcome == "done")
      for (const auto& token : operation.tokens) acknowledged[operation.key].emplace_back(operation.endedAt, token);
  auto bound = [](const KindName& kind) {
    return stalenessBound(kind.get().starts_with("status")   ? Consistency::status
                          : kind.get().starts_with("lookup") ? Consistency::lookups
                                                             : Consistency::primary);
  };
  for (const auto& operation : operations_) {
    if (!operation.reads || operation.outcome != "done" || operation.key.empty()) continue;
    auto seen = split(operation.result);
    for (const auto& [at, token] : acknowledged[operation.key])
      if (at < operation.startedAt - bound(operation.kind) && !seen.contains(token))
        fault_(operation.kind.get() + " read at " + clockText(operation.startedAt) + " missed " + token + " of " + clockText(at));
    for (const auto& token : operation.ownBefore)
      if (!seen.contains(token)) fault_("a session's read missed its own " + token);
  }
}

}  // namespace tamarindshift
