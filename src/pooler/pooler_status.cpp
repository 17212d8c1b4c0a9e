#include <algorithm>

#include <nlohmann/json.hpp>

#include "pooler/pooler.hpp"

namespace tamarindshift {

namespace {

using Json = nlohmann::json;

std::vector<std::string> unusedReasons(const BackEndPool::DatabasePool& databasePool, Instant now) {
  std::vector<std::string> reasons;
  if (databasePool.suspected) reasons.push_back("suspected");
  if (databasePool.strained()) reasons.push_back("strained");
  if (databasePool.nextOpenAt > now) reasons.push_back("new connections fail");
  if (databasePool.behindUntil > now) reasons.push_back("behind");
  return reasons;
}

}  // namespace

Json Pooler::status() const {
  auto now = clock_.now();
  Json json{{"address", settings_.node.get()}, {"zone", settings_.zone.get()}, {"plan_mark", guide_.planMark().get()},
            {"sessions", sessions_.size()},    {"leaving", draining()},        {"cut_off", cutOff()}};
  auto reason = notReadyReason();
  json["ready"] = !reason;
  if (reason) json["hindrance"] = *reason;
  if (auto replied = guide_.coreRepliedAt(); replied != Instant{}) json["core_replied_ms_ago"] = milliseconds(now - replied).count();
  struct Precedence {
    std::size_t length = 0;
    Duration longestWait{};
  };
  std::map<std::uint32_t, Precedence> queue;
  for (const auto& request : requests_.waiting()) {
    auto& precedence = queue[request->order];
    ++precedence.length;
    precedence.longestWait = std::max(precedence.longestWait, now - request->arrivedAt);
  }
  json["queue"] = Json::object();
  for (const auto& [order, precedence] : queue)
    json["queue"][std::to_string(order)] = {{"length", precedence.length},
                                            {"longest_wait_ms", milliseconds(precedence.longestWait).count()}};
  json["services"] = Json::object();
  for (const auto& [name, view] : guide_.services()) json["services"][name.get()] = serviceStatus(name, view);
  return json;
}

std::vector<std::string> Pooler::unavailabilityReasons(const ServiceName& name, const ServiceDirectory::ServiceView& view) const {
  std::vector<std::string> found;
  const auto& primary = view.primary;
  const auto* databasePool = pool_.find(primary.primary);
  auto tracker = trackers_.find(name);
  if (!guide_.leased(name)) found.push_back("no current lease");
  if (primary.primary.get().empty())
    found.push_back("no primary yet");
  else if (!primary.promoted)
    found.push_back("the primary is being recovered");
  else if (view.drained.contains(primary.primary))
    found.push_back("the primary is leaving");
  else if (databasePool && databasePool->suspected)
    found.push_back("the primary is suspected");
  if (tracker != trackers_.end() && tracker->second.confirmedEpoch != tracker->second.observedEpoch)
    found.push_back("work of an epoch before still runs");
  if (connectionLimit(name, view) == 0) found.push_back("no share");
  return found;
}

Json Pooler::serviceStatus(const ServiceName& name, const ServiceDirectory::ServiceView& view) const {
  auto now = clock_.now();
  const auto& primary = view.primary;
  Json json{{"epoch", primary.epoch.get()},
            {"primary", primary.primary.get()},
            {"promoted", primary.promoted},
            {"share", connectionLimit(name, view)}};
  auto lease = guide_.leaseUntil(name);
  json["lease_ms"] = lease ? milliseconds(*lease - now).count() : 0;
  if (auto reason = guide_.missingShareReason(name)) json["shareless"] = *reason;
  if (auto unavailable = unavailabilityReasons(name, view); !unavailable.empty()) json["waits"] = unavailable;
  json["databases"] = Json::object();
  for (const auto& [database, info] : view.databases) {
    auto& entry = json["databases"][database.get()];
    entry = {{"zone", info.zone.get()}, {"busy", 0}, {"idle", 0}, {"opening", 0}};
    std::vector<std::string> reasons;
    if (const auto* databasePool = pool_.find(database)) {
      entry["busy"] = databasePool->busy.size();
      entry["idle"] = databasePool->idle.size();
      entry["opening"] = databasePool->opening;
      if (databasePool->lastContactAt != Instant{}) entry["heard_ms_ago"] = milliseconds(now - databasePool->lastContactAt).count();
      reasons = unusedReasons(*databasePool, now);
    }
    if (view.drained.contains(database)) reasons.insert(reasons.begin(), "drained");
    if (!reasons.empty()) entry["unused"] = reasons;
  }
  return json;
}

}  // namespace tamarindshift
