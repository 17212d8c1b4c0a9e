#include "tests/platform/platform_day_generator.hpp"

namespace tamarindshift::testing {

void PlatformDayGenerator::at(const std::string& event) {
  text_ += "at " + std::to_string(now_) + "ms " + event + "\n";
}

std::string PlatformDayGenerator::databases() {
  static const char* const which[] = {"primary ", "primary ", "replica ", "replicas "};
  return which[below(4)] + service();
}

void PlatformDayGenerator::shape() {
  zones_ = 1 + below(4);
  accessNodes_ = 2 + below(7);
  services_ = 1 + below(3);
  bool large = below(4) == 0;
  lastCore_ = large ? 5 : 3;
  for (std::size_t index = 1; index <= lastCore_; ++index) cores_.push_back("core-" + std::to_string(index));
  text_ = "shape zones=" + std::to_string(zones_) + " core=" + std::to_string(lastCore_) + " losses=" + (large ? "2" : "1") +
          " services=" + std::to_string(services_) + " databases=" + number(2, 4) + " access=" + std::to_string(accessNodes_) +
          " sync=" + number(0, 1) + " lag=" + number(5, 60) + "ms disk=" + number(1, 5) + "ms fence=" + number(0, 1) +
          " trunks=" + number(30, 120) + " slots=" + number(4, 12) + "\n";
  text_ += "kind class=primary sessions=" + number(2, 6) + " one-id=" + number(0, 1) + "\n";
  text_ += "kind class=bounded_staleness staleness=" + number(200, 1500) +
           "ms sessions=3 writes=0 transactions=100 single=" + number(0, 1) + "\n";
  text_ += "kind class=in_house staleness=" + number(300, 2500) + "ms sessions=3\n";
}

std::string PlatformDayGenerator::day() {
  shape();
  auto episodes = 3 + below(3);
  for (std::uint64_t count = 0; count < episodes; ++count) {
    episode();
    now_ += 1000 + below(7000);
  }
  if (below(2) == 0) {
    now_ = std::max(now_, coreWholeAt_) + 5000;
    at("after-ack closing-fault " + std::string(below(2) == 0 ? "power " : "kill ") + number(0, 1) + lasting(500, 3000));
    now_ += 12000;
  }
  now_ += 14000;
  return text_ + "until " + std::to_string(now_) + "ms\n";
}

void PlatformDayGenerator::episode() {
  switch (below(5)) {
    case 0:
      return ofCore();
    case 1:
      return ofAccess();
    case 2:
      return ofDatabases();
    case 3:
      return ofOperators();
    default:
      return ofNetwork();
  }
}

void PlatformDayGenerator::replaceCore() {
  auto index = below(cores_.size());
  auto after = 1000 + below(2500);
  at("replace-core " + cores_[index] + (below(2) == 0 ? " planned" : " lost") + " after " + std::to_string(after) + "ms");
  cores_.erase(cores_.begin() + static_cast<std::ptrdiff_t>(index));
  now_ += after;
  cores_.push_back("core-" + std::to_string(++lastCore_));
  coreWholeAt_ = now_ + 8000;
}

void PlatformDayGenerator::ofCore() {
  now_ = std::max(now_, coreWholeAt_);
  coreWholeAt_ = now_ + 9000;
  auto one = core();
  switch (below(8)) {
    case 0:
      return at("kill " + one);
    case 1:
      return at("terminate " + one);
    case 2:
      return at("power-off " + one + lasting(500, 4000));
    case 3:
      return at("lose-disk " + one + lasting(500, 4000));
    case 4:
      return at("after-ack " + std::string(below(2) == 0 ? "power-off" : "lose-disk") + " acknowledger" + lasting(500, 3000));
    case 5:
      return at("freeze " + one + lasting(300, 5000));
    case 6:
      return at("slow-disk " + one + " " + number(50, 300) + "ms" + lasting(1000, 4000));
    default:
      return replaceCore();
  }
}

void PlatformDayGenerator::ofAccess() {
  auto one = access();
  switch (below(8)) {
    case 0:
      return at("kill " + one);
    case 1:
      return at("power-off " + one + lasting(500, 4000));
    case 2:
      return at("freeze " + one + lasting(300, 6000));
    case 3:
      return at("slow " + one + " " + number(5, 30) + "ms" + lasting(1000, 5000));
    case 4:
      return at("hang-up " + one);
    case 5:
      return at("add-access");
    default:
      for (std::uint64_t each = 1; each <= accessNodes_; ++each) {
        at("terminate access-" + std::to_string(each));
        now_ += 1000 + below(7000);
      }
  }
}

void PlatformDayGenerator::ofDatabases() {
  auto which = databases();
  switch (below(9)) {
    case 0:
    case 1:
      return at("crash " + which + lasting(1000, 8000));
    case 2:
      return at("dark " + which + lasting(500, 8000));
    case 3:
      return at("release " + std::string(below(2) == 0 ? "primary " : "replica ") + service());
    case 4:
      return at("lag " + which + " " + number(5, 100) + lasting(1000, 8000));
    case 5:
      return at("receive-nothing " + which + lasting(1000, 8000));
    case 6:
      return at("lose-answers " + which + " " + number(20, 300) + lasting(1000, 5000));
    case 7:
      return at("fail " + which + " " + number(20, 300) + lasting(1000, 5000));
    default:
      return at("slow-database " + which + " " + number(2, 10) + lasting(1000, 5000));
  }
}

void PlatformDayGenerator::ofOperators() {
  static const char* const changes[] = {"add", "remove", "timeout", "idle", "move", "swap", "swap"};
  switch (below(6)) {
    case 0:
      return at("bad-configuration");
    case 1:
      return at("send-older");
    case 2:
      return at("press " + number(2, 6) + lasting(1000, 6000));
    case 3:
      return at("shift zone-" + number(1, zones_) + lasting(1000, 6000));
    default:
      for (std::uint64_t count = 1 + below(4); count > 0; --count) {
        at(std::string("configure ") + changes[below(7)] + (below(2) == 0 ? " second" : ""));
        now_ += below(4) * below(1000);
      }
  }
}

void PlatformDayGenerator::ofNetwork() {
  auto duration = lasting(500, 7000);
  switch (below(6)) {
    case 0: {
      now_ = std::max(now_, coreWholeAt_);
      coreWholeAt_ = now_ + 12000;
      auto one = core();
      for (const auto& other : cores_)
        if (other != one) at("cut " + one + " " + other + duration);
      return;
    }
    case 1: {
      auto one = access();
      for (const auto& each : cores_) at("cut " + one + " " + each + duration);
      return;
    }
    case 2:
      return at("cut-database primary " + service() + " from core replicas" + duration);
    case 3:
      return at("cut-database primary " + service() + " from core" + duration);
    case 4:
      return at("cut-database " + databases() + " from " + access() + duration);
    default:
      return at("promotions " + std::string(below(2) == 0 ? "down" : "slow") + duration);
  }
}

std::string PlatformDayGenerator::rejoinDay() {
  shape();
  text_ = "shape forgets=" + number(0, 1) + " trunks=" + number(24, 60) + "\n" + text_;
  for (std::uint64_t episodes = 3 + below(4); episodes > 0; --episodes) {
    if (below(3) != 0) change();
    now_ += below(3) * below(700);
    for (std::uint64_t troubles = 1 + below(3); troubles > 0; --troubles) {
      accessTrouble();
      now_ += below(3) * below(900);
    }
    if (below(3) == 0) change();
    if (below(4) == 0) at("press " + number(2, 5) + lasting(1000, 5000));
    now_ += 2000 + below(9000);
  }
  now_ += 14000;
  return text_ + "until " + std::to_string(now_) + "ms\n";
}

// of a primary, planned or not, or of what may be done with it
void PlatformDayGenerator::change() {
  auto one = service();
  switch (below(7)) {
    case 0:
    case 1:
      return at("crash primary " + one + lasting(1000, 8000));
    case 2:
      return at("release primary " + one);
    case 3:
      return at("dark primary " + one + lasting(1500, 8000));
    case 4:
      return at("cut-database primary " + one + " from core replicas" + lasting(2000, 8000));
    case 5:
      return at("slow-database primary " + one + " " + number(3, 10) + lasting(1000, 4000));
    default:
      return at("lose-answers primary " + one + " " + number(50, 300) + lasting(1000, 4000));
  }
}

void PlatformDayGenerator::accessTrouble() {
  auto one = access();
  switch (below(11)) {
    case 0:
      return at("kill " + one);
    case 1:
      return at("power-off " + one + lasting(300, 6000));
    case 2:
    case 3:
      return at("freeze " + one + lasting(300, 9000));
    case 4:
      return at("terminate " + one);
    case 5:
      return at("slow " + one + " " + number(5, 40) + "ms" + lasting(1000, 5000));
    case 6:
      return at("reset " + one + " " + number(200, 1000));
    case 7:
      return at("cut-database " + std::string(below(2) == 0 ? "all " : "primary ") + service() + " from " + one + lasting(500, 7000));
    default: {
      auto duration = lasting(500, 20000);
      for (const auto& each : cores_) at("cut " + one + " " + each + duration);
    }
  }
}

}  // namespace tamarindshift::testing
