#include "tests/platform/configuration_checks.hpp"

#include <algorithm>

#include "simulated/simulated_network.hpp"

namespace tamarindshift::testing {

namespace {

bool leads(const PlatformConfiguration& configuration, const std::string& hostName, const std::string& service) {
  const auto* route = configuration.route(hostName);
  return route && route->targetService == service;
}

Instant asksAt(const AskedStatement& asked) {
  if (!asked.attempt->transaction) return asked.statement->sentAt;
  for (const auto& statement : asked.attempt->statements)
    if (statement.text.starts_with("BEGIN")) return statement.sentAt;
  return asked.statement->sentAt;
}

}  // namespace

void ConfigurationChecks::check() {
  routes();
  invalid();
  auto all = handled();
  for (const auto& each : all) inTime(each);
  neverBack(std::move(all));
  readBack();
}

std::vector<ConfigurationChecks::Handled> ConfigurationChecks::handled() const {
  std::vector<Handled> all;
  for (const auto& run : history_.services.runs) {
    auto asked = index_.askedBy(run);
    if (!asked || !run.ran) continue;
    all.push_back(Handled{asked->attempt->node, asksAt(*asked), run.arrivedAt,
                          "'" + run.id + " " + run.text + "' for " + asked->attempt->hostName + " at " + run.service,
                          [hostName = asked->attempt->hostName, service = run.service](const auto& configuration) {
                            return leads(configuration, hostName, service);
                          }});
  }
  for (const auto& attempt : history_.clients.tries)
    for (const auto& statement : attempt.statements)
      if (statement.reply.end == WireEnd::error && statement.reply.code == "NODATABASE")
        all.push_back(Handled{attempt.node, statement.sentAt, statement.reply.at, "NODATABASE for " + attempt.hostName,
                              [hostName = attempt.hostName](const auto& configuration) {
                                return configuration.route(hostName) == nullptr;
                              }});
  return all;
}

void ConfigurationChecks::routes() {
  for (const auto& run : history_.services.runs) {
    auto asked = index_.askedBy(run);
    if (!asked || !run.ran) continue;
    bool sent = std::any_of(history_.operators.sent.begin(), history_.operators.sent.end(), [&](const auto& each) {
      return each.configuration && each.sentAt <= run.endedAt && leads(*each.configuration, asked->attempt->hostName, run.service);
    });
    if (!sent) broke("ROUTE", run.service + " ran '" + run.id + " " + run.text + "' for " + asked->attempt->hostName);
  }
}

void ConfigurationChecks::invalid() {
  for (const auto& each : history_.operators.sent)
    if (!each.valid && each.acknowledgedAt) broke("CONFIG", "an invalid configuration was acknowledged");
}

std::uint64_t ConfigurationChecks::acknowledgedBy(Instant at) const {
  std::uint64_t revision = 0;
  for (const auto& each : history_.operators.sent)
    if (each.valid && each.configuration && each.acknowledgedAt && *each.acknowledgedAt <= at)
      revision = std::max(revision, each.configuration->revision);
  return revision;
}

std::vector<std::uint64_t> ConfigurationChecks::revisionsAllowing(const Handled& handled) const {
  std::vector<std::uint64_t> revisions;
  for (const auto& each : history_.operators.sent)
    if (each.valid && each.configuration && each.sentAt <= handled.seenAt && handled.allows(*each.configuration))
      revisions.push_back(each.configuration->revision);
  return revisions;
}

void ConfigurationChecks::inTime(const Handled& handled) {
  auto allowing = revisionsAllowing(handled);
  bool anySent = std::any_of(history_.operators.sent.begin(), history_.operators.sent.end(), [&](const auto& each) {
    return !each.valid && each.configuration && handled.allows(*each.configuration);
  });
  auto acknowledged = acknowledgedBy(handled.sentAt - history_.bounds.configApply);
  if (allowing.empty()) {
    if (anySent)
      broke("CONFIG", handled.text + " is allowed by an invalid configuration only");
    else if (acknowledged > 0 && history_.troubles.inTouch(
                                     handled.node, handled.sentAt - history_.bounds.configApply - history_.bounds.contact, handled.seenAt))
      broke("CONFIG", handled.text + " is allowed by no configuration sent");
    return;
  }
  if (*std::max_element(allowing.begin(), allowing.end()) >= acknowledged) return;
  if (!history_.troubles.inTouch(handled.node, handled.sentAt - history_.bounds.configApply - history_.bounds.contact, handled.sentAt))
    return;
  broke("CONFIG", handled.text + " is allowed by versions older than " + std::to_string(acknowledged) + " only");
}

bool ConfigurationChecks::restartedBetween(const Address& node, Instant from, Instant until) const {
  return std::any_of(history_.troubles.starts.begin(), history_.troubles.starts.end(), [&](const auto& start) {
    return start.host == SimulatedNetwork::host(node) && start.at >= from && start.at <= until;
  });
}

void ConfigurationChecks::neverBack(std::vector<Handled> all) {
  struct Proof {
    std::uint64_t revision = 0;
    Instant at{};
  };
  std::map<Address, std::vector<Proof>> proofs;
  for (const auto& each : all) {
    auto allowing = revisionsAllowing(each);
    if (allowing.empty()) continue;
    auto lowest = *std::min_element(allowing.begin(), allowing.end());
    auto& known = proofs[each.node];
    bool news = std::none_of(known.begin(), known.end(), [&](const auto& proof) {
      return proof.revision >= lowest && proof.at <= each.seenAt;
    });
    if (news) known.push_back(Proof{lowest, each.seenAt});
  }
  for (const auto& each : all) {
    auto allowing = revisionsAllowing(each);
    if (allowing.empty()) continue;
    auto highest = *std::max_element(allowing.begin(), allowing.end());
    for (const auto& proof : proofs[each.node]) {
      if (proof.revision <= highest || each.sentAt <= proof.at + history_.bounds.revertSlack) continue;
      if (restartedBetween(each.node, proof.at, each.sentAt)) continue;
      bool slowed = !history_.troubles.calm(each.node, proof.at, each.sentAt);
      if (slowed && each.sentAt <= proof.at + 8 * history_.bounds.revertSlack) continue;
      broke("CONFIG", each.node.get() + " went back from version " + std::to_string(proof.revision) + ": " + each.text);
      break;
    }
  }
}

void ConfigurationChecks::readBack() {
  if (history_.operators.reads.empty()) return;
  const auto& last = history_.operators.reads.back();
  auto acknowledged = acknowledgedBy(last.at);
  std::string rule = history_.closingFault && acknowledgedBy(*history_.closingFault) > 0 ? "LOST" : "CONFIG";
  if (!last.body) {
    if (acknowledged > 0) broke("CONFIG", "no configuration came back at the end of the day");
    return;
  }
  auto read = parseConfiguration(*last.body);
  if (!read) return broke("CONFIG", "the configuration read back can't be read");
  if (read->revision < acknowledged)
    broke(rule, "version " + std::to_string(read->revision) + " came back although " + std::to_string(acknowledged) + " was acknowledged");
  bool sent = std::any_of(history_.operators.sent.begin(), history_.operators.sent.end(), [&](const auto& each) {
    return each.valid && each.configuration == read;
  });
  if (!sent) broke("CONFIG", "version " + std::to_string(read->revision) + " came back otherwise than it was sent");
}

}  // namespace tamarindshift::testing
