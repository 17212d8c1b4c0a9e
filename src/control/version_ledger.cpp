#include "control/version_ledger.hpp"

#include <algorithm>
#include <array>

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>

namespace tamarindshift {

namespace {

constexpr std::array<const char*, 4> verdictNames{"held", "overtaken", "conflict", "broken"};

}  // namespace

const char* text(PlanVerdict verdict) {
  return verdictNames.at(static_cast<std::size_t>(verdict));
}

PlanVerdict planVerdict(const std::string& text) {
  auto found = std::find(verdictNames.begin(), verdictNames.end(), text);
  if (found == verdictNames.end()) return PlanVerdict::broken;
  return static_cast<PlanVerdict>(found - verdictNames.begin());
}

ContentDigest contentDigest(const std::string& text) {
  boost::uuids::name_generator_sha1 generate(boost::uuids::ns::oid());
  auto digest = generate(text);
  return ContentDigest{std::string(digest.begin(), digest.end())};
}

std::optional<PlanVerdict> VersionLedger::known(const ContentDigest& digest) const {
  auto version = versions_.find(digest);
  return version == versions_.end() ? std::nullopt : judge(version->second, digest);
}

std::optional<PlanVerdict> VersionLedger::judge(PlanMark version, const ContentDigest& digest) const {
  auto found = entries_.find(version);
  if (found != entries_.end()) {
    if (found->second.digest != digest) return PlanVerdict::conflict;
    return found->second.taken ? PlanVerdict::held : PlanVerdict::overtaken;
  }
  if (version <= forgottenThrough_) return PlanVerdict::overtaken;
  return std::nullopt;
}

void VersionLedger::note(PlanMark version, ContentDigest digest, bool taken) {
  versions_[digest] = version;
  entries_.try_emplace(version, Entry{std::move(digest), taken});
  while (entries_.size() > most) {
    forgottenThrough_ = entries_.begin()->first;
    versions_.erase(entries_.begin()->second.digest);
    entries_.erase(entries_.begin());
  }
}

}  // namespace tamarindshift
