#include "base/invariant.hpp"

#include <array>

namespace tamarindshift {

std::string_view invariantName(Invariant invariant) {
  static constexpr std::array<std::string_view, invariantCount> names{
      "work-under-lease",      "work-in-epoch",          "write-sent-once",      "acknowledged-under-lease", "connection-held-once",
      "drained-left-alone",    "answered-in-time",       "shares-within-branch", "plan-never-goes-back",     "lease-from-question",
      "acknowledged-is-green", "duty-epoch-never-falls", "read-under-proof",
  };
  return names[static_cast<std::size_t>(invariant)];
}

}  // namespace tamarindshift
