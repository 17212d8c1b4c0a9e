#include "simulated/simulated_fleet.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

const Address platformAddress{"10.3.0.1:1"};

Address at(const std::string& host, int port) {
  return Address{host + ":" + std::to_string(port)};
}

}  // namespace

SimulatedFleet::SimulatedFleet(FleetShape shape, std::uint64_t seed)
    : shape_(std::move(shape)),
      world_(seed),
      network_(world_),
      web_(network_),
      start_(world_.now()),
      clock_(world_),
      journal_("outside", sink()),
      outside_(web_, clock_, Address{"10.4.0.1:1"}) {
  platform_ = std::make_unique<StandinPlatform>(clock_, outside_, journal_);
  web_.attach(platformAddress, *platform_, clock_);
  for (std::size_t index = 0; index < shape_.replicas; ++index) {
    replicas_.push_back(std::make_unique<Replica>());
    replicas_.back()->host = "10.0.0." + std::to_string(index + 1);
    startReplica(index);
  }
  for (std::size_t service = 1; service <= shape_.services; ++service)
    for (std::size_t number = 1; number <= shape_.databases; ++number)
      addDatabase(service, number, "10.2." + std::to_string(service) + "." + std::to_string(number), number == 1);
  for (std::size_t index = 0; index < shape_.machines; ++index) addMachine();
  StandinCallersSettings callers;
  for (const auto& machine : machines_) callers.proxies.push_back(at(machine->host, 3));
  callers.zones = shape_.zones;
  callers.kinds = shape_.callers;
  callers.seed = seed;
  callers_ = std::make_unique<StandinCallers>(clock_, outside_, journal_, callers);
  scope_.spawn(probe());
}

SimulatedFleet::~SimulatedFleet() {
  callers_.reset();
  for (std::size_t index = 0; index < machines_.size(); ++index) killMachine(index);
  for (auto& database : databases_) crashDatabase(*database);
  for (std::size_t index = 0; index < replicas_.size(); ++index) killReplica(index);
  web_.detach(platformAddress);
}

std::function<void(const std::string&)> SimulatedFleet::sink() {
  return [this](const std::string& text) {
    lines_.push_back(std::to_string(milliseconds(world_.now() - start_).count()) + "ms " + text);
  };
}

Address SimulatedFleet::seed(std::size_t index) const {
  return at("10.0.0." + std::to_string(index + 1), 1);
}

void SimulatedFleet::startReplica(std::size_t index, std::size_t diskLatencyFactor) {
  auto& own = *replicas_[index];
  if (own.node) return;
  own.clock = std::make_unique<SimulatedClock>(world_);
  own.journal = std::make_unique<SimulatedJournal>("replica " + std::to_string(index + 1), sink());
  own.link = std::make_unique<SimulatedLink>(network_, *own.clock, at(own.host, 1));
  own.store = std::make_unique<SimulatedStore>(*own.clock, own.disk, shape_.diskSync * diskLatencyFactor);
  own.web = std::make_unique<SimulatedWebLink>(web_, *own.clock, at(own.host, 1));
  ReplicaSettings settings;
  settings.address = at(own.host, 1);
  settings.zone = Zone{"z" + std::to_string(index % shape_.zones + 1)};
  settings.seeds = {seed(0), seed(1), seed(2)};
  settings.timings = shape_.timings;
  own.databases = std::make_unique<JsonDatabaseControl>(*own.web, platformAddress);
  own.node = std::make_unique<ReplicaNode>(*own.clock, *own.link, *own.store, *own.databases, *own.journal, settings, world_.incarnation());
  if (auto fault = own.node->start()) {
    slips_.push_back("replica " + std::to_string(index + 1) + " did not start: " + *fault);
    return;
  }
  own.door = std::make_unique<OperatorApi>(*own.node, *own.clock);
  web_.attach(at(own.host, 2), *own.door, *own.clock);
}

void SimulatedFleet::killReplica(std::size_t index) {
  auto& own = *replicas_[index];
  if (!own.node) return;
  web_.detach(at(own.host, 2));
  for (const auto& [name, value] : own.journal->counters()) ended_["replica." + name] += value;
  own.door.reset();
  own.node.reset();
  own.databases.reset();
  own.web.reset();
  own.store.reset();
  own.link.reset();
  own.clock.reset();
  own.disk.crash();
}

