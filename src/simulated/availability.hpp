#pragma once

#include "simulated/history_checks.hpp"

namespace tamarindshift {

class Availability {
 public:
  static constexpr Duration backWithin = 12s;
  static constexpr Duration window = 2s;
  static constexpr std::size_t leastDonePercent = 50;
  static constexpr std::size_t fewAsks = 5;

  void disturbed(Instant at);
  void disturbed(const ServiceName& service, Instant at);
  void trouble(const std::string& name, bool lasts);
  void excuse(const ServiceName& service, Instant from, Instant until) { excuses_.emplace_back(service, from, until); }
  void sample(const ServiceName& service, bool able, Instant at);
  std::size_t check(const std::vector<CallerOperation>& operations, const std::vector<CallerKind>& kinds, Instant start,
                    const FaultSink& fault) const;

 private:
  struct Calm {
    Instant from{};
    Instant until{};
  };
  bool excused(const ServiceName& service, Instant from, Instant until) const;
  std::map<ServiceName, std::vector<Calm>> calms_;
  std::set<std::string> troubles_;
  std::vector<std::tuple<ServiceName, Instant, Instant>> excuses_;
};

}  // namespace tamarindshift
