#include "runner/fleet_runner.hpp"

#include <csignal>
#include <filesystem>

#include <nlohmann/json.hpp>

#include "base/duration_text.hpp"
#include "simulated/history_checks.hpp"
#include "simulated/standin_plan.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

FleetRunner::FleetRunner(Daemon& daemon, FleetShape shape, FleetScript script, std::string binaries, std::string folder, std::uint64_t seed)
    : daemon_(daemon),
      shape_(std::move(shape)),
      script_(std::move(script)),
      binaries_(std::move(binaries)),
      folder_(std::move(folder)),
      seed_(seed) {}

void FleetRunner::say(const std::string& text) {
  daemon_.journal.line(text);
}

void FleetRunner::fault(const std::string& text) {
  if (faults_.size() < 20) faults_.push_back(text);
}

Address FleetRunner::freePort() {
  reserved_.push_back(std::make_unique<boost::asio::ip::tcp::acceptor>(
      daemon_.context, boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}));
  return Address{"127.0.0.1:" + std::to_string(reserved_.back()->local_endpoint().port())};
}

void FleetRunner::addProcess(std::string name, std::string program, std::vector<Address> addresses, std::vector<std::string> arguments,
                             std::string data) {
  processes_.push_back(std::make_unique<Process>());
  auto& own = *processes_.back();
  own.name = std::move(name);
  own.program = std::move(program);
  own.addresses = std::move(addresses);
  own.arguments = std::move(arguments);
  own.data = std::move(data);
}

void FleetRunner::layOut() {
  std::vector<Address> replicaLinks;
  std::string seeds;
  platform_ = freePort();
  for (std::size_t index = 0; index < shape_.replicas; ++index) {
    replicaLinks.push_back(freePort());
    replicaDoors_.push_back(freePort());
    if (index < 3) seeds += (index ? "," : "") + replicaLinks.back().get();
  }
  std::vector<Address> agentDoors;
  for (std::size_t index = 0; index < shape_.replicas; ++index) {
    auto number = std::to_string(index + 1);
    auto data = folder_ + "/replica-" + number;
    addProcess("replica-" + number, "replica", {replicaLinks[index], replicaDoors_[index]},
               {"--address", replicaLinks[index].get(), "--http", replicaDoors_[index].get(), "--zone",
                "z" + std::to_string(index % shape_.zones + 1), "--seeds", seeds, "--platform", platform_.get(), "--data", data},
               data);
  }
  for (std::size_t index = 0; index < shape_.machines; ++index) {
    auto number = std::to_string(index + 1);
    auto agentLink = freePort();
    auto proxyLink = freePort();
    agentDoors.push_back(freePort());
    proxyDoors_.push_back(freePort());
    addProcess("machine-" + number + "/agent", "agent", {agentLink, agentDoors.back()},
               {"--address", agentLink.get(), "--http", agentDoors.back().get(), "--zone", "z" + std::to_string(index % shape_.zones + 1),
                "--seeds", seeds});
    addProcess("machine-" + number + "/proxy", "proxy", {proxyLink, proxyDoors_.back()},
               {"--address", proxyLink.get(), "--http", proxyDoors_.back().get(), "--agent", agentLink.get()});
  }
  std::string primaries;
  for (std::size_t service = 1; service <= shape_.services; ++service)
    for (std::size_t number = 1; number <= shape_.databases; ++number) {
      StandinDatabaseSettings settings;
      settings.service = ServiceName{"s" + std::to_string(service)};
      settings.name = DatabaseName{"d" + std::to_string(number)};
      settings.address = freePort();
      std::string heartbeatsTo = replicaDoors_[(service + number) % replicaDoors_.size()].get();
      for (std::size_t index = 0; index < 2; ++index)
        heartbeatsTo += "," + agentDoors[(service + number + index) % agentDoors.size()].get();
      std::vector<std::string> arguments{"--address",       settings.address.get(), "--service",  settings.service.get(),
                                         "--name",          settings.name.get(),    "--platform", platform_.get(),
                                         "--heartbeats-to", heartbeatsTo,           "--cap",      std::to_string(shape_.cap)};
      if (number == 1) {
        arguments.insert(arguments.end(), {"--primary", "true"});
        primaries += (primaries.empty() ? "" : ",") + settings.service.get() + "=" + settings.address.get();
      }
      addProcess("database-" + std::to_string(service) + "." + std::to_string(number), "standin-database", {settings.address}, arguments);
      databases_.push_back(settings);
    }
  addProcess("platform", "standin-platform", {platform_}, {"--address", platform_.get(), "--primaries", primaries});
}

