#include "runner/scale_runner.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>

#include <nlohmann/json.hpp>

namespace tamarindshift {

using Json = nlohmann::json;

namespace {

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void readFlows(const Json& json, std::map<std::string, Flow>& flows) {
  for (const auto& [name, flow] : json.items()) flows[name] += Flow{flow[0].get<std::uint64_t>(), flow[1].get<std::uint64_t>()};
}

}  // namespace

ScaleRunner::ScaleRunner(Daemon& daemon, ScaleSettings settings, std::string binaries)
    : daemon_(daemon), settings_(std::move(settings)), binaries_(std::move(binaries)) {}

void ScaleRunner::fault(std::string text) {
  daemon_.journal.line("fault: " + text);
  faults_.push_back(std::move(text));
}

void ScaleRunner::add(Role role, const std::string& name, const std::string& program, std::vector<std::string> arguments) {
  processes_.push_back(std::make_unique<Process>());
  auto& own = *processes_.back();
  own.role = role;
  own.child = std::make_unique<ChildProcess>(binaries_ + "/" + program, std::move(arguments), settings_.folder + "/" + name + ".log");
  if (!own.child->start()) fault("cannot start " + name);
}

std::vector<std::string> ScaleRunner::shapeArguments() const {
  const auto& shape = settings_.addresses.shape;
  return {"--prefix",
          settings_.addresses.prefix,
          "--replicas",
          std::to_string(shape.replicas),
          "--nodes",
          std::to_string(shape.nodes),
          "--databases",
          std::to_string(shape.databases),
          "--databases-per-service",
          std::to_string(shape.databasesPerService),
          "--zones",
          std::to_string(shape.zones),
          "--regions",
          std::to_string(shape.regions),
          "--connections",
          std::to_string(shape.connections)};
}

void ScaleRunner::layOut() {
  const auto& addresses = settings_.addresses;
  const auto& shape = addresses.shape;
  std::string seeds;
  for (const auto& seed : addresses.seeds()) seeds += (seeds.empty() ? "" : ",") + seed.get();
  std::string primaries;
  for (const auto& database : addresses.databases())
    if (database.primary) primaries += (primaries.empty() ? "" : ",") + database.service.get() + "=" + database.address.get();
  add(Role::platform, "platform", "standin-platform", {"--address", addresses.platform().get(), "--primaries", primaries});
  for (std::size_t index = 0; index < shape.replicas; ++index)
    add(Role::replica, "replica-" + std::to_string(index + 1), "replica",
        {"--address", addresses.replica(index).get(), "--http", addresses.replicaDoor(index).get(), "--zone", shape.zone(index).get(),
         "--seeds", seeds, "--platform", addresses.platform().get(), "--data", replicaFolder(index)});
  for (std::size_t index = 0; index < settings_.real; ++index) {
    auto number = std::to_string(index + 1);
    add(Role::agent, "agent-" + number, "agent",
        {"--address", addresses.agent(index).get(), "--http", addresses.agentDoor(index).get(), "--zone", shape.zone(index).get(),
         "--seeds", seeds});
    add(Role::proxy, "proxy-" + number, "proxy",
        {"--address", addresses.proxy(index).get(), "--http", addresses.proxyDoor(index).get(), "--agent", addresses.agent(index).get()});
  }
  auto host = [&](const std::string& part, std::size_t first, std::size_t count) {
    auto arguments = shapeArguments();
    auto control = addresses.host(hosts_).get();
    arguments.insert(arguments.end(), {"--part", part, "--first", std::to_string(first), "--count", std::to_string(count), "--control",
                                       control, "--real", std::to_string(settings_.real)});
    add(Role::hollow, part + "-" + std::to_string(++hosts_), "scale", arguments);
  };
  for (std::size_t zone = 0; settings_.light && zone < std::min(shape.zones, shape.nodes); ++zone) host("zone", zone, 0);
  for (auto first = settings_.real; !settings_.light && first < shape.nodes; first += settings_.each)
    host("nodes", first, std::min(settings_.each, shape.nodes - first));
  for (const auto& database : addresses.databases()) {
    if (database.service != ServiceName{"s1"}) continue;
    std::string heartbeatsTo;
    for (const auto& to : database.heartbeatsTo) heartbeatsTo += (heartbeatsTo.empty() ? "" : ",") + to.get();
    add(Role::database, "database-" + database.name.get(), "standin-database",
        {"--address", database.address.get(), "--service", "s1", "--name", database.name.get(), "--platform", addresses.platform().get(),
         "--heartbeats-to", heartbeatsTo, "--cap", std::to_string(database.cap), "--primary", database.primary ? "true" : "false"});
  }
  for (std::size_t first = 1; first < shape.services(); first += 80) {
    auto arguments = shapeArguments();
    arguments.insert(arguments.end(), {"--part", "databases", "--first", std::to_string(first), "--count", "80"});
    add(Role::database, "databases-" + std::to_string(first), "scale", arguments);
  }
}

std::vector<ScaleRunner::Process*> ScaleRunner::all(Role role) {
  std::vector<Process*> found;
  for (auto& process : processes_)
    if (process->role == role) found.push_back(process.get());
  return found;
}

Task<std::optional<std::string>> ScaleRunner::ask(Address address, std::string method, std::string path, std::string body,
                                                  Duration patience) {
  auto outcome =
      co_await daemon_.web.call(std::move(address), std::move(method), std::move(path), std::move(body), daemon_.clock.now() + patience);
  if (!outcome || (outcome->status != 200 && outcome->status != 201)) co_return std::nullopt;
  co_return outcome->body;
}

Task<bool> ScaleRunner::sendPlan(std::uint64_t mark) {
  auto text = scalePlan(settings_.addresses, mark);
  auto deadline = daemon_.clock.now() + settings_.patience;
  for (std::size_t attempt = 0; daemon_.clock.now() < deadline; ++attempt) {
    auto door = settings_.addresses.replicaDoor(attempt % settings_.addresses.shape.replicas);
    auto held = co_await ask(door, "PUT", "/plan", text, 5s);
    if (held) co_return true;
    co_await sleep(daemon_.clock, 200ms);
  }
  co_return false;
}

Task<ScaleRunner::Sample> ScaleRunner::sample() {
  Sample sample;
  for (std::size_t host = 0; host < hosts_; ++host) {
    auto address = settings_.addresses.host(host);
    auto text = co_await ask(address, "GET", "/measure", {}, 5s);
    if (!text) continue;
    auto json = Json::parse(*text, nullptr, false);
    if (!json.is_object()) continue;
    sample.hollow += json["nodes"].get<std::size_t>();
    sample.leased += json["leased"].get<std::size_t>();
    if (json.contains("in")) readFlows(json["in"], sample.traffic.in);
    if (json.contains("out")) readFlows(json["out"], sample.traffic.out);
  }
  sample.at = daemon_.clock.now();
  sample.machine = machineFigures();
  for (const auto& process : processes_) sample.processes.push_back(processFigures(process->child->process()).value_or(ProcessFigures{}));
  co_return sample;
}

Task<bool> ScaleRunner::waitLeased() {
  auto deadline = daemon_.clock.now() + settings_.patience;
  while (daemon_.clock.now() < deadline) {
    auto now = co_await sample();
    if (now.hollow + settings_.real == settings_.addresses.shape.nodes && now.leased == now.hollow) co_return true;
    co_await sleep(daemon_.clock, 200ms);
  }
  co_return false;
}

Task<bool> ScaleRunner::waitReady(Address door, Duration patience) {
  auto deadline = daemon_.clock.now() + patience;
  while (daemon_.clock.now() < deadline) {
    auto ready = co_await ask(door, "GET", "/ready", {}, 500ms);
    if (ready) co_return true;
    co_await sleep(daemon_.clock, 20ms);
  }
  co_return false;
}

Task<void> ScaleRunner::run() {
  std::filesystem::remove_all(settings_.folder);
  std::filesystem::create_directories(settings_.folder);
  const auto& shape = settings_.addresses.shape;
  note("nodes", static_cast<double>(shape.nodes));
  note("databases", static_cast<double>(shape.databases));
  note("services", static_cast<double>(shape.services()));
  note("replicas", static_cast<double>(shape.replicas));
  layOut();
  auto began = daemon_.clock.now();
  bool held = co_await sendPlan(1);
  if (!held) {
    fault("no plan was taken in time");
    ended_ = true;
    co_return;
  }
  bool leased = co_await waitLeased();
  note("started", leased ? 1 : 0);
  note("start_s", seconds(daemon_.clock.now() - began));
  if (settings_.part == "clients") {
    co_await clients();
  } else {
    co_await sleep(daemon_.clock, settings_.settle);
    co_await window();
    if (settings_.events && leased) {
      co_await planEvent();
      co_await primaryEvent();
      co_await joinEvent();
      co_await restartEvent();
    }
  }
  ended_ = true;
}

Task<void> ScaleRunner::window() {
  auto before = co_await sample();
  co_await sleep(daemon_.clock, settings_.window);
  auto after = co_await sample();
  noteWindow(before, after);
}

void ScaleRunner::noteWindow(const Sample& before, const Sample& after) {
  const auto& shape = settings_.addresses.shape;
  auto took = seconds(after.at - before.at);
  auto traffic = after.traffic - before.traffic;
  auto hollow = static_cast<double>(std::max<std::size_t>(1, after.hollow));
  note("window_s", took);
  note("machine_busy_percent", 100 * (after.machine.used - before.machine.used) / (after.machine.whole - before.machine.whole));
  note("hollow_nodes_leased", static_cast<double>(after.leased));
  auto network = [&](const std::map<std::string, Flow>& flows) {
    auto agents = Traffic::sum(flows, "agent/");
    agents += Traffic::sum(flows, "replica/");
    return agents;
  };
  auto perNode = [&](const std::string& name, const Flow& flow) {
    note(name + "_messages_s", static_cast<double>(flow.messages) / took / hollow);
    note(name + "_bytes_s", static_cast<double>(flow.bytes) / took / hollow);
  };
  perNode("node_out", network(traffic.out));
  perNode("node_in", network(traffic.in));
  perNode("node_inside_out", Traffic::sum(traffic.out, "inside/"));
  perNode("node_inside_in", Traffic::sum(traffic.in, "inside/"));
  note("inside_asks_s", static_cast<double>(traffic.in["inside/follow"].messages) / took / hollow);
  note("replica_asks_per_zone_s", static_cast<double>(traffic.out["replica/follow"].messages) / took / hollow *
                                      static_cast<double>(shape.nodes) / static_cast<double>(std::min(shape.zones, shape.nodes)));
  perNode("node_report_out", traffic.out["replica/report"]);
  perNode("node_heartbeat_out", traffic.out["replica/heartbeat"]);
  perNode("node_replica_ask_out", traffic.out["replica/follow"]);
  auto perReplica = [&](const std::string& name, const Flow& flow) {
    auto share = static_cast<double>(shape.nodes) / hollow / static_cast<double>(shape.replicas) / took;
    note(name + "_messages_s", static_cast<double>(flow.messages) * share);
    note(name + "_bytes_s", static_cast<double>(flow.bytes) * share);
  };
  perReplica("replica_in", Traffic::sum(traffic.out, "replica/"));
  perReplica("replica_out", Traffic::sum(traffic.in, "replica/"));
  std::map<Role, std::vector<double>> processor;
  std::map<Role, std::vector<double>> memory;
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    auto role = processes_[index]->role;
    processor[role].push_back(100 * (after.processes[index].processorSeconds - before.processes[index].processorSeconds) / took);
    memory[role].push_back(after.processes[index].residentMegabytes);
  }
  auto sum = [](const std::vector<double>& values) {
    double all = 0;
    for (auto value : values) all += value;
    return all;
  };
  auto most = [](const std::vector<double>& values) {
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
  };
  auto mean = [&](const std::vector<double>& values) {
    return values.empty() ? 0 : sum(values) / static_cast<double>(values.size());
  };
  note("node_core_percent", sum(processor[Role::hollow]) / hollow);
  note("agent_core_percent", mean(processor[Role::agent]));
  note("agent_most_core_percent", most(processor[Role::agent]));
  note("proxy_core_percent", mean(processor[Role::proxy]));
  note("replica_core_percent", mean(processor[Role::replica]));
  note("replica_most_core_percent", most(processor[Role::replica]));
  note("databases_core_percent", sum(processor[Role::database]));
  note("node_megabytes", sum(memory[Role::hollow]) / hollow);
  note("agent_megabytes", mean(memory[Role::agent]));
  note("proxy_megabytes", mean(memory[Role::proxy]));
  note("replica_megabytes", most(memory[Role::replica]));
}

