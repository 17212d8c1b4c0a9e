#include "simulated/day_generator.hpp"

namespace tamarindshift {

DayGenerator::DayGenerator(std::uint64_t seed, std::string deployment)
    : random_(seed),
      deployment_(std::move(deployment)),
      services_(deployment_ == "small" ? 1 : 3),
      machines_(deployment_ == "fes"       ? 9
                : deployment_ == "croatia" ? 7
                                           : 3) {}

void DayGenerator::at(const std::string& event) {
  text_ += "at " + std::to_string(now_) + "ms " + event + "\n";
}

void DayGenerator::wait(std::uint64_t least, std::uint64_t most) {
  now_ += least + below(most - least + 1);
}

std::string DayGenerator::database() {
  return std::to_string(1 + below(services_)) + "." + std::to_string(1 + below(3));
}

std::string DayGenerator::day() {
  text_ = "fleet deployment=" + deployment_ + "\n";
  at("plan mark=1");
  wait(7000, 9000);
  for (int count = 0; count < 7; ++count) {
    episode(false);
    wait(6000, 16000);
  }
  episode(true);
  wait(18000, 18000);
  text_ += "until " + std::to_string(now_) + "ms\nexpect windows >= 1\n";
  return text_;
}

void DayGenerator::episode(bool last) {
  auto one = database();
  auto host = machine();
  auto core = replica();
  auto pair = [&](const std::string& begins, const std::string& ends, std::uint64_t least, std::uint64_t most) {
    at(begins);
    wait(least, most);
    at(ends);
  };
  switch (below(last ? 9 : 18)) {
    case 0:
      return pair("kill database " + one, "start database " + one, 7000, 14000);
    case 1:
      return pair("leave database " + one, "return database " + one, 8000, 14000);
    case 2:
      at("kill replica " + core);
      wait(100, 4000);
      if (below(2) == 0) at("empty replica " + core);
      return at("start replica " + core);
    case 3:
      return pair("freeze replica " + core, "thaw replica " + core, 300, 8000);
    case 4: {
      auto other = core == "1" ? "2" : "1";
      at("cut replica-" + core + " replica-" + other);
      if (below(2) == 0) at(std::string("cut replica-") + core + " replica-" + (core == "3" ? "2" : "3"));
      wait(500, 8000);
      return at("heal");
    }
    case 5:
      return pair("kill machine " + host, "start machine " + host, 500, 9000);
    case 6:
      return pair("freeze machine " + host, "thaw machine " + host, 300, 9000);
    case 7:
      for (int each = 1; each <= 3; ++each) at("kill replica " + std::to_string(each));
      wait(500, 4000);
      if (below(2) == 0) at("empty replica " + core);
      for (int each = 1; each <= 3; ++each) at("start replica " + std::to_string(each));
      return;
    case 8:
      for (const std::string each : {"replica-1", "replica-2", "replica-3", "platform"}) at("cut database-" + one + " " + each);
      for (std::uint64_t each = 1; each <= machines_; ++each)
        if (below(4) > 0) at("cut database-" + one + " machine-" + std::to_string(each));
      wait(4000, 12000);
      return at("heal");
    case 9:
      return pair("stop machine " + host, "start machine " + host, 7500, 10000);
    case 10:
      return pair("stop replica " + core, "start replica " + core, 1000, 4000);
    case 11:
      return pair("pace " + std::to_string(200 + below(200)), "pace 100", 5000, 10000);
    case 12:
      return pair("slow database " + one + " work=" + std::to_string(100 + below(700)) + "ms", "slow database " + one + " work=2ms", 4000,
                  9000);
    case 13:
      return pair("faults database " + one + " request=15 reply=15 before=15", "faults database " + one, 4000, 9000);
    case 14:
      return pair("slow machine " + host, "fast machine " + host, 4000, 9000);
    case 15: {
      auto mark = std::to_string(mark_ += 2);
      at("plan mark=" + mark + " to=" + core + " first=" + std::to_string(40 + below(30)));
      at("plan mark=" + std::to_string(mark_ - 1) + " to=" + replica());
      wait(500, 2000);
      return at("plan mark=" + std::to_string(mark_ + 50) + " broken=key");
    }
    case 16:
      return at("move callers");
    default:
      at("replace database " + one);
      return at("plan mark=" + std::to_string(++mark_));
  }
}

}  // namespace tamarindshift
