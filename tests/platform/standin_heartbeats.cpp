#include "tests/platform/standin_heartbeats.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift::testing {

using Json = nlohmann::json;

StandinHeartbeats::StandinHeartbeats(Clock& clock, WebLink& web, World& world, StandinWireDatabase& database, ServiceHistory& history,
                                     Nodes nodes, StandinHeartbeatsSettings settings)
    : clock_(clock),
      web_(web),
      world_(world),
      database_(database),
      history_(history),
      nodes_(std::move(nodes)),
      settings_(std::move(settings)) {
  database_.roleChanged = [this] {
    tell();
  };
  scope_.spawn(heartbeat());
}

std::string StandinHeartbeats::body() {
  const auto& own = database_.settings();
  return Json{{"targetService", own.service},
              {"address", own.address.get()},
              {"zone", own.zone},
              {"revision", settings_.revision},
              {"capacity", own.slots},
              {"condition", quiescing_ ? "quiescing" : "in_service"},
              {"coldLeftMs", 0},
              {"dbRole", database_.leads() ? "primary" : "replica"},
              {"callCount", ++calls_}}
      .dump();
}

Task<std::optional<Address>> StandinHeartbeats::send(std::string call) {
  auto nodes = nodes_();
  std::vector<Address> order;
  if (target_) order.push_back(*target_);
  auto first = nodes.empty() ? 0 : world_.below(nodes.size());
  for (std::size_t index = 0; index < nodes.size(); ++index) order.push_back(nodes[(first + index) % nodes.size()]);
  for (const auto& node : order) {
    auto deadline = clock_.now() + 1s;
    auto outcome = co_await web_.call(node, "POST", call + database_.settings().id, body(), deadline);
    bool taken = outcome && outcome->status >= 200 && outcome->status < 300 && outcome->body.size() <= 4096;
    if (!taken) {
      if (target_ == node) target_.reset();
      continue;
    }
    ++acknowledged_;
    auto json = Json::parse(outcome->body, nullptr, false);
    if (json.is_object() && json.contains("beatTarget") && json["beatTarget"].is_string())
      target_ = Address{json["beatTarget"].get<std::string>()};
    co_return node;
  }
  co_return std::nullopt;
}

Task<void> StandinHeartbeats::heartbeat() {
  for (;;) {
    bool quiescing = quiescing_;
    bool led = database_.leads();
    auto sent = clock_.now();
    auto taken = co_await send("/api/Instances.Heartbeat/");
    if (taken && quiescing && !quiescingTakenAt_) {
      quiescingTakenAt_ = clock_.now();
      history_.leaves.push_back(LeaveNotice{database_.settings().service, database_.settings().id, *taken, sent, clock_.now(), false});
      taken_.open();
    }
    if (!taken) {
      co_await sleep(clock_, 100ms);
      continue;
    }
    if (quiescing != quiescing_ || led != database_.leads()) continue;
    auto next = sent + settings_.heartbeat;
    if (clock_.now() < next) co_await news_.wait(clock_, next);
  }
}

void StandinHeartbeats::quiesce() {
  if (std::exchange(quiescing_, true)) return;
  tell();
  scope_.spawn(leave());
}

Task<void> StandinHeartbeats::leave() {
  auto patience = clock_.now() + settings_.drain;
  while (!quiescingTakenAt_ && clock_.now() < patience) co_await taken_.wait(clock_, patience);
  if (quiescingTakenAt_) {
    auto until = *quiescingTakenAt_ + settings_.drain + 500ms;
    co_await sleep(clock_, until - clock_.now());
  }
  auto sent = clock_.now();
  for (int attempt = 0; attempt < 3; ++attempt) {
    auto taken = co_await send("/api/Instances.Detach/");
    if (!taken) continue;
    history_.leaves.push_back(LeaveNotice{database_.settings().service, database_.settings().id, *taken, sent, clock_.now(), true});
    break;
  }
  clock_.after(Duration::zero(), [this] {
    ended();
  });
}

}  // namespace tamarindshift::testing
