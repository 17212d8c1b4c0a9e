#include "tests/platform/platform_world.hpp"

#include <algorithm>
#include <sstream>

#include "tests/platform/rule_checks.hpp"

namespace tamarindshift::testing {

namespace {

const Address platformApi{"10.200.0.1:8783"};

std::string zoneName(std::size_t index) {
  return "zone-" + std::to_string(index + 1);
}

}  // namespace

PlatformWorld::PlatformWorld(PlatformShape shape, std::uint64_t seed, ProgramFactory factory)
    : shape_(std::move(shape)),
      factory_(std::move(factory)),
      world_(seed),
      start_(world_.now()),
      promotionApi_(clock_, history_.promotions, StandinPromotionSettings{shape_.dutyRate, 300ms, shape_.bounds.fenceChecked}) {
  history_.bounds = shape_.bounds;
  for (const auto* host : {"10.200.0.1", "10.7.0.1", "10.9.0.1"}) reach_.add(host);
  web_.attach(platformApi, promotionApi_, clock_);
  for (std::size_t index = 0; index < shape_.core; ++index) addMachine("core-" + std::to_string(index + 1), true, index);
  for (std::size_t index = 0; index < shape_.access; ++index) addMachine("access-" + std::to_string(index + 1), false, index);
  for (const auto& [name, machine] : machines_) startMachine(name);
  clients_ = std::make_unique<StandinWireClients>(clock_, clientLines_, world_, entry_, history_.clients);
  for (std::size_t index = 0; index < 2; ++index)
    operators_.push_back(std::make_unique<StandinOperator>(clock_, operatorWeb_, world_, history_.operators, [this] {
      return controlNodes();
    }));
  for (std::size_t number = 1; number <= shape_.services; ++number) addService(number);
  world_.at(start_ + 1s, [this] {
    configure();
  });
}

PlatformWorld::~PlatformWorld() {
  clients_.reset();
  clientLines_.kill();
  operators_.clear();
  databases_.clear();
  for (auto& [name, process] : processes_) process->end(false);
  processes_.clear();
  web_.detach(platformApi);
}

std::function<void(const std::string&)> PlatformWorld::sink() {
  return [this](const std::string& text) {
    lines_.push_back(std::to_string(milliseconds(world_.now() - start_).count()) + "ms " + text);
  };
}

void PlatformWorld::addMachine(const std::string& name, bool core, std::size_t index) {
  auto& machine = machines_[name];
  machine.name = name;
  machine.host = (core ? "10.0.0." : "10.1.0.") + std::to_string(index + 1);
  machine.zone = zoneName(index % shape_.zones);
  machine.core = core;
  reach_.add(machine.host);
  if (!core) entry_.add(AccessPoint{machine.front(), machine.readiness(), machine.zone});
}

void PlatformWorld::addAccess() {
  auto index = static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [](const auto& each) {
    return !each.second.core;
  }));
  auto name = "access-" + std::to_string(index + 1);
  addMachine(name, false, index);
  startMachine(name);
}

void PlatformWorld::removeMachine(const std::string& name) {
  auto& machine = machines_.at(name);
  losePower(name);
  machine.gone = true;
  machine.listedUntil = world_.now() + shape_.bounds.seedLag;
  endTrouble("down " + name);
  coreEvent(name);
}

void PlatformWorld::replaceCore(const std::string& name, bool planned, Duration after) {
  if (planned)
    stopProcess(name, [this, name] {
      removeMachine(name);
    });
  else
    removeMachine(name);
  world_.at(world_.now() + after, [this, zone = machines_.at(name).zone] {
    auto index = static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [](const auto& each) {
      return each.second.core;
    }));
    auto added = "core-" + std::to_string(index + 1);
    addMachine(added, true, index);
    auto& machine = machines_.at(added);
    machine.zone = zone;
    machine.firstStart = false;
    machine.listedFrom = world_.now() + shape_.bounds.seedLag;
    startMachine(added);
  });
}

