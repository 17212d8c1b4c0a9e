/// Why a statement did not succeed.
#pragma once

namespace tamarindshift {

/// busy, aborted, behind, readOnly, misdirected and overloaded guarantee that the attempt had no lasting effect. `behind`:
/// the log of the database has not reached the required position.
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
