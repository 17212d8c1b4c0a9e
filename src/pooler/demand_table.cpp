#include "pooler/demand_table.hpp"

namespace tamarindshift {

void DemandTable::add(const Record& demand) {
  demand->number = ++last_;
  waiting_.emplace(key(demand), demand);
}

void DemandTable::decide(const Record& demand, DemandStage stage) {
  demand->stage = stage;
  waiting_.erase(key(demand));
  demand->decided.open();
}

void DemandTable::grant(const Record& demand, std::shared_ptr<PooledBackEnd> connection) {
  demand->connection = std::move(connection);
  decide(demand, DemandStage::granted);
}

void DemandTable::refuse(const Record& demand, StatementFault fault, std::string reason) {
  demand->fault = fault;
  demand->reason = std::move(reason);
  decide(demand, DemandStage::refused);
}

std::vector<DemandTable::Record> DemandTable::waiting() const {
  std::vector<Record> records;
  records.reserve(waiting_.size());
  for (const auto& [key, record] : waiting_) records.push_back(record);
  return records;
}

}  // namespace tamarindshift