std::vector<std::string> FleetRunner::participants(const std::string& name) const {
  std::vector<std::string> names;
  for (const auto& process : processes_)
    if (process->name == name || process->name.starts_with(name + "/")) names.push_back(process->name);
  return names;
}

void FleetRunner::planRelays() {
  for (const auto& event : script_.events()) {
    const auto& words = event.words;
    if ((words[0] != "cut" && words[0] != "delay" && words[0] != "cut-way") || words.size() < 3) continue;
    std::vector<std::pair<std::string, std::string>> ways{{words[1], words[2]}};
    if (words[0] != "cut-way") ways.emplace_back(words[2], words[1]);
    for (const auto& way : ways) {
      if (relays_.contains(way)) continue;
      auto& relays = relays_[way];
      for (const auto& target : participants(way.second))
        for (const auto& address : find(target)->addresses) {
          auto via = freePort();
          reserved_.back()->close();
          relays.push_back(std::make_unique<Relay>(daemon_.context, daemon_.clock, via, address));
          if (!relays.back()->listen()) fault("a relay cannot listen on " + via.get());
          for (const auto& source : participants(way.first)) detours_[source][address] = via;
        }
    }
  }
}

void FleetRunner::startAll() {
  for (auto& acceptor : reserved_) {
    boost::system::error_code ignored;
    acceptor->close(ignored);
  }
  reserved_.clear();
  for (auto& process : processes_) {
    auto arguments = process->arguments;
    if (auto own = detours_.find(process->name); own != detours_.end()) {
      std::string text;
      for (const auto& [address, via] : own->second) text += (text.empty() ? "" : ",") + address.get() + "=" + via.get();
      arguments.insert(arguments.end(), {"--detours", text});
    }
    auto log = process->name;
    std::replace(log.begin(), log.end(), '/', '-');
    process->child = std::make_unique<ChildProcess>(binaries_ + "/" + process->program, arguments, folder_ + "/" + log + ".log");
    start(*process);
  }
}

void FleetRunner::start(Process& process) {
  if (!process.child->start()) fault("cannot start " + process.name);
}

FleetRunner::Process* FleetRunner::find(const std::string& name) {
  for (auto& process : processes_)
    if (process->name == name) return process.get();
  return nullptr;
}

Task<bool> FleetRunner::sendPlan(std::uint64_t mark, std::size_t replica) {
  auto text = standinPlan(shape_, databases_, StandinPlanChoice{mark});
  auto outcome = co_await daemon_.web.call(replicaDoors_.at(replica), "PUT", "/plan", text, daemon_.clock.now() + 8s);
  say("plan " + std::to_string(mark) + " -> " + (outcome ? std::to_string(outcome->status) : "no reply"));
  bool held = outcome && outcome->status == 200;
  if (held) highestMark_ = std::max(highestMark_, mark);
  co_return held;
}

Task<bool> FleetRunner::waitReady() {
  auto deadline = daemon_.clock.now() + 60s;
  while (daemon_.clock.now() < deadline) {
    std::size_t ready = 0;
    for (const auto& door : proxyDoors_) {
      auto outcome = co_await daemon_.web.call(door, "GET", "/ready", {}, daemon_.clock.now() + 500ms);
      ready += outcome && outcome->status == 200;
    }
    if (ready == proxyDoors_.size()) co_return true;
    co_await sleep(daemon_.clock, 100ms);
  }
  co_return false;
}

