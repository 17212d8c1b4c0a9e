#pragma once

#include <functional>

#include "simulated/standin_callers.hpp"

namespace tamarindshift {

using KeptData = std::map<ServiceName, std::map<std::string, std::string>>;
using FaultSink = std::function<void(std::string)>;

class HistoryChecks {
 public:
  HistoryChecks(const std::vector<CallerOperation>& operations, const std::vector<CallerKind>& kinds, Instant start, FaultSink fault);
  void writesOnce(const KeptData& kept) const;
  void readsFresh() const;

 private:
  std::string clockText(Instant at) const { return std::to_string(milliseconds(at - start_).count()) + "ms"; }
  const std::vector<CallerOperation>& operations_;
  const std::vector<CallerKind>& kinds_;
  Instant start_;
  FaultSink fault_;
};

}  // namespace tamarindshift