void SimulatedFleet::addMachine() {
  auto index = machines_.size();
  machines_.push_back(std::make_unique<Machine>());
  machines_.back()->host = "10.1.0." + std::to_string(index + 1);
  machines_.back()->zone = Zone{"z" + std::to_string(index % shape_.zones + 1)};
  startMachine(index);
  if (callers_) callers_->add(at(machines_.back()->host, 3));
}

void SimulatedFleet::startMachine(std::size_t index) {
  auto& own = *machines_[index];
  if (own.proxy) return;
  killMachine(index);
  own.lastMark = PlanVersion{};
  own.clock = std::make_unique<SimulatedClock>(world_);
  own.journal = std::make_unique<SimulatedJournal>("machine " + std::to_string(index + 1), sink());
  own.agentLink = std::make_unique<SimulatedLink>(network_, *own.clock, at(own.host, 1));
  own.proxyLink = std::make_unique<SimulatedLink>(network_, *own.clock, at(own.host, 2));
  own.web = std::make_unique<SimulatedWebLink>(web_, *own.clock, at(own.host, 1));
  AgentSettings agent{at(own.host, 1), own.zone, {seed(0), seed(1), seed(2)}, true, shape_.timings};
  own.agent = std::make_unique<AgentNode>(*own.clock, *own.agentLink, *own.journal, agent,
                                          static_cast<std::uint64_t>(world_.now().time_since_epoch().count()));
  ProxySettings proxy;
  proxy.agent = proxy.node = at(own.host, 1);
  proxy.timings = shape_.timings;
  own.proxy = std::make_unique<ProxyNode>(*own.clock, *own.proxyLink, *own.web, *own.journal, proxy, entropy());
  own.door = std::make_unique<SessionDoor>(*own.proxy);
  web_.attach(at(own.host, 3), *own.door, *own.clock);
  web_.attach(at(own.host, 4), *own.agent, *own.clock);
}

void SimulatedFleet::killProxy(Machine& machine) {
  web_.detach(at(machine.host, 3));
  machine.door.reset();
  machine.proxy.reset();
  machine.proxyLink.reset();
}

void SimulatedFleet::killMachine(std::size_t index) {
  auto& own = *machines_[index];
  if (!own.clock) return;
  killProxy(own);
  web_.detach(at(own.host, 4));
  for (const auto& [name, value] : own.journal->counters()) ended_["machine." + name] += value;
  own.agent.reset();
  own.web.reset();
  own.proxyLink.reset();
  own.agentLink.reset();
  own.clock.reset();
}

void SimulatedFleet::stopMachine(std::size_t index) {
  if (!machines_[index]->proxy) return;
  machines_[index]->proxy->drain();
  machines_[index]->agent->drain();
  scope_.spawn(stopWhenDone(index));
}

Task<void> SimulatedFleet::stopWhenDone(std::size_t index) {
  auto& own = *machines_[index];
  auto since = world_.now();
  while (own.proxy && !own.proxy->stopped()) {
    if (own.agent->stopped()) {
      web_.detach(at(own.host, 4));
      own.agent.reset();
      own.agentLink.reset();
    }
    co_await sleep(clock_, 20ms);
  }
  if (!own.proxy) co_return;
  own.unansweredAtStop += own.proxy->requests().inFlight();
  co_await sleep(clock_, 10ms);
  killProxy(own);
  while (own.agent && !own.agent->stopped()) co_await sleep(clock_, 20ms);
  if (world_.now() - since > 7s) slip(own.host + " took " + std::to_string(milliseconds(world_.now() - since).count()) + "ms to stop");
  killMachine(index);
}

void SimulatedFleet::stopReplica(std::size_t index) {
  if (!replicas_[index]->node) return;
  replicas_[index]->node->drain();
  scope_.spawn(stopReplicaWhenDone(index));
}

Task<void> SimulatedFleet::stopReplicaWhenDone(std::size_t index) {
  auto& own = *replicas_[index];
  while (own.node && !own.node->stopped()) co_await sleep(clock_, 20ms);
  killReplica(index);
}

