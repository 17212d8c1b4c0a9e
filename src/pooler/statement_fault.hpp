#pragma once

namespace tamarindshift {

// busy, aborted, behind, readOnly, misdirected and overloaded promise that nothing of the try is kept
enum class StatementFault {
  none,
  busy,
  aborted,
  behind,
  readOnly,
  misdirected,
  overloaded,
  unknownOutcome,
  timedOut,
  failed,
  unknownName,
  malformed,
  noDatabase,
  other,
};

}  // namespace tamarindshift