void PlatformWorld::addService(std::size_t number) {
  auto name = "service-" + std::to_string(number);
  services_.push_back(std::make_unique<StandinWireService>(name, shape_.syncReplicas, fabric_, history_.services));
  promotionApi_.serves(*services_.back());
  configuration_.services.push_back(
      PlatformService{name, static_cast<unsigned>(shape_.database.trunkLimit), shape_.syncReplicas ? 1u : 0u});
  for (std::size_t index = 1; index <= shape_.databases; ++index) {
    auto settings = shape_.database;
    settings.service = name;
    settings.id = freshDatabase();
    settings.address = Address{"10.2." + std::to_string(number) + "." + std::to_string(index) + ":8080"};
    settings.zone = zoneName((index - 1) % shape_.zones);
    reach_.add(SimulatedNetwork::host(settings.address));
    if (index == 1) services_.back()->found(settings.id);
    StandinHeartbeatsSettings heartbeats;
    heartbeats.drain = shape_.bounds.drain;
    databases_[{number, index}] = std::make_unique<StandinDatabaseHost>(
        world_, lineNetwork_, web_, *services_.back(), std::move(settings),
        [this] {
          return controlNodes();
        },
        heartbeats);
  }
  addKinds(number);
}

void PlatformWorld::addKinds(std::size_t service) {
  std::size_t index = 0;
  for (auto kind : shape_.kinds) {
    kind.hostName = "host-" + std::to_string(service) + "-" + std::to_string(index);
    kind.zone = zoneName((service + index++) % shape_.zones);
    PlatformRoute route;
    route.name = "r-" + kind.hostName;
    route.hostName = kind.hostName;
    route.routeClass = kind.routeClass;
    route.targetService = services_.at(service - 1)->name();
    route.staleness = milliseconds(kind.staleness);
    route.precedence = kind.precedence;
    route.guard = milliseconds(kind.deadline / 2);
    configuration_.routes.push_back(route);
    world_.at(start_ + shape_.lead, [this, kind] {
      clients_->start(kind);
    });
  }
}

std::string PlatformWorld::freshDatabase() {
  std::ostringstream id;
  id << "i-" << std::hex << world_.below(std::uint64_t{1} << 32);
  return id.str();
}

std::vector<Address> PlatformWorld::controlNodes() const {
  std::vector<Address> nodes;
  for (const auto& [name, machine] : machines_)
    if (machine.core && machine.listedFrom <= world_.now() && world_.now() < machine.listedUntil) nodes.push_back(machine.control());
  return nodes;
}

std::vector<Address> PlatformWorld::seeds() const {
  auto nodes = controlNodes();
  if (nodes.size() > 3) nodes.erase(nodes.begin(), nodes.end() - 3);
  return nodes;
}

PlatformMachine& PlatformWorld::machine(const std::string& name) {
  return machines_.at(name);
}

PlatformProcess* PlatformWorld::process(const std::string& name) {
  auto found = processes_.find(name);
  return found == processes_.end() ? nullptr : found->second.get();
}

// whether some running core machine reaches more than half of the core, itself among them
bool PlatformWorld::coreSettled() const {
  std::vector<const PlatformMachine*> running;
  std::size_t all = 0;
  for (const auto& [name, machine] : machines_) {
    if (!machine.core || machine.gone) continue;
    ++all;
    if (processes_.contains(name) && !machine.frozen) running.push_back(&machine);
  }
  return std::any_of(running.begin(), running.end(), [&](const auto* one) {
    auto reached = std::count_if(running.begin(), running.end(), [&](const auto* other) {
      return network_.connected(one->control(), other->control()) && network_.connected(other->control(), one->control());
    });
    return 2 * static_cast<std::size_t>(reached) > all;
  });
}

// the core is troubled at the moment of each event, and for as long as it does not stand
void PlatformWorld::coreEvent(const std::string& name) {
  if (!machines_.at(name).core) return;
  history_.troubles.troubles.push_back(Trouble{{}, world_.now(), world_.now()});
  if (coreSettled())
    endTrouble("core");
  else
    beginTrouble("core", {});
}

void PlatformWorld::beginTrouble(const std::string& key, const std::string& host) {
  if (troubles_.contains(key)) return;
  troubles_[key] = history_.troubles.troubles.size();
  history_.troubles.troubles.push_back(Trouble{host, world_.now(), Instant::max()});
}

void PlatformWorld::endTrouble(const std::string& key) {
  auto found = troubles_.find(key);
  if (found == troubles_.end()) return;
  history_.troubles.troubles[found->second].until = world_.now();
  troubles_.erase(found);
}

