#include "tests/platform/platform_events.hpp"

#include <algorithm>

#include "base/duration_text.hpp"

namespace tamarindshift::testing {

namespace {

std::size_t number(const std::string& text) {
  return static_cast<std::size_t>(wholeWireNumber(text).value_or(0));
}

}  // namespace

PlatformEvents::PlatformEvents(PlatformWorld& world) : world_(world) {
  machines();
  databases();
  operators();
}

std::optional<Duration> PlatformEvents::lasts(const Words& words) {
  auto found = std::find(words.begin(), words.end(), "for");
  if (found == words.end() || std::next(found) == words.end()) return std::nullopt;
  return durationText(*std::next(found));
}

void PlatformEvents::later(Duration after, std::function<void()> undo) {
  world_.world().at(world_.world().now() + after, std::move(undo));
}

bool PlatformEvents::happen(const Words& words) {
  auto event = events_.find(words.front());
  return event != events_.end() && event->second(words);
}

void PlatformEvents::machines() {
  auto named = [this](void (PlatformWorld::*event)(const std::string&)) {
    return [this, event](const Words& words) {
      if (words.size() < 2 || !world_.machines().contains(words[1])) return false;
      (world_.*event)(words[1]);
      return true;
    };
  };
  events_["kill"] = named(&PlatformWorld::killProcess);
  events_["terminate"] = named(&PlatformWorld::terminate);
  events_["hang-up"] = named(&PlatformWorld::hangUp);
  events_["start"] = named(&PlatformWorld::startMachine);
  auto down = [this, named](void (PlatformWorld::*event)(const std::string&)) {
    return [this, first = named(event)](const Words& words) {
      if (!first(words)) return false;
      if (auto lasting = lasts(words))
        later(*lasting, [this, name = words[1]] {
          world_.startMachine(name);
        });
      return true;
    };
  };
  events_["power-off"] = down(&PlatformWorld::losePower);
  events_["lose-disk"] = down(&PlatformWorld::loseDisk);
  events_["freeze"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 2 || !lasting) return false;
    world_.freeze(words[1], true);
    later(*lasting, [this, name = words[1]] {
      world_.freeze(name, false);
    });
    return true;
  };
  events_["slow"] = [this](const Words& words) {
    auto lasting = lasts(words);
    auto delay = words.size() > 2 ? durationText(words[2]) : std::nullopt;
    if (!lasting || !delay) return false;
    world_.slow(words[1], *delay);
    later(*lasting, [this, name = words[1]] {
      world_.slow(name, Duration::zero());
    });
    return true;
  };
  events_["reset"] = [this](const Words& words) {
    if (words.size() < 3) return false;
    world_.resetConnections(words[1], static_cast<unsigned>(number(words[2])));
    return true;
  };
  events_["cut"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 3) return false;
    world_.cut(words[1], words[2]);
    if (lasting)
      later(*lasting, [this, left = words[1], right = words[2]] {
        world_.heal(left, right);
      });
    return true;
  };
  events_["replace-core"] = [this](const Words& words) {
    if (words.size() < 3 || !world_.process(words[1])) return false;
    auto after = words.size() > 4 && words[3] == "after" ? durationText(words[4]) : std::optional<Duration>{2s};
    if (!after || (words[2] != "planned" && words[2] != "lost")) return false;
    world_.replaceCore(words[1], words[2] == "planned", *after);
    return true;
  };
  events_["slow-disk"] = [this](const Words& words) {
    auto lasting = lasts(words);
    auto sync = words.size() > 2 ? durationText(words[2]) : std::nullopt;
    if (!lasting || !sync || !world_.machines().contains(words[1])) return false;
    world_.slowDisk(words[1], *sync);
    later(*lasting, [this, name = words[1]] {
      world_.slowDisk(name, Duration::zero());
    });
    return true;
  };
  events_["ready"] = [this](const Words& words) {
    if (words.size() < 2 || !world_.machines().contains(words[1])) return false;
    auto* running = world_.process(words[1]);
    auto reason = running ? running->program().notReady() : std::optional<std::string>{"not running"};
    if (reason) faults_.push_back(words[1] + " is not ready: " + *reason);
    return true;
  };
  events_["add-access"] = [this](const Words&) {
    world_.addAccess();
    return true;
  };
  events_["closing-fault"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 3 || !lasting) return false;
    world_.closingFault(words[1] == "power", number(words[2]), *lasting);
    return true;
  };
}

