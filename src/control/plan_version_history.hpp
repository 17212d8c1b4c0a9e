#pragma once

#include <map>
#include <string>

#include "control/names.hpp"

namespace tamarindshift {

/// 128 bits that identify the content of a configuration (a version 5 UUID, made with SHA-1).
using ContentDigest = Strong<struct ContentDigestTag, std::string>;

/// The digest of a configuration text. Equal texts have equal digests on every member.
ContentDigest contentDigest(const std::string& text);

/// What the control state answers to a configuration that the log ordered.
enum class PlanVerdict : std::uint8_t {
  held = 0,       ///< it is in force, or it was in force before
  overtaken = 1,  ///< a higher version was in force first; it alters nothing
  conflict = 2,   ///< its version belongs to other content; it alters nothing
  broken = 3,     ///< it cannot be read; it alters nothing
};

/// The name of a verdict, as the log carries it to whoever ordered the configuration.
const char* text(PlanVerdict verdict);

/// The verdict of that name; `broken` for any other text.
PlanVerdict planVerdictFromText(const std::string& text);

/// Which content was ordered first under which version. It is part of the replicated control state, so all
/// members judge alike, and one version never stands for two contents.
///
/// It holds the `maxVersions` highest versions. Versions at or below the highest one that was dropped count as overtaken,
/// whatever their content, so that an order that was once applied is never refused for lack of memory.
class PlanVersionHistory {
 public:
  static constexpr std::size_t maxVersions = 4096;

  /// What is known of a content whatever its version, so that an order that is sent again need not be read again.
  std::optional<PlanVerdict> find(const ContentDigest& digest) const;

  /// What is known of this version and content; nothing if the version has not been ordered yet.
  std::optional<PlanVerdict> verdict(PlanVersion version, const ContentDigest& digest) const;

  /// Notes the first content of a version. `applied`: it came into force.
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
