#include "tests/platform/platform_script.hpp"

#include <algorithm>
#include <sstream>

#include "base/duration_text.hpp"
#include "tests/platform/platform_events.hpp"

namespace tamarindshift::testing {

namespace {

std::map<std::string, std::string> pairs(const std::vector<std::string>& words) {
  std::map<std::string, std::string> read;
  for (std::size_t index = 1; index < words.size(); ++index) {
    auto equals = words[index].find('=');
    read[words[index].substr(0, equals)] = equals == std::string::npos ? "" : words[index].substr(equals + 1);
  }
  return read;
}

bool take(const std::string& text, std::size_t& into) {
  auto number = wholeWireNumber(text);
  if (number) into = static_cast<std::size_t>(*number);
  return number.has_value();
}

bool take(const std::string& text, unsigned& into) {
  auto number = wholeWireNumber(text);
  if (number) into = static_cast<unsigned>(*number);
  return number.has_value();
}

bool take(const std::string& text, Duration& into) {
  auto duration = durationText(text);
  if (duration) into = *duration;
  return duration.has_value();
}

bool take(const std::string& text, bool& into) {
  into = text == "1";
  return into || text == "0";
}

}  // namespace

bool PlatformScript::fail(const std::string& reason) {
  reason_ = reason;
  return false;
}

bool PlatformScript::read(std::istream& text) {
  std::size_t line = 0;
  for (std::string each; std::getline(text, each);) {
    ++line;
    std::istringstream stream(each.substr(0, each.find('#')));
    Words words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (!words.empty() && !readLine(words)) return fail("line " + std::to_string(line) + ": not understood: " + each);
  }
  return true;
}

bool PlatformScript::readLine(const Words& words) {
  if (words[0] == "shape") return readShape(words);
  if (words[0] == "kind") return readKind(words);
  if (words[0] == "until" && words.size() == 2) return take(words[1], until_);
  if (words[0] == "at" && words.size() > 2) {
    Event event;
    event.words.assign(words.begin() + 2, words.end());
    bool read = take(words[1], event.at);
    events_.push_back(std::move(event));
    return read;
  }
  if (words.size() == 2 && words[0] == "expect" && words[1] == "no-overload") return noOverload_ = true;
  bool ofKind = words.size() == 9 && words[7] == "of";
  if (words[0] != "expect" || (words.size() != 7 && !ofKind) || words[1] != "served") return false;
  Expectation expectation;
  expectation.share = std::stod(words[2]);
  bool read =
      take(words[4], expectation.from) && take(words[6], expectation.until) && (!ofKind || take(words[8], expectation.kind.emplace()));
  expectations_.push_back(expectation);
  return read;
}

bool PlatformScript::readShape(const Words& words) {
  for (const auto& [key, value] : pairs(words)) {
    bool read = key == "zones"       ? take(value, shape_.zones)
                : key == "access"    ? take(value, shape_.access)
                : key == "core"      ? take(value, shape_.core)
                : key == "services"  ? take(value, shape_.services)
                : key == "databases" ? take(value, shape_.databases)
                : key == "losses"    ? take(value, shape_.losses)
                : key == "sync"      ? take(value, shape_.syncReplicas)
                : key == "slots"     ? take(value, shape_.database.slots)
                : key == "queue"     ? take(value, shape_.database.queue)
                : key == "trunks"    ? take(value, shape_.database.trunkLimit)
                : key == "opens"     ? take(value, shape_.database.newConnection)
                : key == "read"      ? take(value, shape_.database.read)
                : key == "write"     ? take(value, shape_.database.write)
                : key == "commit"    ? take(value, shape_.database.commit)
                : key == "lag"       ? take(value, shape_.database.lag)
                : key == "disk"      ? take(value, shape_.diskSync)
                : key == "fence"     ? take(value, shape_.bounds.fenceChecked)
                : key == "forgets"   ? take(value, shape_.database.rollbackForgets)
                : key == "lead"      ? take(value, shape_.lead)
                                     : false;
    if (!read) return false;
  }
  return true;
}

bool PlatformScript::readKind(const Words& words) {
  ClientKind kind;
  for (const auto& [key, value] : pairs(words)) {
    bool read = key == "sessions"       ? take(value, kind.sessions)
                : key == "single"       ? take(value, kind.singleOperation)
                : key == "one-id"       ? take(value, kind.oneIdPerTry)
                : key == "pause"        ? take(value, kind.pause)
                : key == "deadline"     ? take(value, kind.deadline)
                : key == "tries"        ? take(value, kind.furtherTries)
                : key == "writes"       ? take(value, kind.writes)
                : key == "transactions" ? take(value, kind.transactions)
                : key == "names"        ? take(value, kind.names)
                : key == "leaves"       ? take(value, kind.leaves)
                : key == "step"         ? take(value, kind.stepPause)
                : key == "staleness"    ? take(value, kind.staleness)
                : key == "precedence"   ? take(value, kind.precedence)
                                        : key == "class";
    if (!read) return false;
    if (key != "class") continue;
    auto routeClass = parseRouteClass(value);
    if (!routeClass) return false;
    kind.routeClass = *routeClass;
  }
  shape_.kinds.push_back(kind);
  return true;
}

std::vector<std::string> PlatformScript::run(std::uint64_t seed, PlatformWorld::ProgramFactory factory) {
  std::vector<std::string> faults;
  PlatformWorld world(shape_, seed, std::move(factory));
  PlatformEvents events(world);
  std::stable_sort(events_.begin(), events_.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  for (const auto& event : events_) {
    world.runUntil(event.at);
    if (!events.happen(event.words)) faults.push_back("no such event: " + event.words.front());
  }
  world.runUntil(until_);
  faults.insert(faults.end(), events.faults().begin(), events.faults().end());
  for (const auto& broken : world.finish()) faults.push_back(broken.rule + ": " + broken.text);
  for (auto& violation : SimulatedJournal::takeViolations()) faults.push_back(std::move(violation));
  for (const auto& fault : world.history().clients.faults) faults.push_back("client: " + fault);
  for (const auto& expectation : expectations_) {
    auto served = world.served(expectation.from, expectation.until, expectation.kind);
    if (served < expectation.share)
      faults.push_back("served " + std::to_string(served) + " and not " + std::to_string(expectation.share) +
                       (expectation.kind ? " of kind " + std::to_string(*expectation.kind) : ""));
  }
  if (noOverload_ && world.history().services.overloads > 0)
    faults.push_back("databases refused " + std::to_string(world.history().services.overloads) + " connections beyond the limit");
  lines_ = world.lines();
  summary_ = std::to_string(world.history().clients.operations.size()) + " operations, " +
             std::to_string(world.history().services.runs.size()) + " runs at databases, served " +
             std::to_string(world.served(shape_.lead, until_));
  return faults;
}

}  // namespace tamarindshift::testing
