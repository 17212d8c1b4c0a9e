#include "base/timing_settings.hpp"

namespace tamarindshift {

std::vector<Setting> timingSettings(Timings& timings) {
  return {
      durationSetting("group-heartbeat", "pause between heartbeats of the group layer", timings.group.heartbeatInterval, 10ms, 1s),
      durationSetting("group-suspicion", "silence after which a peer is suspected", timings.group.suspicionTimeout, 50ms, 5s),
      durationSetting("group-settle", "how long a change must stand before a view is formed", timings.group.settleDuration, 10ms, 2s),
      durationSetting("group-flush", "how long a coordinator waits for flushes", timings.group.flushTimeout, 50ms, 2s),
      durationSetting("lease", "longest lease, from the proof of the replica", timings.lease, 200ms, 2800ms),
      durationSetting("lease-margin", "margin added when leases are waited out", timings.leaseMargin, 10ms, 1s),
      durationSetting("news-wait", "how long a news request waits for a change", timings.newsWait, 10ms, 1s),
      durationSetting("news-patience", "how long a news request may take", timings.newsPatience, 50ms, 2s),
      durationSetting("plan-followed", "time within which a plan must be followed everywhere", timings.planFollowed, 500ms, 60s),
      durationSetting("detach", "time within which no work reaches a database that left", timings.detach, 1s, 600s),
      durationSetting("dead-connections", "how long databases keep connections of a machine that vanished", timings.deadConnections, 0ms,
                      3600s),
      durationSetting("database-heartbeat", "pause between heartbeats of databases", timings.databaseHeartbeat, 20ms, 10s),
      durationSetting("database-silence", "silence of a primary before STATUS is asked; at least 1.6 heartbeats are waited for",
                      timings.databaseSilence, 200ms, 60s),
      durationSetting("database-out", "silence before a primary's end after which a replica is not waited for", timings.databaseOut, 1s,
                      600s),
      reread(
          durationSetting("statement-patience", "longest time a database may take for a request", timings.statementPatience, 100ms, 25s)),
      reread(durationSetting("queue-patience", "longest wait for a connection", timings.queuePatience, 10ms, 20s)),
      reread(durationSetting("come-back", "when refused callers are told to come back", timings.comeBack, 10ms, 60s)),
  };
}

}  // namespace tamarindshift
