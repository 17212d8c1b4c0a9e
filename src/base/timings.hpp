#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include "group/group_timings.hpp"

namespace tamarindshift {

struct Timings {
  GroupTimings group;
  Duration lease = 1600ms;
  Duration leaseMargin = 150ms;
  Duration planFollowed = 3s;
  Duration sharesFollowed = 10s;
  Duration newsWait = 150ms;
  Duration newsPatience = 350ms;
  Duration report = 500ms;
  Duration reportPause = 50ms;
  Duration duty = 100ms;
  Duration dutyPause = 5ms;
  // time that one pass may spend on shares
  Duration dutyShares = 20ms;
  Duration sharesPause = 2s;
  Duration databaseHeartbeat = 200ms;
  Duration databaseSilence = 1s;
  Duration databaseGone = 60s;
  Duration probePatience = 250ms;
  Duration probePause = 100ms;
  Duration suspicionKept = 1s;
  Duration strainKept = 200ms;
  Duration reliefPause = 8s;
  Duration rationPause = 500ms;
  Duration firstPrimary = 2s;
  Duration leadPatience = 400ms;
  Duration databaseOut = 5s;
  Duration statusPatience = 500ms;
  Duration promotePatience = 1500ms;
  // after this a promotion that was taken has had its effect
  Duration promotionEffect = 2s;
  Duration nodeSilence = 2500ms;
  // silence after which a node is not expected back
  Duration nodeGone = 15s;
  Duration memberAway = 1s;
  Duration connectionsKept = 3s;
  Duration deadConnections = 10s;
  Duration orderPatience = 4s;
  Duration statementPatience = 10s;
  Duration queuePatience = 2s;
  Duration comeBack = 1s;
  Duration stop = 6s;
  Duration stopTransactions = 3s;
  Duration detach = 7s;

  Duration silence() const { return std::max(databaseSilence, databaseHeartbeat * 8 / 5); }
  Duration shareHold() const { return lease + leaseMargin + deadConnections; }
  Duration planGrace() const { return planFollowed - lease - leaseMargin; }
  std::optional<std::string> fault() const;
};

}  // namespace tamarindshift