std::vector<StandinDatabaseHost*> PlatformEvents::databasesNamed(const Words& words) {
  if (words.size() < 3) return {};
  auto service = number(words[2]);
  if (service == 0 || service > world_.shape().services) return {};
  if (words[1] == "replicas") return world_.replicas(service);
  if (words[1] == "all") {
    std::vector<StandinDatabaseHost*> all;
    for (std::size_t index = 1; index <= world_.shape().databases; ++index) all.push_back(&world_.database(service, index));
    return all;
  }
  auto* one = world_.primary(service);
  if (words[1] == "replica") {
    auto found = world_.replicas(service);
    one = found.empty() ? nullptr : found.front();
  }
  return one ? std::vector<StandinDatabaseHost*>{one} : std::vector<StandinDatabaseHost*>{};
}

void PlatformEvents::crash(StandinDatabaseHost& database, std::optional<Duration> down) {
  database.crash();
  if (down)
    later(*down, [&database] {
      database.start();
    });
}

bool PlatformEvents::disturb(const Words& words, std::function<void(WireTroubles&)> trouble) {
  auto lasting = lasts(words);
  if (!lasting) return false;
  for (auto* database : databasesNamed(words)) {
    auto before = database->troubles;
    trouble(database->troubles);
    database->layTroubles();
    later(*lasting, [database, before] {
      database->troubles = before;
      database->layTroubles();
    });
  }
  return true;
}

void PlatformEvents::cutDatabase(const std::string& host, const Words& others, Duration lasting) {
  std::vector<std::string> hosts;
  for (const auto& other : others)
    for (const auto& [name, machine] : world_.machines())
      if (other == name || (other == "core" && machine.core) || (other == "access" && !machine.core)) hosts.push_back(name);
  for (const auto& other : others)
    if (other.starts_with("10.")) hosts.push_back(other);
  for (const auto& other : hosts) {
    world_.cut(host, other);
    later(lasting, [this, host, other] {
      world_.heal(host, other);
    });
  }
}

void PlatformEvents::afterAcknowledgement(std::size_t place, const Words& words) {
  const auto& sent = world_.history().operators.sent[place];
  if (sent.refusedAt) return;
  if (!sent.acknowledgedAt)
    return later(1ms, [this, place, words] {
      afterAcknowledgement(place, words);
    });
  auto resolved = words;
  for (auto& word : resolved)
    for (const auto& [name, machine] : world_.machines())
      if (word == "acknowledger" && machine.control() == sent.node) word = name;
  if (!happen(resolved)) faults_.push_back("no such event: " + words.front());
}

void PlatformEvents::releaseAll(std::size_t service, std::size_t index) {
  if (index > world_.shape().databases) return;
  world_.release(world_.database(service, index));
  later(world_.shape().bounds.drain + 3s, [this, service, index] {
    releaseAll(service, index + 1);
  });
}

void PlatformEvents::databases() {
  events_["crash"] = [this](const Words& words) {
    for (auto* database : databasesNamed(words)) crash(*database, lasts(words));
    return true;
  };
  events_["dark"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (!lasting) return false;
    for (auto* database : databasesNamed(words)) {
      world_.dark(*database, true);
      later(*lasting, [this, database] {
        world_.dark(*database, false);
      });
    }
    return true;
  };
  events_["cut-database"] = [this](const Words& words) {
    auto lasting = lasts(words);
    auto from = std::find(words.begin(), words.end(), "from");
    auto until = std::find(words.begin(), words.end(), "for");
    if (!lasting || from >= until) return false;
    Words others(std::next(from), until);
    for (auto* database : databasesNamed(words)) {
      if (std::find(others.begin(), others.end(), "replicas") != others.end())
        for (auto* replica : world_.replicas(number(words[2]))) others.push_back(replica->host());
      cutDatabase(database->host(), others, *lasting);
    }
    return true;
  };
  events_["release"] = [this](const Words& words) {
    if (words.size() > 2 && words[1] == "all") {
      releaseAll(number(words[2]), 1);
      return true;
    }
    for (auto* database : databasesNamed(words)) world_.release(*database);
    return true;
  };
  auto disturbs = [this](unsigned WireTroubles::*field) {
    return [this, field](const Words& words) {
      auto strength = static_cast<unsigned>(words.size() > 3 ? number(words[3]) : 0);
      return disturb(words, [field, strength](WireTroubles& troubles) {
        troubles.*field = strength;
      });
    };
  };
  events_["slow-database"] = disturbs(&WireTroubles::slowness);
  events_["lag"] = disturbs(&WireTroubles::lagFactor);
  events_["lose-answers"] = disturbs(&WireTroubles::loseAnswer);
  events_["fail"] = disturbs(&WireTroubles::fail);
  events_["receive-nothing"] = [this](const Words& words) {
    return disturb(words, [](WireTroubles& troubles) {
      troubles.receivesNothing = true;
    });
  };
}