void PlatformWorld::startMachine(const std::string& name) {
  if (process(name) || machines_.at(name).gone) return;
  auto& machine = machines_.at(name);
  machine.powered = true;
  reach_.dark(machine.host, false);
  lineNetwork_.powerOn(machine.host);
  endTrouble("down " + name);
  history_.troubles.starts.push_back(ProcessStart{machine.host, world_.now()});
  auto process = std::make_unique<PlatformProcess>(world_, network_, lineNetwork_, web_, machine, shape_, sink());
  process->seeds = seeds();
  process->platformApi = platformApi;
  process->endedItself = [this, name, life = ++machine.lives] {
    ended(name, life);
  };
  auto& started = *process;
  processes_[name] = std::move(process);
  started.run(factory_(started));
  machine.firstStart = false;
  coreEvent(name);
}

void PlatformWorld::endProcess(const std::string& name, bool silent) {
  auto found = processes_.find(name);
  if (found == processes_.end()) return;
  found->second->end(silent);
  processes_.erase(found);
  if (silent) return;
  // the files stay as the process left them
  auto& disk = machines_.at(name).disk;
  auto unsynced = std::exchange(disk.unsynced, {});
  disk.synced.insert(disk.synced.end(), unsynced.begin(), unsynced.end());
}

void PlatformWorld::restartLater(const std::string& name) {
  world_.at(world_.now() + shape_.restart, [this, name] {
    if (machines_.at(name).powered) startMachine(name);
  });
}

void PlatformWorld::ended(const std::string& name, std::size_t life) {
  if (!process(name) || machines_.at(name).lives != life) return;
  endProcess(name, false);
  restartLater(name);
}

void PlatformWorld::killProcess(const std::string& name) {
  if (!process(name)) return;
  beginTrouble("down " + name, machines_.at(name).host);
  endProcess(name, false);
  coreEvent(name);
  restartLater(name);
}

void PlatformWorld::losePower(const std::string& name) {
  auto& machine = machines_.at(name);
  beginTrouble("down " + name, machines_.at(name).host);
  machine.powered = false;
  reach_.dark(machine.host, true);
  lineNetwork_.powerOff(machine.host);
  endProcess(name, true);
  coreEvent(name);
  machine.disk.crash();
}

void PlatformWorld::loseDisk(const std::string& name) {
  losePower(name);
  machines_.at(name).disk.empty();
}

void PlatformWorld::stopProcess(const std::string& name, std::function<void()> then) {
  auto* running = process(name);
  if (!running) return;
  auto& machine = machines_.at(name);
  history_.troubles.stops.push_back(PlannedStop{machine.host, world_.now()});
  coreEvent(name);
  auto end = [this, name, life = machine.lives, then = std::move(then)] {
    if (process(name) && machines_.at(name).lives == life) then();
  };
  running->terminate(end);
  world_.at(world_.now() + shape_.bounds.grace, end);
}

void PlatformWorld::terminate(const std::string& name) {
  stopProcess(name, [this, name] {
    endProcess(name, false);
    coreEvent(name);
    restartLater(name);
  });
}

void PlatformWorld::freeze(const std::string& name, bool frozen) {
  if (frozen)
    beginTrouble("frozen " + name, machines_.at(name).host);
  else
    endTrouble("frozen " + name);
  machines_.at(name).frozen = frozen;
  coreEvent(name);
  auto* running = process(name);
  if (running && frozen) running->clock().freeze();
  if (running && !frozen) running->clock().thaw();
}

// a slowed core machine troubles all
void PlatformWorld::slowed(const std::string& key, const std::string& name, bool slowed) {
  if (!slowed) {
    endTrouble(key);
    return endTrouble("core " + key);
  }
  beginTrouble(key, machines_.at(name).host);
  if (machines_.at(name).core) beginTrouble("core " + key, {});
}

void PlatformWorld::slowDisk(const std::string& name, Duration sync) {
  slowed("slow disk " + name, name, sync > Duration::zero());
  if (auto* running = process(name)) running->program().diskSlowed(sync > Duration::zero() ? sync : shape_.diskSync);
}

void PlatformWorld::slow(const std::string& name, Duration delay) {
  slowed("slow " + name, name, delay > Duration::zero());
  if (auto* running = process(name)) running->clock().slowBy(delay);
}

void PlatformWorld::hangUp(const std::string& name) {
  auto* running = process(name);
  if (!running) return;
  running->seeds = seeds();
  running->program().settingsChanged();
}