Task<void> FleetRunner::run() {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  layOut();
  planRelays();
  startAll();
  auto began = daemon_.clock.now();
  bool held = false;
  while (!held && daemon_.clock.now() - began < 60s) {
    held = co_await sendPlan(1, 0);
    if (!held) co_await sleep(daemon_.clock, 200ms);
  }
  bool ready = held && co_await waitReady();
  if (!ready) {
    fault("the fleet was not ready in time");
    ended_ = true;
    co_return;
  }
  say("all ready after " + std::to_string(milliseconds(daemon_.clock.now() - began).count()) + "ms");
  StandinCallersSettings settings{proxyDoors_, shape_.zones, shape_.callers, seed_, 15s};
  callers_ = std::make_unique<StandinCallers>(daemon_.clock, daemon_.web, daemon_.journal, settings);
  startedAt_ = daemon_.clock.now();
  for (const auto& event : script_.events()) {
    if (startedAt_ + event.at > daemon_.clock.now()) co_await sleep(daemon_.clock, startedAt_ + event.at - daemon_.clock.now());
    if (!co_await act(event.words)) fault("event not understood or failed: " + event.words[0]);
  }
  if (startedAt_ + script_.until() > daemon_.clock.now()) co_await sleep(daemon_.clock, startedAt_ + script_.until() - daemon_.clock.now());
  auto patience = daemon_.clock.now() + 60s;
  while (!allServing() && daemon_.clock.now() < patience) co_await sleep(daemon_.clock, 100ms);
  callers_->stop();
  auto deadline = daemon_.clock.now() + 20s;
  while (callers_->running() > 0 && daemon_.clock.now() < deadline) co_await sleep(daemon_.clock, 20ms);
  co_await judge();
  ended_ = true;
}

Task<bool> FleetRunner::act(std::vector<std::string> words) {
  std::string line;
  for (const auto& word : words) line += " " + word;
  say("event" + line);
  const auto& verb = words[0];
  if (verb == "plan" && words.size() >= 2) {
    auto mark = std::stoull(words[1]);
    auto replica = words.size() > 2 ? std::stoul(words[2]) - 1 : 0;
    co_return co_await sendPlan(mark, replica);
  }
  if (verb == "pace" && words.size() == 2) {
    callers_->pace(static_cast<unsigned>(std::stoul(words[1])));
    co_return true;
  }
  if (words.size() == 3 && (verb == "cut" || verb == "heal" || verb == "cut-way" || verb == "heal-way")) {
    bool known = false;
    for (auto& [way, relays] : relays_) {
      bool forth = way.first == words[1] && way.second == words[2];
      bool back = way.first == words[2] && way.second == words[1] && !verb.ends_with("-way");
      if (!forth && !back) continue;
      known = true;
      for (auto& relay : relays) relay->cut(verb.starts_with("cut"));
    }
    co_return known;
  }
  if (words.size() == 4 && verb == "delay") {
    auto amount = durationText(words[3]);
    for (auto& [way, relays] : relays_)
      if (amount && ((way.first == words[1] && way.second == words[2]) || (way.first == words[2] && way.second == words[1])))
        for (auto& relay : relays) relay->delay(*amount);
    co_return amount.has_value();
  }
  if (words.size() != 2) co_return false;
  auto names = participants(words[1]);
  if (names.empty()) co_return false;
  if (verb == "stop") {
    for (const auto& name : names) find(name)->child->signal(SIGTERM);
    auto deadline = daemon_.clock.now() + 10s;
    for (const auto& name : names) {
      while (find(name)->child->running() && daemon_.clock.now() < deadline) co_await sleep(daemon_.clock, 20ms);
      if (find(name)->child->running()) fault(name + " did not stop in 10 s");
    }
    co_return true;
  }
  for (const auto& name : names) {
    auto& process = *find(name);
    if (verb == "kill")
      process.child->kill();
    else if (verb == "start")
      start(process);
    else if (verb == "freeze")
      process.child->signal(SIGSTOP);
    else if (verb == "thaw")
      process.child->signal(SIGCONT);
    else if (verb == "empty" && !process.data.empty())
      std::filesystem::remove_all(process.data);
    else if (verb == "leave" || verb == "return") {
      auto outcome = co_await daemon_.web.call(process.addresses[0], "POST", "/" + verb, "{}", daemon_.clock.now() + 8s);
      if (!outcome || outcome->status != 200) co_return false;
    } else
      co_return false;
  }
  co_return true;
}