void SimulatedFleet::addDatabase(std::size_t service, std::size_t number, const std::string& host, bool primary) {
  databases_.push_back(std::make_unique<Database>());
  auto& own = *databases_.back();
  own.service = service;
  own.number = number;
  own.host = host;
  own.settings.service = ServiceName{"s" + std::to_string(service)};
  own.settings.name = DatabaseName{"d" + std::to_string(number)};
  own.settings.address = at(own.host, 1);
  own.settings.platform = platformAddress;
  own.settings.cap = shape_.cap;
  own.settings.work = shape_.work;
  own.settings.primary = primary;
  own.settings.tellsAddress = shape_.discovered;
  for (std::size_t index = 0; index < std::min(shape_.machines, shape_.beatTargets); ++index)
    own.settings.heartbeatsTo.push_back(at("10.1.0." + std::to_string((index + number + service) % shape_.machines + 1), 4));
  own.settings.heartbeatsTo.push_back(at("10.0.0.1", 2));
  if (shape_.opens > Duration::zero()) web_.opens(own.settings.address, shape_.opens);
  if (primary) platform_->setPrimary(own.settings.service, own.settings.address);
  startDatabase(own);
}

SimulatedFleet::Database& SimulatedFleet::database(std::size_t service, std::size_t number) {
  auto found = std::find_if(databases_.rbegin(), databases_.rend(), [&](const auto& each) {
    return each->service == service && each->number == number;
  });
  return **found;
}

bool SimulatedFleet::current(const Database& database) {
  return &this->database(database.service, database.number) == &database;
}

void SimulatedFleet::replaceDatabase(std::size_t service, std::size_t number) {
  auto host = database(service, number).host + std::to_string(number);
  addDatabase(service, number, host, false);
}

void SimulatedFleet::startDatabase(Database& database) {
  if (database.node) return;
  database.clock = std::make_unique<SimulatedClock>(world_);
  database.journal =
      std::make_unique<SimulatedJournal>("database " + database.settings.service.get() + "/" + database.settings.name.get(), sink());
  database.web = std::make_unique<SimulatedWebLink>(web_, *database.clock, database.settings.address);
  database.node =
      std::make_unique<StandinDatabase>(*database.clock, *database.web, *database.journal, database.settings, world_.incarnation());
  database.node->restore(database.disk);
  web_.attach(database.settings.address, *database.node, *database.clock);
}

void SimulatedFleet::keepHistory(Database& database) {
  if (!database.node) return;
  const auto& history = database.node->history();
  database.history.insert(database.history.end(), history.begin(), history.end());
  const auto& openings = database.node->openings();
  database.openings.insert(database.openings.end(), openings.begin(), openings.end());
  if (auto over = database.journal->counters().find("connections.over_cap"); over != database.journal->counters().end())
    database.overCap += over->second;
}

void SimulatedFleet::crashDatabase(Database& database) {
  if (!database.node) return;
  keepHistory(database);
  database.disk = database.node->disk();
  web_.detach(database.settings.address);
  database.node.reset();
  database.web.reset();
  database.clock.reset();
  database.settings.primary = false;
}

void SimulatedFleet::leaveDatabase(Database& database) {
  database.leaves.push_back({world_.now(), Instant::max()});
  scope_.spawn(detach(database));
}

Task<void> SimulatedFleet::detach(Database& database) {
  if (database.node) co_await database.node->detach();
}

void SimulatedFleet::returnDatabase(Database& database) {
  if (!database.leaves.empty()) database.leaves.back().back = world_.now();
  if (database.node)
    database.node->comeBack();
  else
    startDatabase(database);
}

void SimulatedFleet::sendPlan(std::size_t replica, std::uint64_t mark, std::string text, bool sound) {
  scope_.spawn(ask(replica, plans_.asked(mark, sound, std::move(text), world_.now())));
}

Task<void> SimulatedFleet::ask(std::size_t replica, std::size_t index) {
  auto text = plans_.all()[index].text;
  auto mark = plans_.all()[index].mark;
  auto outcome = co_await outside_.call(at(replicas_[replica]->host, 2), "PUT", "/plan", text, clock_.now() + 8s);
  plans_.ended(index, outcome ? outcome->status : 0, world_.now());
  lines_.push_back(std::to_string(milliseconds(world_.now() - start_).count()) + "ms operator: plan " + std::to_string(mark) + " -> " +
                   std::to_string(plans_.all()[index].status) + (outcome && outcome->status != 200 ? " " + outcome->body : ""));
}

std::string SimulatedFleet::planText(const StandinPlanChoice& choice) {
  std::vector<StandinDatabaseSettings> databases;
  for (const auto& database : databases_)
    if (current(*database)) databases.push_back(database->settings);
  return standinPlan(shape_, databases, choice);
}

void SimulatedFleet::slip(std::string text) {
  if (slips_.size() < 200) slips_.push_back(std::move(text));
}