Task<void> ScaleRunner::watch(std::string body) {
  for (std::size_t host = 0; host < hosts_; ++host) {
    auto address = settings_.addresses.host(host);
    co_await ask(address, "POST", "/watch", body, 2s);
  }
}

Task<std::vector<Duration>> ScaleRunner::watched(Instant since, Duration patience) {
  std::vector<Duration> times;
  auto deadline = daemon_.clock.now() + patience;
  auto whole = settings_.addresses.shape.nodes - settings_.real;
  while (daemon_.clock.now() < deadline) {
    times.clear();
    for (std::size_t host = 0; host < hosts_; ++host) {
      auto address = settings_.addresses.host(host);
      auto text = co_await ask(address, "GET", "/watch", {}, 2s);
      if (!text) continue;
      for (const auto& each : Json::parse(*text))
        if (auto at = each.get<std::int64_t>()) times.push_back(Instant{Duration{at}} - since);
    }
    if (times.size() == whole) break;
    co_await sleep(daemon_.clock, 100ms);
  }
  std::sort(times.begin(), times.end());
  co_return times;
}

void ScaleRunner::noteTimes(const std::string& name, std::vector<Duration> times, std::size_t whole) {
  note(name + "_reached", static_cast<double>(times.size()) / static_cast<double>(whole));
  note(name + "_median_s", times.empty() ? -1 : seconds(times[times.size() / 2]));
  note(name + "_last_s", times.empty() ? -1 : seconds(times.back()));
}