Task<void> FleetRunner::collectKept() {
  for (std::size_t service = 1; service <= shape_.services; ++service) {
    ServiceName name{"s" + std::to_string(service)};
    auto primary = co_await daemon_.web.call(platform_, "GET", "/primary/" + name.get(), {}, daemon_.clock.now() + 2s);
    if (!primary || primary->status != 200) {
      fault("the platform names no primary of " + name.get());
      continue;
    }
    Address address{Json::parse(primary->body).at("address").get<std::string>()};
    auto data = co_await daemon_.web.call(address, "GET", "/data", {}, daemon_.clock.now() + 5s);
    if (data && data->status == 200)
      kept_[name] = Json::parse(data->body).get<std::map<std::string, std::string>>();
    else
      fault("the primary of " + name.get() + " does not show its data");
  }
}

Task<void> FleetRunner::judge() {
  co_await collectKept();
  HistoryChecks checks(callers_->operations(), shape_.callers, startedAt_, [this](std::string text) {
    fault(text);
  });
  checks.writesOnce(kept_);
  checks.readsFresh();
  for (const auto& each : callers_->faults()) fault(each);
  for (const auto& door : replicaDoors_) {
    auto plan = co_await daemon_.web.call(door, "GET", "/plan", {}, daemon_.clock.now() + 2s);
    if (!plan || plan->status != 200) continue;
    auto mark = Json::parse(plan->body).at("mark").get<std::uint64_t>();
    if (mark < highestMark_) fault("acknowledged plan " + std::to_string(highestMark_) + " is gone at " + door.get());
  }
  for (const auto& database : databases_) {
    auto counters = co_await daemon_.web.call(database.address, "GET", "/counters", {}, daemon_.clock.now() + 2s);
    if (!counters || counters->status != 200) continue;
    auto most = Json::parse(counters->body).at("most_connections").get<std::uint32_t>();
    if (most > shape_.connections)
      fault(database.service.get() + "/" + database.name.get() + " had " + std::to_string(most) + " connections");
  }
  std::map<std::string, std::map<std::string, std::size_t>> outcomes;
  std::map<std::string, std::vector<Duration>> taken;
  for (const auto& each : callers_->operations()) {
    ++outcomes[each.kind.get()][each.outcome];
    if (each.outcome == "done") taken[each.kind.get()].push_back(each.endedAt - each.startedAt);
  }
  for (auto& [kind, own] : outcomes) {
    std::string text = kind;
    for (const auto& [outcome, amount] : own) text += " " + outcome + "=" + std::to_string(amount);
    auto& times = taken[kind];
    std::sort(times.begin(), times.end());
    if (!times.empty())
      text += " p50=" + std::to_string(milliseconds(times[times.size() / 2]).count()) +
              "ms p99=" + std::to_string(milliseconds(times[times.size() * 99 / 100]).count()) + "ms";
    say(text);
  }
  for (const auto& words : script_.expectations()) expect(words);
}

std::optional<Duration> FleetRunner::servedAfter(const std::string& kind, Duration after) const {
  auto from = startedAt_ + after;
  std::optional<Duration> first;
  for (const auto& each : callers_->operations())
    if (each.kind.get() == kind && each.outcome == "done" && each.startedAt >= from)
      first = std::min(first.value_or(Duration::max()), each.endedAt - from);
  return first;
}

bool FleetRunner::allServing() const {
  return std::all_of(script_.expectations().begin(), script_.expectations().end(), [this](const auto& words) {
    return words[0] != "serving" || words.size() != 6 || servedAfter(words[1], durationText(words[5]).value_or(0s));
  });
}

void FleetRunner::expect(const std::vector<std::string>& words) {
  std::string line;
  for (const auto& word : words) line += " " + word;
  const auto& operations = callers_->operations();
  if (words[0] == "serving" && words.size() == 6) {
    auto seen = servedAfter(words[1], durationText(words[5]).value_or(0s));
    if (!seen || *seen > durationText(words[3]).value_or(0s))
      fault("expected" + line + "; seen " + (seen ? std::to_string(milliseconds(*seen).count()) + "ms" : "nothing"));
  } else if (words.size() == 4) {
    auto amount = std::count_if(operations.begin(), operations.end(), [&](const auto& each) {
      return each.kind.get() == words[1] && each.outcome == words[0];
    });
    auto bound = std::stoll(words[3]);
    bool held = words[2] == ">=" ? amount >= bound : words[2] == "<=" ? amount <= bound : amount == bound;
    if (!held) fault("expected" + line + "; seen " + std::to_string(amount));
  } else {
    fault("expectation not understood:" + line);
  }
}

}  // namespace tamarindshift