void PlatformWorld::resetConnections(const std::string& name, unsigned perThousand) {
  history_.troubles.troubles.push_back(Trouble{machines_.at(name).host, world_.now(), world_.now()});
  coreEvent(name);
  lineNetwork_.resetConnections(machines_.at(name).host, perThousand);
}

std::string PlatformWorld::hostOf(const std::string& name) {
  auto found = machines_.find(name);
  if (found != machines_.end()) return found->second.host;
  for (const auto& [place, database] : databases_)
    if (database->settings().id == name) return database->host();
  return name;
}

void PlatformWorld::cut(const std::string& left, const std::string& right) {
  for (const auto& name : {left, right})
    if (machines_.contains(name)) beginTrouble("cut " + left + " " + right + " " + name, machines_.at(name).host);
  reach_.cut(hostOf(left), hostOf(right));
  reach_.cut(hostOf(right), hostOf(left));
  if (machines_.contains(left) && machines_.contains(right) && machines_.at(left).core) coreEvent(right);
}

void PlatformWorld::heal(const std::string& left, const std::string& right) {
  for (const auto& name : {left, right}) endTrouble("cut " + left + " " + right + " " + name);
  reach_.heal(hostOf(left), hostOf(right));
  reach_.heal(hostOf(right), hostOf(left));
  if (machines_.contains(left) && machines_.contains(right) && machines_.at(left).core) coreEvent(right);
}

StandinDatabaseHost* PlatformWorld::primary(std::size_t service) {
  for (auto& [place, host] : databases_)
    if (place.first == service && host->running() && host->database()->leads() &&
        host->settings().id == services_.at(service - 1)->leader())
      return host.get();
  return nullptr;
}

std::vector<StandinDatabaseHost*> PlatformWorld::replicas(std::size_t service) {
  std::vector<StandinDatabaseHost*> found;
  for (auto& [place, host] : databases_)
    if (place.first == service && host->running() && !host->database()->leads()) found.push_back(host.get());
  return found;
}

void PlatformWorld::dark(StandinDatabaseHost& database, bool dark) {
  reach_.dark(database.host(), dark);
}

void PlatformWorld::release(StandinDatabaseHost& database) {
  database.release(freshDatabase());
}

void PlatformWorld::configure(std::size_t operatorIndex) {
  configuration_.revision += 1 + world_.below(4);
  operators_.at(operatorIndex)->replace(configuration_);
}

void PlatformWorld::visit(const PlatformRoute& route) {
  ClientKind kind;
  kind.hostName = route.hostName;
  kind.routeClass = route.routeClass;
  kind.staleness = route.staleness;
  kind.singleOperation = world_.below(2) == 0;
  kind.furtherTries = 0;
  kind.names = 0;
  kind.transactions = 0;
  clients_->visit(kind, shape_.bounds.configApply + shape_.bounds.contact);
}

void PlatformWorld::closingFault(bool losesPower, std::size_t disksLost, Duration down) {
  history_.closingFault = world_.now();
  for (auto& [name, machine] : machines_) {
    if (machine.gone) continue;
    if (losesPower) {
      losePower(name);
    } else {
      beginTrouble("down " + name, machine.host);
      endProcess(name, false);
      coreEvent(name);
    }
    if (machine.core && disksLost > 0) {
      --disksLost;
      machine.disk.empty();
    }
  }
  world_.at(world_.now() + down, [this] {
    for (const auto& [name, machine] : machines_) startMachine(name);
    history_.backAt = world_.now();
  });
}

std::vector<BrokenRule> PlatformWorld::finish() {
  clients_->stop();
  run(10s);
  operators_.front()->retrieve(shape_.bounds.contact + 2s);
  run(shape_.bounds.contact + 5s);
  return checkRules(history_);
}

double PlatformWorld::served(Duration from, Duration until, std::optional<std::size_t> kind) const {
  double served = 0, ended = 0;
  auto ending = kind ? "-" + std::to_string(*kind) : std::string{};
  for (const auto& operation : history_.clients.operations) {
    if (!operation.hostName.ends_with(ending)) continue;
    if (!operation.ended || operation.left || operation.visits || operation.beganAt < start_ + from || operation.beganAt >= start_ + until)
      continue;
    ended += 1;
    served += operation.served ? 1 : 0;
  }
  return ended > 0 ? served / ended : 0;
}

}  // namespace tamarindshift::testing
