#include "control/plan_result.hpp"

#include <nlohmann/json.hpp>

#include "edge/door_replies.hpp"

namespace tamarindshift {

namespace {

using Json = nlohmann::json;

DoorReply brokenReply(const PlanResult& result) {
  Json faults = Json::array();
  for (const auto& fault : result.faults) faults.push_back({{"path", fault.path}, {"reason", fault.reason}});
  return DoorReply{400, Json{{"reason", "broken plan"}, {"faults", faults}}.dump(), std::nullopt};
}

DoorReply conflictReply(const PlanResult& result, const std::string& reason) {
  return DoorReply{409, Json{{"reason", reason}, {"mark", result.held.get()}}.dump(), std::nullopt};
}

DoorReply verdictReply(const PlanResult& result) {
  switch (result.verdict) {
    case PlanVerdict::held:
      return DoorReply{200, Json{{"mark", result.version.get()}, {"position", result.position}}.dump(), std::nullopt};
    case PlanVerdict::overtaken:
      return conflictReply(result, "an older mark");
    case PlanVerdict::conflict:
      return conflictReply(result, "mark " + std::to_string(result.version.get()) + " was ordered with other content");
    case PlanVerdict::broken:
      return brokenReply(result);
  }
  return brokenReply(result);
}

}  // namespace

DoorReply planReply(const PlanResult& result, Duration comeBack) {
  switch (result.outcome) {
    case PlanOutcome::notOrdered:
      return refusal(503, "not taken", "no primary component here, or this node is leaving; nothing was taken", comeBack);
    case PlanOutcome::unknown:
      return refusal(504, "outcome unknown", "ask for the plan held, or send the same plan again", comeBack);
    case PlanOutcome::broken:
      return brokenReply(result);
    case PlanOutcome::ordered:
      return verdictReply(result);
  }
  return brokenReply(result);
}

}  // namespace tamarindshift
