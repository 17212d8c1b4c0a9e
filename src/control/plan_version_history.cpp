#include "control/plan_version_history.hpp"

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

PlanVerdict planVerdictFromText(const std::string& text) {
  auto found = std::find(verdictNames.begin(), verdictNames.end(), text);
  if (found == verdictNames.end()) return PlanVerdict::broken;
  return static_cast<PlanVerdict>(found - verdictNames.begin());
}

ContentDigest contentDigest(const std::string& text) {
  boost::uuids::name_generator_sha1 generate(boost::uuids::ns::oid());
  auto digest = generate(text);
  return ContentDigest{std::string(digest.begin(), digest.end())};
}

std::optional<PlanVerdict> PlanVersionHistory::find(const ContentDigest& digest) const {
  auto version = versions_.find(digest);
  return version == versions_.end() ? std::nullopt : verdict(version->second, digest);
}

std::optional<PlanVerdict> PlanVersionHistory::verdict(PlanVersion version, const ContentDigest& digest) const {
  auto found = entries_.find(version);
  if (found != entries_.end()) {
    if (found->second.digest != digest) return PlanVerdict::conflict;
    return found->second.applied ? PlanVerdict::held : PlanVerdict::overtaken;
  }
  if (version <= droppedThrough_) return PlanVerdict::overtaken;
  return std::nullopt;
}

void PlanVersionHistory::record(PlanVersion version, ContentDigest digest, bool applied) {
  versions_[digest] = version;
  entries_.try_emplace(version, Entry{std::move(digest), applied});
  while (entries_.size() > maxVersions) {
    droppedThrough_ = entries_.begin()->first;
    versions_.erase(entries_.begin()->second.digest);
    entries_.erase(entries_.begin());
  }
}

}  // namespace tamarindshift
