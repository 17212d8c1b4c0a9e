#pragma once

#include <optional>

namespace tamarindshift {

struct ProcessFigures {
  double processorSeconds = 0;
  double residentMegabytes = 0;
};

std::optional<ProcessFigures> processFigures(int process);
// share of the whole machine's processor time that was used since the start, as used and whole jiffies
struct MachineFigures {
  double used = 0;
  double whole = 0;
};
MachineFigures machineFigures();

}  // namespace tamarindshift
