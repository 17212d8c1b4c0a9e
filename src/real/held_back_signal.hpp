#pragma once

namespace tamarindshift {

/// SIGHUP between the start of a process and the moment from which its daemon listens. Its default action would end the
/// process; held back, it arrives once the daemon listens, so that no change of the settings is missed.
///
/// It is held back from when the program's own code begins to run; before that, while the program is being loaded, it
/// still ends the process.
class HeldBackHangUp {
 public:
  static void hold();
  static void release();
};

}  // namespace tamarindshift
