#include "simulated/scenario.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/duration_text.hpp"
#include "simulated/deployment.hpp"

namespace tamarindshift {

namespace {

std::map<std::string, std::string> pairs(const std::vector<std::string>& words, std::size_t from) {
  std::map<std::string, std::string> read;
  for (auto index = from; index < words.size(); ++index) {
    auto equals = words[index].find('=');
    read[words[index].substr(0, equals)] = equals == std::string::npos ? "" : words[index].substr(equals + 1);
  }
  return read;
}

std::size_t number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

std::vector<std::string> list(const std::string& text) {
  std::vector<std::string> read;
  std::istringstream stream(text);
  for (std::string each; std::getline(stream, each, ',');) read.push_back(each);
  return read;
}

std::string databaseName(const std::string& place) {
  auto dot = place.find('.');
  return "s" + place.substr(0, dot) + ".d" + place.substr(dot + 1);
}

}  // namespace

bool Scenario::fail(const std::string& reason) {
  reason_ = reason;
  return false;
}

bool Scenario::load(const std::string& path) {
  std::ifstream file(path);
  if (!file) return fail("cannot read " + path);
  return read(file, path);
}

bool Scenario::read(std::istream& file, const std::string& path) {
  std::size_t line = 0;
  for (std::string text; std::getline(file, text);) {
    ++line;
    std::istringstream stream(text.substr(0, text.find('#')));
    Words words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (!words.empty() && !readLine(words, line))
      return fail(path + ":" + std::to_string(line) + ": " + (reason_.empty() ? "not understood" : reason_));
  }
  std::stable_sort(events_.begin(), events_.end(), [](const Event& left, const Event& right) {
    return left.at < right.at;
  });
  return true;
}

bool Scenario::readLine(const Words& words, std::size_t line) {
  if (words[0] == "fleet") {
    for (const auto& [key, value] : pairs(words, 1)) {
      if (key == "deployment") {
        auto shape = deploymentNamed(value);
        if (!shape) return fail("unknown deployment " + value);
        shape_ = *shape;
      } else if (key == "replicas")
        shape_.replicas = number(value);
      else if (key == "machines")
        shape_.machines = number(value);
      else if (key == "zones")
        shape_.zones = number(value);
      else if (key == "services")
        shape_.services = number(value);
      else if (key == "databases")
        shape_.databases = number(value);
      else if (key == "heartbeat-targets")
        shape_.beatTargets = number(value);
      else if (key == "cap")
        shape_.cap = static_cast<std::uint32_t>(number(value));
      else if (key == "connections")
        shape_.connections = static_cast<std::uint32_t>(number(value));
      else if (key == "work")
        shape_.work = durationText(value).value_or(shape_.work);
      else if (key == "opens")
        shape_.opens = durationText(value).value_or(shape_.opens);
      else if (key == "disk")
        shape_.diskSync = durationText(value).value_or(shape_.diskSync);
      else
        return fail("unknown key " + key);
    }
    return true;
  }
  if (words[0] == "callers") {
    CallerKind kind;
    for (const auto& [key, value] : pairs(words, 1)) {
      if (key == "kind") {
        kind.kind = KindName{value};
        kind.service = ServiceName{"s" + value.substr(value.find_first_of("0123456789"))};
        kind.primary = value.starts_with("counter");
        if (!kind.primary) kind.writes = kind.transactions = 0;
      } else if (key == "count")
        kind.callers = number(value);
      else if (key == "pause")
        kind.pause = durationText(value).value_or(kind.pause);
      else if (key == "idle")
        kind.idle = durationText(value).value_or(kind.idle);
      else if (key == "steps")
        kind.steps = number(value);
      else if (key == "writes")
        kind.writes = static_cast<unsigned>(number(value));
      else if (key == "transactions")
        kind.transactions = static_cast<unsigned>(number(value));
      else if (key == "walks")
        kind.walksAway = static_cast<unsigned>(number(value));
      else if (key == "stateful")
        kind.stateful = value == "yes";
      else
        return fail("unknown key " + key);
    }
    shape_.callers.push_back(kind);
    return true;
  }
  if (words[0] == "until" && words.size() == 2) {
    auto end = durationText(words[1]);
    if (end) until_ = *end;
    return end.has_value();
  }
  if (words[0] == "waits" && words.size() == 6) {
    auto from = durationText(words[3]);
    auto until = durationText(words[5]);
    if (from && until) waits_.push_back(Waiting{ServiceName{words[1]}, *from, *until});
    return from && until;
  }
  if (words[0] == "down" && words.size() == 2) {
    down_.insert(ServiceName{words[1]});
    return true;
  }
  if (words[0] == "at" && words.size() > 2) {
    auto at = durationText(words[1]);
    if (at) events_.push_back(Event{*at, Words(words.begin() + 2, words.end()), line});
    return at.has_value();
  }
  if (words[0] == "expect" && words.size() > 2) {
    expectations_.push_back(Words(words.begin() + 1, words.end()));
    return true;
  }
  return false;
}

bool Scenario::run(std::uint64_t seed) {
  faults_.clear();
  SimulatedFleet fleet(shape_, seed);
  for (const auto& event : events_) {
    fleet.runUntil(fleet.start() + event.at);
    noteDisturbance(fleet, event.words);
    if (!act(fleet, event.words)) return fail("line " + std::to_string(event.line) + ": event not understood");
  }
  fleet.runUntil(fleet.start() + until_);
  fleet.availability().trouble("all", true);
  fleet.callers().stop();
  fleet.run(16s);
  for (const auto& each : waits_) fleet.availability().excuse(each.service, fleet.start() + each.from, fleet.start() + each.until);
  NeverList neverList(fleet);
  for (const auto& service : down_) neverList.excuseStaysDown(service);
  faults_ = neverList.check();
  for (auto& violation : SimulatedJournal::takeViolations()) faults_.push_back(std::move(violation));
  windows_ = neverList.windows();
  runs_ = neverList.runs();
  for (const auto& words : expectations_) expect(fleet, words);
  summarize(fleet);
  lines_ = fleet.lines();
  return faults_.empty();
}

void Scenario::noteDisturbance(SimulatedFleet& fleet, const Words& words) {
  static const std::set<std::string> harmless{
      "plan", "pace", "add", "fast", "fast-disk", "hide-replication", "boast", "lag", "lie", "lie-in-heartbeats", "move"};
  const auto& verb = words[0];
  auto& availability = fleet.availability();
  auto now = fleet.world().now();
  if (verb == "plan" && words.size() > 1 && words[1].starts_with("mark") && fleet.plans().all().empty()) return availability.disturbed(now);
  bool retires = std::any_of(words.begin(), words.end(), [](const auto& word) {
    return word.starts_with("without-");
  });
  if (harmless.contains(verb) && !retires) return;
  if (verb == "lose") availability.trouble("all", words.back() != "0");
  bool single = words.size() > 2 && words[1] == "database";
  if (!single) return availability.disturbed(now);
  ServiceName service{"s" + words[2].substr(0, words[2].find('.'))};
  if (verb == "faults") availability.trouble(service.get(), words.size() > 3);
  availability.disturbed(service, now);
}

bool Scenario::act(SimulatedFleet& fleet, const Words& words) {
  const auto& verb = words[0];
  auto machineOrHost = [&](const std::string& name) {
    auto split = name.find('-');
    auto kind = name.substr(0, split);
    auto rest = split == std::string::npos ? "" : name.substr(split + 1);
    if (kind == "replica") return "10.0.0." + rest;
    if (kind == "machine") return "10.1.0." + rest;
    if (kind == "database") return "10.2." + rest;
    if (kind == "platform") return std::string("10.3.0.1");
    return std::string("10.4.0.1");
  };
  if (verb == "plan") return actOnPlan(fleet, words);
  if (verb == "heal" && words.size() == 1) {
    fleet.network().healAll();
    return true;
  }
  if ((verb == "cut" || verb == "heal" || verb == "cut-way" || verb == "heal-way") && words.size() == 3) {
    auto left = machineOrHost(words[1]);
    auto right = machineOrHost(words[2]);
    bool cuts = verb.starts_with("cut");
    auto change = [&](const std::string& from, const std::string& to) {
      cuts ? fleet.network().cut(from, to) : fleet.network().heal(from, to);
    };
    change(left, right);
    if (!verb.ends_with("-way")) change(right, left);
    return true;
  }
  if (verb == "lose" && words.size() == 2) {
    fleet.network().lose(static_cast<unsigned>(number(words[1])));
    return true;
  }
  if (verb == "delay" && words.size() == 2) {
    fleet.network().delay(durationText(words[1]).value_or(500us));
    return true;
  }
  if (verb == "platform" && words.size() == 3) {
    auto amount = static_cast<unsigned>(number(words[2]));
    words[1] == "refuse" ? fleet.platform().refuseNext(amount) : fleet.platform().loseNext(amount);
    return true;
  }
  if (verb == "pace" && words.size() == 2) {
    fleet.callers().pace(static_cast<unsigned>(number(words[1])));
    return true;
  }
  if (verb == "move" && words.size() == 2 && words[1] == "callers") {
    fleet.callers().move();
    return true;
  }
  if (verb == "add" && words.size() == 2 && words[1] == "machine") {
    fleet.addMachine();
    return true;
  }
  if (words.size() < 3) return false;
  if (words[1] == "replica") return actOnReplica(fleet, verb, number(words[2]) - 1);
  if (words[1] == "machine") return actOnMachine(fleet, verb, number(words[2]) - 1);
  if (words[1] == "database") return actOnDatabase(fleet, words);
  return false;
}

bool Scenario::actOnReplica(SimulatedFleet& fleet, const std::string& verb, std::size_t index) {
  auto& own = *fleet.replicas().at(index);
  if (verb == "kill")
    fleet.killReplica(index);
  else if (verb == "start")
    fleet.startReplica(index);
  else if (verb == "stop")
    fleet.stopReplica(index);
  else if (verb == "empty")
    own.disk.empty();
  else if (verb == "freeze")
    own.clock->freeze();
  else if (verb == "thaw")
    own.clock->thaw();
  else if (verb == "slow-disk")
    own.store->slow(400ms);
  else if (verb == "fast-disk")
    own.store->slow(fleet.shape().diskSync);
  else
    return false;
  return true;
}

bool Scenario::actOnMachine(SimulatedFleet& fleet, const std::string& verb, std::size_t index) {
  auto& own = *fleet.machines().at(index);
  if (verb == "kill")
    fleet.killMachine(index);
  else if (verb == "start")
    fleet.startMachine(index);
  else if (verb == "stop")
    fleet.stopMachine(index);
  else if (verb == "freeze")
    own.clock->freeze();
  else if (verb == "thaw")
    own.clock->thaw();
  else if (verb == "slow")
    own.clock->slowBy(20ms);
  else if (verb == "fast")
    own.clock->slowBy(0ms);
  else if (verb == "break-clock")
    own.clock->runSlower(20);
  else
    return false;
  return true;
}

bool Scenario::actOnDatabase(SimulatedFleet& fleet, const Words& words) {
  auto dot = words[2].find('.');
  auto service = number(words[2].substr(0, dot));
  auto place = number(words[2].substr(dot + 1));
  auto& own = fleet.database(service, place);
  const auto& verb = words[0];
  auto options = pairs(words, 3);
  if (verb == "kill")
    fleet.crashDatabase(own);
  else if (verb == "start")
    fleet.startDatabase(own);
  else if (verb == "leave")
    fleet.leaveDatabase(own);
  else if (verb == "return")
    fleet.returnDatabase(own);
  else if (verb == "freeze")
    own.clock->freeze();
  else if (verb == "thaw")
    own.clock->thaw();
  else if (verb == "slow")
    own.node->slow(durationText(options["work"]).value_or(500ms));
  else if (verb == "replace")
    fleet.replaceDatabase(service, place);
  else if (verb == "lag")
    own.node->lag(durationText(options["by"]).value_or(300ms));
  else if (verb == "boast")
    own.node->boast(1'000'000);
  else if (verb == "lie-in-heartbeats")
    own.node->lieInHeartbeats();
  else if (verb == "lie")
    own.node->lieAboutContact();
  else if (verb == "hide-replication")
    own.node->hideReplication();
  else if (verb == "faults") {
    WebFaults faults;
    faults.loseRequest = static_cast<unsigned>(number(options["request"]));
    faults.loseReply = static_cast<unsigned>(number(options["reply"]));
    faults.resetBefore = static_cast<unsigned>(number(options["before"]));
    faults.twice = static_cast<unsigned>(number(options["twice"]));
    faults.alter = static_cast<unsigned>(number(options["alter"]));
    faults.cross = static_cast<unsigned>(number(options["cross"]));
    faults.insert = static_cast<unsigned>(number(options["insert"]));
    fleet.web().faults(own.settings.address, faults);
  } else
    return false;
  return true;
}

bool Scenario::actOnPlan(SimulatedFleet& fleet, const Words& words) {
  auto options = pairs(words, 1);
  StandinPlanChoice choice;
  choice.mark = number(options["mark"]);
  auto replica = options.contains("to") ? number(options["to"]) - 1 : 0;
  auto pair = [&](const std::string& key, std::map<std::string, std::string>& target, const std::string& prefix = "") {
    if (!options.contains(key)) return;
    for (const auto& each : list(options[key])) target[prefix + each.substr(0, each.find(':'))] = each.substr(each.find(':') + 1);
  };
  for (const auto& each : list(options["without"])) choice.withoutKinds.insert(each);
  for (const auto& each : list(options["without-service"])) {
    choice.withoutServices.insert(each);
    for (const char* kind : {"counter", "lookup", "status"}) choice.withoutKinds.insert(kind + each.substr(1));
  }
  for (const auto& each : list(options["without-database"])) choice.withoutDatabases.insert(databaseName(each));
  if (options.contains("first")) choice.firstPart = static_cast<std::uint32_t>(number(options["first"]));
  if (options.contains("connections")) choice.connections = static_cast<std::uint32_t>(number(options["connections"]));
  pair("branch", choice.branchOfKind);
  pair("machines", choice.machinesOfKind);
  pair("databases", choice.databasesOfKind);
  for (const auto& each : list(options["label-machine"]))
    choice.labelOfMachine["10.1.0." + each.substr(0, each.find(':')) + ":1"] = each.substr(each.find(':') + 1);
  for (const auto& each : list(options["label-database"]))
    choice.labelOfDatabase[databaseName(each.substr(0, each.find(':')))] = each.substr(each.find(':') + 1);
  auto text = fleet.planText(choice);
  bool sound = !options.contains("broken");
  if (!sound) {
    const auto& how = options["broken"];
    if (how == "cut")
      text = text.substr(0, text.size() / 2);
    else if (how == "key")
      text.insert(1, "\"surprise\":1,");
    else if (how == "sum") {
      choice.firstPart = 150;
      text = fleet.planText(choice);
    } else
      return false;
  }
  fleet.sendPlan(replica, choice.mark, text, sound);
  return true;
}

void Scenario::expect(SimulatedFleet& fleet, const Words& words) {
  auto complain = [&](const std::string& seen) {
    std::string text = "expected";
    for (const auto& word : words) text += " " + word;
    faults_.push_back(text + "; seen " + seen);
  };
  const auto& operations = fleet.callers().operations();
  auto counted = [&](const std::string& outcome, const std::string& kind) {
    return std::count_if(operations.begin(), operations.end(), [&](const auto& each) {
      return (kind == "all" || each.kind.get() == kind) && (each.outcome == outcome || (outcome == "any" && each.outcome != "no-session"));
    });
  };
  auto compare = [&](std::uint64_t seen, const std::string& sign, const std::string& bound) {
    auto limit = number(bound);
    bool held = sign == ">=" ? seen >= limit : sign == "<=" ? seen <= limit : seen == limit;
    if (!held) complain(std::to_string(seen));
  };
  if (words[0] == "serving" && words.size() == 6) {
    auto within = durationText(words[3]);
    auto after = durationText(words[5]);
    if (!within || !after) return complain("a line that is not understood");
    auto from = fleet.start() + *after;
    Instant first = Instant::max();
    for (const auto& each : operations)
      if (each.kind.get() == words[1] && each.outcome == "done" && each.startedAt >= from) first = std::min(first, each.endedAt);
    if (first == Instant::max() || first - from > *within)
      complain(first == Instant::max() ? "nothing served" : std::to_string(milliseconds(first - from).count()) + "ms");
  } else if (words[0] == "share" && words.size() == 5) {
    auto all = counted("any", words[2]);
    auto met = counted(words[1], words[2]) + (words[1] == "done" ? counted("rolled-back", words[2]) : 0);
    auto percent = all == 0 ? 0 : met * 100 / all;
    compare(static_cast<std::uint64_t>(percent), words[3], words[4]);
  } else if (words[0] == "plan" && words.size() == 4) {
    auto mark = number(words[1]);
    int status = 0;
    for (const auto& plan : fleet.plans().all())
      if (plan.mark == mark) status = plan.status;
    compare(static_cast<std::uint64_t>(status), words[2], words[3]);
  } else if (words[0] == "counter" && words.size() == 4) {
    auto counters = fleet.counters();
    compare(counters[words[1]], words[2], words[3]);
  } else if (words[0] == "windows" && words.size() == 3) {
    compare(windows_, words[1], words[2]);
  } else if (words[0] == "promotions" && words.size() == 3) {
    compare(fleet.platform().calls().size(), words[1], words[2]);
  } else if (words.size() == 4) {
    compare(static_cast<std::uint64_t>(counted(words[0], words[1])), words[2], words[3]);
  } else {
    complain("a line that is not understood");
  }
}

void Scenario::summarize(SimulatedFleet& fleet) {
  std::map<std::string, std::map<std::string, std::size_t>> outcomes;
  std::map<std::string, std::vector<std::int64_t>> taken;
  for (const auto& each : fleet.callers().operations()) {
    ++outcomes[each.kind.get()][each.outcome];
    if (each.outcome == "done") taken[each.kind.get()].push_back((each.endedAt - each.startedAt).count());
  }
  std::ostringstream text;
  for (const auto& [kind, own] : outcomes) {
    text << kind;
    for (const auto& [outcome, amount] : own) text << " " << outcome << "=" << amount;
    auto& times = taken[kind];
    std::sort(times.begin(), times.end());
    if (!times.empty())
      text << " p50=" << static_cast<double>(times[times.size() / 2]) / 1000
           << "ms p99=" << static_cast<double>(times[times.size() * 99 / 100]) / 1000 << "ms";
    text << "\n";
  }
  text << "windows=" << windows_ << " runs=" << runs_ << "\n";
  for (const auto& [name, value] : fleet.counters()) text << name << "=" << value << "\n";
  summary_ = text.str();
}

}  // namespace tamarindshift