// one route goes and one of another service, where there are two, comes in the same version
std::vector<PlatformRoute> PlatformEvents::swap(PlatformConfiguration& configuration) {
  auto& routes = configuration.routes;
  if (routes.size() < 2) return {};
  auto victim = routes.begin() + static_cast<std::ptrdiff_t>(world_.world().below(routes.size()));
  auto removed = *victim;
  routes.erase(victim);
  auto other = std::find_if(routes.begin(), routes.end(), [&](const auto& route) {
    return route.targetService != removed.targetService;
  });
  auto added = other == routes.end() ? removed : *other;
  auto mark = "-" + std::to_string(++swaps_);
  added.name += mark;
  added.hostName += mark;
  routes.push_back(added);
  return {removed, added};
}

void PlatformEvents::operators() {
  events_["press"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 2 || !lasting) return false;
    world_.clients().press(static_cast<unsigned>(number(words[1])));
    later(*lasting, [this] {
      world_.clients().press(1);
    });
    return true;
  };
  events_["shift"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 2 || !lasting) return false;
    world_.clients().move(words[1]);
    later(*lasting, [this] {
      world_.clients().stay();
    });
    return true;
  };
  events_["configure"] = [this](const Words& words) {
    auto& configuration = world_.configuration();
    auto how = words.size() > 1 ? words[1] : "idle";
    auto last = configuration.routes.empty() ? PlatformRoute{} : configuration.routes.back();
    if (how == "timeout")
      for (auto& route : configuration.routes) route.guard += std::chrono::milliseconds{100};
    if (how == "add") {
      last.name += "x";
      last.hostName += "x";
      configuration.routes.push_back(last);
    }
    if (how == "remove" && !configuration.routes.empty()) configuration.routes.pop_back();
    if (how == "move" && !configuration.routes.empty()) configuration.routes.back().targetService = world_.service(1).name();
    auto visited = how == "swap" ? swap(configuration) : std::vector<PlatformRoute>{};
    if (how == "add" || how == "remove") visited.push_back(last);
    world_.configure(words.size() > 2 ? 1 : 0);
    for (const auto& route : visited) world_.visit(route);
    return true;
  };
  events_["after-ack"] = [this](const Words& words) {
    if (words.size() < 2) return false;
    auto place = world_.history().operators.sent.size();
    world_.configure();
    afterAcknowledgement(place, Words(words.begin() + 1, words.end()));
    return true;
  };
  events_["bad-configuration"] = [this](const Words&) {
    auto invalid = world_.configuration();
    invalid.revision += 100;
    if (invalid.routes.empty()) return false;
    invalid.routes.front().guard = std::chrono::milliseconds{0};
    world_.operatorNumber(0).replace(invalid);
    auto unread = configurationJson(invalid);
    unread.resize(unread.size() / 2);
    world_.operatorNumber(1).replaceWith(std::move(unread), false);
    return true;
  };
  events_["send-older"] = [this](const Words&) {
    const auto& sent = world_.history().operators.sent;
    if (sent.empty()) return false;
    auto body = sent.front().body;
    world_.operatorNumber(1).replaceWith(std::move(body), sent.front().valid);
    return true;
  };
  events_["promotions"] = [this](const Words& words) {
    auto lasting = lasts(words);
    if (words.size() < 2 || !lasting) return false;
    if (words[1] == "down") world_.promotionApi().down(true);
    if (words[1] == "slow") world_.promotionApi().slow(2s);
    later(*lasting, [this] {
      world_.promotionApi().down(false);
      world_.promotionApi().slow(Duration::zero());
    });
    return true;
  };
}

}  // namespace tamarindshift::testing
