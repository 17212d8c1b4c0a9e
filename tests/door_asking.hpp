#pragma once

#include <functional>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/task_scope.hpp"
#include "edge/door.hpp"

namespace tamarindshift {

inline Task<void> answering(Task<DoorReply> task, std::optional<DoorReply>& reply) {
  reply = co_await std::move(task);
}

// what a door answers, `step` moving simulated time on
inline DoorReply answered(Task<DoorReply> task, const std::function<void()>& step, int most = 200) {
  std::optional<DoorReply> reply;
  TaskScope scope;
  scope.spawn(answering(std::move(task), reply));
  for (int steps = 0; steps < most && !reply; ++steps) step();
  REQUIRE(reply);
  return *reply;
}

inline nlohmann::json shown(DoorKeeper& door, const std::string& path, const std::function<void()>& step) {
  auto reply = answered(door.serve(DoorRequest{"GET", path, {}, ConnectionId{7}}), step);
  INFO(reply.body);
  REQUIRE(reply.status == 200);
  return nlohmann::json::parse(reply.body);
}

}  // namespace tamarindshift