double ScaleRunner::logBytes() const {
  double most = 0;
  for (std::size_t index = 0; index < settings_.addresses.shape.replicas; ++index) {
    std::error_code error;
    auto size = std::filesystem::file_size(replicaFolder(index) + "/actions.log", error);
    if (!error) most = std::max(most, static_cast<double>(size));
  }
  return most;
}

Task<void> ScaleRunner::planEvent() {
  auto bytes = logBytes();
  co_await watch("{\"mark\":2}");
  auto asked = daemon_.clock.now();
  bool held = co_await sendPlan(2);
  auto heldAt = daemon_.clock.now();
  note("plan_held_s", held ? seconds(heldAt - asked) : -1);
  auto times = co_await watched(heldAt, 15s);
  noteTimes("plan_followed", std::move(times), settings_.addresses.shape.nodes - settings_.real);
  note("plan_log_bytes", logBytes() - bytes);
}

Task<void> ScaleRunner::primaryEvent() {
  auto platform = settings_.addresses.platform();
  auto text = co_await ask(platform, "GET", "/primary/s1", {}, 2s);
  if (!text) co_return fault("the platform names no primary of s1");
  auto primary = Json::parse(*text);
  Json body{{"service", "s1"}, {"epoch", primary["epoch"].get<std::uint64_t>() + 1}};
  co_await watch(body.dump());
  auto address = primary["address"].get<std::string>();
  std::size_t number = 0;
  for (const auto& database : settings_.addresses.databases())
    if (database.service == ServiceName{"s1"} && database.address.get() != address)
      ++number;
    else
      break;
  all(Role::database).at(number)->child->kill();
  auto killedAt = daemon_.clock.now();
  auto times = co_await watched(killedAt, 20s);
  noteTimes("primary_served", std::move(times), settings_.addresses.shape.nodes - settings_.real);
}

