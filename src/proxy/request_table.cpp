#include "proxy/request_table.hpp"

namespace tamarindshift {

void RequestTable::enrol(const Record& record) {
  record->number = ++last_;
  records_[record->number] = record;
  waits(record);
}

void RequestTable::waits(const Record& record) {
  if (!records_.contains(record->number)) return;
  record->stage = RequestStage::waitsForConnection;
  if (waiting_.emplace(place(record), record).second) ++waitingOn_[{record->service, record->branch}];
}

void RequestTable::passed(const Record& record) {
  if (waiting_.erase(place(record)) > 0) --waitingOn_[{record->service, record->branch}];
  record->stage = RequestStage::passed;
}

void RequestTable::reply(const Record& record, RequestReply reply) {
  if (record->stage == RequestStage::replied) return;
  passed(record);
  record->stage = RequestStage::replied;
  record->reply = std::move(reply);
  records_.erase(record->number);
  record->replied.open();
}

std::vector<RequestTable::Record> RequestTable::waiting() const {
  std::vector<Record> waiting;
  waiting.reserve(waiting_.size());
  for (const auto& [place, record] : waiting_) waiting.push_back(record);
  return waiting;
}

std::size_t RequestTable::waitingCount(const ServiceName& service, const BranchName& branch) const {
  auto found = waitingOn_.find({service, branch});
  return found == waitingOn_.end() ? 0 : found->second;
}

}  // namespace tamarindshift