Task<void> SimulatedFleet::probe() {
  for (;;) {
    co_await sleep(clock_, 50ms);
    for (const auto& database : databases_)
      web_.keepAlive(database->settings.address, shape_.timings.deadConnections - 500ms, [this](const Address& from) {
        for (const auto& machine : machines_)
          if (SimulatedNetwork::host(from) == machine->host) return machine->clock && !machine->clock->frozen();
        return true;
      });
    probeMachines();
    probeCaps();
    probeAbility();
    if (primaryComponents() > 1) slip("two primary components with the proof of their members");
  }
}

void SimulatedFleet::probeMachines() {
  auto required = plans_.required(world_.now());
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    auto& own = *machines_[index];
    if (!own.proxy || own.clock->frozen()) continue;
    const auto& directory = own.proxy->directory();
    auto mark = directory.planMark();
    bool works = false;
    for (const auto& [name, view] : directory.services()) works = works || directory.leased(name);
    auto who = "machine " + std::to_string(index + 1) + " at " + std::to_string(milliseconds(world_.now() - start_).count()) + "ms";
    if (works && mark.get() < required)
      slip(who + " works under plan " + std::to_string(mark.get()) + ", " + std::to_string(required) + " is older than 3 s");
    if (mark < own.lastMark) slip(who + " slipped back to plan " + std::to_string(mark.get()));
    own.lastMark = mark;
  }
}

void SimulatedFleet::probeCaps() {
  for (const auto& database : databases_) {
    if (!database->node || database->clock->frozen()) continue;
    auto open = database->node->connections();
    auto cap = plans_.cap(database->settings.service, world_.now());
    if (open > cap)
      slip(database->settings.service.get() + "/" + database->settings.name.get() + " has " + std::to_string(open) + " connections at " +
           std::to_string(milliseconds(world_.now() - start_).count()) + "ms, the plans in force allow " + std::to_string(cap));
  }
}

bool SimulatedFleet::linked(const std::string& left, const std::string& right) const {
  return network_.connected(Address{left + ":"}, Address{right + ":"}) && network_.connected(Address{right + ":"}, Address{left + ":"});
}

bool SimulatedFleet::able(std::size_t service) {
  std::vector<std::string> core;
  for (const auto& replica : replicas_) {
    if (!replica->node || replica->clock->frozen()) continue;
    std::size_t reached = 0;
    for (const auto& other : replicas_) reached += other->node && !other->clock->frozen() && linked(replica->host, other->host);
    if (2 * reached > replicas_.size()) core.push_back(replica->host);
  }
  if (2 * core.size() <= replicas_.size()) return false;
  auto reaches = [&](const std::string& host) {
    return std::all_of(core.begin(), core.end(), [&](const auto& each) {
      return linked(host, each);
    });
  };
  for (const auto& database : databases_) {
    if (database->service != service || !current(*database) || !database->node || database->clock->frozen()) continue;
    if (!reaches(database->host) || !linked(database->host, "10.3.0.1")) continue;
    for (const auto& machine : machines_)
      if (machine->proxy && !machine->clock->frozen() && !machine->proxy->draining() && reaches(machine->host) &&
          linked(machine->host, database->host))
        return true;
  }
  return false;
}

void SimulatedFleet::probeAbility() {
  for (std::size_t service = 1; service <= shape_.services; ++service)
    availability_.sample(ServiceName{"s" + std::to_string(service)}, able(service), world_.now());
}

std::size_t SimulatedFleet::primaryComponents() const {
  std::set<ViewId> views;
  for (const auto& replica : replicas_)
    if (replica->node && !replica->clock->frozen()) {
      auto proved = replica->node->engine().primaryConfirmedAt();
      if (proved && world_.now() - *proved < 100ms + shape_.timings.group.heartbeatInterval)
        views.insert(replica->node->engine().conf().confId);
    }
  return views.size();
}

std::map<std::string, std::uint64_t> SimulatedFleet::counters() const {
  auto sums = ended_;
  sums["network.messages"] = network_.passed();
  for (const auto& replica : replicas_)
    if (replica->node)
      for (const auto& [name, value] : replica->journal->counters()) sums["replica." + name] += value;
  for (const auto& machine : machines_)
    if (machine->proxy)
      for (const auto& [name, value] : machine->journal->counters()) sums["machine." + name] += value;
  for (const auto& [name, value] : journal_.counters()) sums["outside." + name] += value;
  return sums;
}

}  // namespace tamarindshift