Task<void> ScaleRunner::joinEvent() {
  auto last = settings_.addresses.shape.replicas - 1;
  auto* process = all(Role::replica).at(last);
  process->child->kill();
  std::filesystem::remove_all(replicaFolder(last));
  co_await sleep(daemon_.clock, 2s);
  process->child->start();
  auto began = daemon_.clock.now();
  auto door = settings_.addresses.replicaDoor(last);
  bool ready = co_await waitReady(door, 30s);
  note("join_s", ready ? seconds(daemon_.clock.now() - began) : -1);
}

Task<double> ScaleRunner::greenLine() {
  auto door = settings_.addresses.replicaDoor(0);
  auto text = co_await ask(door, "GET", "/status", {}, 10s);
  if (!text) co_return -1;
  co_return Json::parse(*text)["engine"]["green"].get<double>();
}

Task<void> ScaleRunner::restartEvent() {
  if (settings_.real == 0) co_return;
  co_await sleep(daemon_.clock, 3s);
  auto green = co_await greenLine();
  auto bytes = logBytes();
  auto* agent = all(Role::agent).front();
  auto* proxy = all(Role::proxy).front();
  agent->child->kill();
  proxy->child->kill();
  co_await sleep(daemon_.clock, 4s);
  agent->child->start();
  proxy->child->start();
  auto began = daemon_.clock.now();
  auto door = settings_.addresses.proxyDoor(0);
  bool ready = co_await waitReady(door, 30s);
  note("restart_ready_s", ready ? seconds(daemon_.clock.now() - began) : -1);
  co_await sleep(daemon_.clock, 15s);
  auto after = co_await greenLine();
  note("restart_actions", green < 0 || after < 0 ? -1 : after - green);
  note("restart_log_bytes", logBytes() - bytes);
}

