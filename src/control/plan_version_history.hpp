#pragma once

// Keeps the relation of plan versions to plan contents, so that all members judge a plan alike.

#include <map>
#include <string>

#include "control/names.hpp"

namespace tamarindshift {

/// 128-bit digest of a plan text (a version 5 UUID, made with SHA-1).
using ContentDigest = Strong<struct ContentDigestTag, std::string>;

/// The digest of a plan text. Equal texts have equal digests on every member.
ContentDigest contentDigest(const std::string& text);

/// Result of applying an ordered plan to the control state.
enum class PlanVerdict : std::uint8_t {
  held = 0,       ///< the plan is in force, or was in force before
  overtaken = 1,  ///< a higher version was in force first; nothing changed
  conflict = 2,   ///< its version belongs to other content; nothing changed
  broken = 3,     ///< the plan is not valid; nothing changed
};

/// The name of a verdict, as the result of the action returns it to the member that ordered the plan.
const char* text(PlanVerdict verdict);

/// The verdict of that name; `broken` for any other text.
PlanVerdict planVerdictFromText(const std::string& text);

/// Records which content was ordered first under each version. Part of the replicated control state, so that all
/// members reach the same verdict and one version never stands for two contents.
///
/// It holds the `maxVersions` highest versions. Versions at or below the highest one that was dropped count as overtaken,
/// whatever their content, so that a plan that was applied once is never rejected because its entry was dropped.
class PlanVersionHistory {
 public:
  static constexpr std::size_t maxVersions = 4096;

  /// The verdict on a content that was recorded before; lets a plan that is sent again be answered without parsing it.
  std::optional<PlanVerdict> find(const ContentDigest& digest) const;

  /// The verdict on this version and content; nothing if the version has not been ordered yet.
  std::optional<PlanVerdict> verdict(PlanVersion version, const ContentDigest& digest) const;

  /// Records the first content of a version. `applied`: it came into force.
  void record(PlanVersion version, ContentDigest digest, bool applied);

  std::size_t size() const { return entries_.size(); }
  PlanVersion droppedThrough() const { return droppedThrough_; }

 private:
  struct Entry {
    ContentDigest digest;
    bool applied = false;
    MSGPACK_DEFINE(digest, applied)
  };
  std::map<PlanVersion, Entry> entries_;
  PlanVersion droppedThrough_;
  std::map<ContentDigest, PlanVersion> versions_;

 public:
  MSGPACK_DEFINE(entries_, droppedThrough_, versions_)
};

}  // namespace tamarindshift
