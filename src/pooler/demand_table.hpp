#pragma once

#include <map>
#include <memory>
#include <vector>

#include "pooler/demand.hpp"

namespace tamarindshift {

// demands in the order they are served: precedence first, then arrival
class DemandTable {
 public:
  using Record = std::shared_ptr<Demand>;

  void add(const Record& demand);
  void grant(const Record& demand, std::shared_ptr<PooledBackEnd> connection);
  void refuse(const Record& demand, StatementFault fault, std::string reason);
  std::vector<Record> waiting() const;
  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  using Key = std::pair<std::uint32_t, std::uint64_t>;
  static Key key(const Record& demand) { return {demand->order, demand->number}; }
  void decide(const Record& demand, DemandStage stage);
  std::uint64_t last_ = 0;
  std::map<Key, Record> waiting_;
};

}  // namespace tamarindshift