Task<double> ScaleRunner::openSessions(std::size_t upTo) {
  auto door = settings_.addresses.proxyDoor(0);
  while (clients_.size() < upTo) {
    auto connection = co_await daemon_.web.open(door, daemon_.clock.now() + 2s);
    if (!connection) break;
    auto outcome = co_await connection->exchange("POST", "/sessions", "{\"kind\":\"counter1\"}", daemon_.clock.now() + 2s);
    if (outcome.status != 201) break;
    clients_.push_back(Client{std::move(connection), Json::parse(outcome.body)["session"].get<std::string>(), false});
  }
  co_return static_cast<double>(clients_.size());
}

Task<void> ScaleRunner::oneStatement(std::size_t session) {
  auto& client = clients_[session];
  client.busy = true;
  auto path = "/sessions/" + client.session + "/run";
  auto outcome = co_await client.connection->exchange("POST", path, "{\"text\":\"get a\",\"reads\":true}", daemon_.clock.now() + 3s);
  ++(outcome.status == 200 ? statementsDone_ : statementsFailed_);
  client.busy = false;
}

Task<void> ScaleRunner::statements(std::size_t perSecond, Duration duration) {
  auto began = daemon_.clock.now();
  std::size_t sent = 0;
  std::size_t next = 0;
  while (daemon_.clock.now() - began < duration) {
    auto due = static_cast<std::size_t>(seconds(daemon_.clock.now() - began) * static_cast<double>(perSecond));
    for (; sent < due; ++sent, next = (next + 1) % clients_.size())
      if (!clients_[next].busy) scope_.spawn(oneStatement(next));
    co_await sleep(daemon_.clock, 5ms);
  }
}

Task<void> ScaleRunner::clients() {
  auto* proxy = all(Role::proxy).front();
  for (std::size_t step = 0; step <= 4; ++step) {
    auto opened = co_await openSessions(settings_.sessions * step / 4);
    co_await sleep(daemon_.clock, 1s);
    auto before = processFigures(proxy->child->process()).value_or(ProcessFigures{});
    co_await sleep(daemon_.clock, settings_.window);
    auto after = processFigures(proxy->child->process()).value_or(ProcessFigures{});
    auto name = "clients_" + std::to_string(step);
    note(name, opened);
    note(name + "_megabytes", after.residentMegabytes);
    note(name + "_idle_core_percent", 100 * (after.processorSeconds - before.processorSeconds) / seconds(settings_.window));
  }
  for (std::size_t rate : {100, 200, 400, 800, 1600}) {
    statementsDone_ = statementsFailed_ = 0;
    auto began = daemon_.clock.now();
    auto before = processFigures(proxy->child->process()).value_or(ProcessFigures{});
    co_await statements(rate, settings_.window);
    auto after = processFigures(proxy->child->process()).value_or(ProcessFigures{});
    auto took = seconds(daemon_.clock.now() - began);
    auto name = "statements_" + std::to_string(rate);
    note(name + "_done_s", static_cast<double>(statementsDone_) / took);
    note(name + "_failed_s", static_cast<double>(statementsFailed_) / took);
    note(name + "_core_percent", 100 * (after.processorSeconds - before.processorSeconds) / took);
  }
}

}  // namespace tamarindshift
