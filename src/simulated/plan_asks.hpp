#pragma once

#include <vector>

#include "control/plan.hpp"

namespace tamarindshift {

struct PlanAsk {
  std::uint64_t mark = 0;
  bool sound = true;
  std::string text;
  Instant askedAt{};
  Instant endedAt{};
  int status = 0;
  std::optional<Plan> plan;
};

class PlanAsks {
 public:
  static constexpr Duration followed = 3s;

  std::size_t asked(std::uint64_t mark, bool sound, std::string text, Instant now);
  void ended(std::size_t index, int status, Instant now);
  const std::vector<PlanAsk>& all() const { return asks_; }
  std::uint64_t required(Instant at) const;
  std::vector<const Plan*> inForce(Instant at) const;
  bool allows(const KindName& kind, const ServiceName& service, const DatabaseName& database, const Address& databaseAddress,
              const Address& machine, Instant at) const;
  std::uint32_t cap(const ServiceName& service, Instant at) const;

 private:
  std::vector<PlanAsk> asks_;
};

}  // namespace tamarindshift
