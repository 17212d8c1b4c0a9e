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
PlanVerdict planVerdict(const std::string& text);

/// Which content was ordered first under which version. It is part of the replicated control state, so all
/// members judge alike, and one version never stands for two contents.
///
/// It holds the `most` highest versions. Versions at or below the highest one that was dropped count as overtaken,
/// whatever their content, so that an order that was once taken is never refused for lack of memory.
class VersionLedger {
 public:
  static constexpr std::size_t most = 4096;

  /// What is known of a content whatever its version, so that an order that is sent again need not be read again.
  std::optional<PlanVerdict> known(const ContentDigest& digest) const;

  /// What is known of this version and content; nothing if the version has not been ordered yet.
  std::optional<PlanVerdict> judge(PlanMark version, const ContentDigest& digest) const;

  /// Notes the first content of a version. `taken`: it came into force.
  void note(PlanMark version, ContentDigest digest, bool taken);

  std::size_t size() const { return entries_.size(); }
  PlanMark forgottenThrough() const { return forgottenThrough_; }

 private:
  struct Entry {
    ContentDigest digest;
    bool taken = false;
    MSGPACK_DEFINE(digest, taken)
  };
  std::map<PlanMark, Entry> entries_;
  PlanMark forgottenThrough_;
  std::map<ContentDigest, PlanMark> versions_;

 public:
  MSGPACK_DEFINE(entries_, forgottenThrough_, versions_)
};

}  // namespace tamarindshift
