#include "tests/platform/soak/soak_run.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/duration_text.hpp"
#include "pooler/pooler.hpp"
#include "tests/platform/rule_checks.hpp"

namespace tamarindshift::testing {

SoakRun::SoakRun(Daemon& daemon, SoakSettings settings)
    : daemon_(daemon),
      settings_(std::move(settings)),
      chance_(settings_.seed),
      operatorWeb_(daemon.web, chance_),
      lines_(daemon.context, daemon.clock),
      fabric_(daemon.clock, chance_),
      mesh_(daemon.context, daemon.clock, settings_.prefix),
      promotionApi_(daemon.clock, history_.promotions, StandinPromotionSettings{}),
      entry_(daemon.clock, daemon.web),
      rudeClients_(daemon.clock, lines_, chance_) {}

void SoakRun::fault(const std::string& text) {
  if (faults_.size() < 40) faults_.push_back(text);
  say("fault: " + text);
}

void SoakRun::addMachine(bool core, std::size_t index) {
  auto machine = std::make_unique<SoakMachine>();
  machine->name = (core ? "core-" : "access-") + std::to_string(index + 1);
  machine->host = settings_.prefix + (core ? ".0." : ".1.") + std::to_string(index + 1);
  machine->zone = "zone-" + std::to_string(1 + index % zones);
  machine->core = core;
  machine->settingsFile = settings_.folder + "/" + machine->name + ".conf";
  machine->logFile = settings_.folder + "/" + machine->name + ".log";
  if (core) machine->dataFolder = settings_.folder + "/" + machine->name + ".data";
  if (!core) entry_.add(AccessPoint{machine->front(), machine->readiness(), machine->zone});
  machines_.push_back(std::move(machine));
}

void SoakRun::addService(std::size_t number) {
  auto name = "service-" + std::to_string(number);
  services_.push_back(std::make_unique<StandinWireService>(name, false, fabric_, history_.services));
  auto& service = *services_.back();
  promotionApi_.serves(service);
  configuration_.services.push_back(PlatformService{name, connectionsOfService(), 0});
  for (std::size_t index = 1; index <= databasesOfService; ++index) {
    StandinWireDatabaseSettings settings;
    settings.service = name;
    settings.id = "i-" + std::to_string(number) + std::to_string(index);
    settings.address = Address{settings_.prefix + ".2." + std::to_string(number * 10 + index) + ":8080"};
    settings.zone = "zone-" + std::to_string(index);
    settings.trunkLimit = connectionsOfService();
    if (index == 1) service.found(settings.id);
    databases_.push_back(std::make_unique<SoakDatabase>(
        daemon_.context, daemon_.clock, operatorWeb_, fabric_, service, std::move(settings),
        [this] {
          return controlNodes();
        },
        StandinHeartbeatsSettings{}));
  }
  addKinds(number);
}

void SoakRun::addKinds(std::size_t number) {
  for (auto routeClass : {RouteClass::primary, RouteClass::boundedStaleness, RouteClass::inHouse}) {
    ClientKind kind;
    auto index = kinds_.size();
    kind.hostName = "host-" + std::to_string(index);
    kind.zone = "zone-" + std::to_string(1 + index % zones);
    kind.routeClass = routeClass;
    kind.singleOperation = index % 2 == 1;
    if (routeClass != RouteClass::primary) kind.staleness = routeClass == RouteClass::inHouse ? 2500ms : 1500ms;
    if (routeClass == RouteClass::boundedStaleness) kind.writes = 0;
    PlatformRoute route;
    route.name = "r-" + kind.hostName;
    route.hostName = kind.hostName;
    route.routeClass = kind.routeClass;
    route.targetService = services_.at(number - 1)->name();
    route.staleness = milliseconds(kind.staleness);
    route.guard = milliseconds(kind.deadline / 2);
    configuration_.routes.push_back(route);
    kinds_.push_back(kind);
  }
}

void SoakRun::layWays() {
  std::string failed;
  Address platformApi{settings_.prefix + ".3.1:8783"};
  for (const auto& source : machines_) {
    std::vector<Address> targets;
    for (const auto& target : machines_)
      if (target != source && (source->core || target->core || settings_.access <= waysAmongAccess)) targets.push_back(target->internal());
    for (const auto& database : databases_) targets.push_back(database->settings().address);
    if (source->core) targets.push_back(platformApi);
    for (const auto& target : targets)
      source->detours += (source->detours.empty() ? "" : ",") + target.get() + "=" + mesh_.way(source->host, target, failed).get();
  }
  if (!failed.empty()) fault(failed);
  if (auto reason = daemon_.serve(platformApi, promotionApi_)) fault(*reason);
}

void SoakRun::layOut() {
  std::filesystem::remove_all(settings_.folder);
  std::filesystem::create_directories(settings_.folder);
  for (std::size_t index = 0; index < coreMachines; ++index) addMachine(true, index);
  for (std::size_t index = 0; index < settings_.access; ++index) addMachine(false, index);
  for (std::size_t number = 1; number <= services; ++number) addService(number);
  layWays();
  for (std::size_t index = 0; index < 2; ++index)
    operators_.push_back(std::make_unique<StandinOperator>(daemon_.clock, operatorWeb_, chance_, history_.operators, [this] {
      return controlNodes();
    }));
  clients_ = std::make_unique<StandinWireClients>(daemon_.clock, lines_, chance_, entry_, history_.clients);
  std::vector<FailurePage> pages;
  for (const auto& machine : machines_)
    if (!machine->core) pages.push_back(FailurePage{machine->name, machine->front(), machine->readiness()});
  failures_ = std::make_unique<FailureCollector>(daemon_.clock, daemon_.web, std::move(pages));
}

std::vector<Address> SoakRun::controlNodes() const {
  std::vector<Address> nodes;
  for (const auto& machine : machines_)
    if (machine->core) nodes.push_back(machine->control());
  return nodes;
}

void SoakRun::writeSettings(const SoakMachine& machine) {
  const auto& bounds = history_.bounds;
  std::ofstream file(machine.settingsFile);
  file << "address=" << machine.internal().get() << "\nzone=" << machine.zone << "\npeer-port=" << PlatformMachine::internalPort
       << "\nseeds=";
  for (std::size_t index = 0; index < coreMachines; ++index) file << (index > 0 ? "," : "") << machines_[index]->control().get();
  file << "\nplan-followed=" << milliseconds(bounds.configApply).count() << "\ndetach=" << milliseconds(bounds.drain).count()
       << "\nstop=" << std::chrono::duration_cast<std::chrono::seconds>(bounds.grace).count() << "\ndetours=" << machine.detours << "\n";
  if (machine.core)
    file << "node=" << machine.name << "\ncontrol=" << machine.control().get() << "\ndata=" << machine.dataFolder
         << "\nfirst-start=" << (machine.firstStart ? "true" : "false") << "\nlosses=1\nrations=true\nplatform=" << settings_.prefix
         << ".3.1:8783\ndatabase-heartbeat=1200\n";
  else
    file << "front=" << machine.front().get() << "\nreadiness=" << machine.readiness().get() << "\n";
}

void SoakRun::start(SoakMachine& machine) {
  writeSettings(machine);
  if (!machine.process)
    machine.process = std::make_unique<ChildProcess>(settings_.binaries + (machine.core ? "/platform-core" : "/platform-access"),
                                                     std::vector<std::string>{"--settings", machine.settingsFile}, machine.logFile);
  if (!machine.process->start()) fault("cannot start " + machine.name);
  machine.wanted = true;
  machine.firstStart = false;
  history_.troubles.starts.push_back(ProcessStart{machine.host, daemon_.clock.now()});
}

Task<void> SoakRun::watch() {
  while (!over_) {
    for (auto& machine : machines_) {
      if (!machine->wanted || machine->process->running()) continue;
      fault(machine->name + " ended by itself");
      start(*machine);
    }
    co_await sleep(daemon_.clock, 50ms);
  }
}

Task<bool> SoakRun::waitReady() {
  auto deadline = daemon_.clock.now() + readyPatience;
  while (daemon_.clock.now() < deadline) {
    bool configured = !history_.operators.sent.empty() && history_.operators.sent.front().acknowledgedAt;
    if (configured && entry_.readyFronts().size() == settings_.access) co_return true;
    co_await sleep(daemon_.clock, 100ms);
  }
  co_return false;
}

void SoakRun::configure(std::size_t operatorIndex) {
  configuration_.revision += 1 + chance_.below(4);
  auto& route = configuration_.routes.at(chance_.below(configuration_.routes.size()));
  route.guard = std::chrono::milliseconds{900 + chance_.below(200)};
  operators_.at(operatorIndex)->replace(configuration_);
}

SoakDatabase* SoakRun::primary(std::size_t service) {
  for (auto& database : databases_)
    if (database->leads() && database->settings().service == services_.at(service % services_.size())->name()) return database.get();
  return nullptr;
}

double SoakRun::served(Instant from, Instant until) const {
  double all = 0;
  double served = 0;
  for (const auto& operation : history_.clients.operations) {
    if (!operation.ended || operation.left || operation.beganAt < from || operation.beganAt >= until) continue;
    all += 1;
    served += operation.served ? 1 : 0;
  }
  return all > 0 ? served / all : 0;
}

Task<void> SoakRun::run() {
  layOut();
  for (auto& database : databases_)
    if (auto reason = database->start()) fault(*reason);
  for (auto& machine : machines_) start(*machine);
  scope_.spawn(watch());
  co_await sleep(daemon_.clock, 1s);
  configure(0);
  if (!co_await waitReady()) fault("not all access machines were ready in time");
  for (const auto& kind : kinds_) clients_->start(kind);
  failures_->start();
  co_await sleep(daemon_.clock, 3s);
  troublesFrom_ = daemon_.clock.now();
  for (const auto& trouble : drawTroubles(settings_.seed, 0s, settings_.lasting, settings_.density)) {
    auto at = troublesFrom_ + trouble.at;
    if (at > daemon_.clock.now()) co_await sleep(daemon_.clock, at - daemon_.clock.now());
    say("trouble " + text(trouble));
    befall(trouble);
  }
  co_await sleep(daemon_.clock, recovery + 4s);
  calmFrom_ = daemon_.clock.now();
  co_await sleep(daemon_.clock, calm);
  co_await judge();
  ended_ = true;
}

Task<void> SoakRun::judge() {
  auto calmUntil = daemon_.clock.now() - 2s;
  clients_->stop();
  auto patience = daemon_.clock.now() + 6s;
  while (clients_->running() > 0 && daemon_.clock.now() < patience) co_await sleep(daemon_.clock, 50ms);
  operators_.front()->retrieve(history_.bounds.contact + 2s);
  co_await sleep(daemon_.clock, history_.bounds.contact + 3s);
  co_await readMetrics();
  co_await failures_->finish();
  over_ = true;
  for (auto& machine : machines_) {
    machine->wanted = false;
    machine->process->signal(SIGTERM);
  }
  co_await sleep(daemon_.clock, history_.bounds.grace + 1s);
  for (auto& machine : machines_)
    if (machine->process->running()) fault(machine->name + " did not end after SIGTERM");
  for (const auto& broken : checkRules(history_)) fault(broken.rule + ": " + broken.text);
  for (const auto& each : history_.clients.faults) fault("client: " + each);
  readLogs();
  explainFailures();
  auto calmServed = served(calmFrom_, calmUntil);
  if (calmServed < settings_.leastServed) fault("served " + std::to_string(calmServed) + " in the calm time at the end");
  std::ostringstream text;
  text << history_.clients.operations.size() << " operations, " << history_.services.runs.size() << " runs at databases, served "
       << served(troublesFrom_, calmFrom_) << " in trouble and " << calmServed << " after it" << summary_;
  summary_ = text.str();
}

Task<void> SoakRun::readMetrics() {
  double checked = 0;
  for (auto& machine : machines_) {
    auto address = machine->core ? machine->control() : machine->readiness();
    auto page = co_await daemon_.web.call(address, "GET", "/metrics", {}, daemon_.clock.now() + 2s);
    if (!page || page->status != 200) {
      fault(machine->name + " shows no metrics");
      continue;
    }
    std::istringstream lines(page->body);
    for (std::string line; std::getline(lines, line);) {
      auto value = std::atof(line.substr(line.rfind(' ') + 1).c_str());
      if (line.starts_with("tamarindshift_invariant_checks_total")) checked += value;
      if (line.starts_with("tamarindshift_invariant_violations_total") && value > 0) fault(machine->name + ": " + line);
    }
  }
  if (checked == 0) fault("no invariant was checked");
  summary_ = ", " + std::to_string(static_cast<std::uint64_t>(checked)) + " checks of invariants in the last lives";
}

void SoakRun::explainFailures() {
  auto explanations = failures_->explain(history_);
  for (const auto& missing : explanations.missing) fault("no machine tells why this statement failed: " + missing);
  if (!explanations.example.empty()) say("one failure explained: " + explanations.example);
  summary_ +=
      ", " + std::to_string(explanations.explained) + " of " + std::to_string(explanations.refused) + " refusals told by their machines";
}

void SoakRun::readLogs() {
  for (const auto& machine : machines_) {
    std::ifstream file(machine->logFile);
    for (std::string line; std::getline(file, line);)
      for (const char* sign : {invariantViolated.data(), "ERROR: AddressSanitizer", "runtime error:", "terminate called",
                               "failed and will be retried", requestThrew.data(), sessionExceptionPrefix.data()})
        if (line.find(sign) != std::string::npos) fault(machine->name + ": " + line);
  }
}

}  // namespace tamarindshift::testing
