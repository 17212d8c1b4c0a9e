#include "proxy/request_table.hpp"

namespace tamarindshift {

void RequestTable::add(const Record& record) {
  record->number = ++lastNumber_;
  records_[record->number] = record;
  markWaiting(record);
}

void RequestTable::markWaiting(const Record& record) {
  if (!records_.contains(record->number)) return;
  record->stage = RequestStage::waitingForConnection;
  if (waiting_.emplace(queueKey(record), record).second) ++waitingCounts_[{record->service, record->branch}];
}

void RequestTable::markForwarded(const Record& record) {
  if (waiting_.erase(queueKey(record)) > 0) --waitingCounts_[{record->service, record->branch}];
  record->stage = RequestStage::forwarded;
}

void RequestTable::reply(const Record& record, RequestReply reply) {
  if (record->stage == RequestStage::replied) return;
  markForwarded(record);
  record->stage = RequestStage::replied;
  record->reply = std::move(reply);
  records_.erase(record->number);
  record->replied.open();
}

std::vector<RequestTable::Record> RequestTable::waiting() const {
  std::vector<Record> waiting;
  waiting.reserve(waiting_.size());
  for (const auto& [key, record] : waiting_) waiting.push_back(record);
  return waiting;
}

std::size_t RequestTable::waitingCount(const ServiceName& service, const BranchName& branch) const {
  auto found = waitingCounts_.find({service, branch});
  return found == waitingCounts_.end() ? 0 : found->second;
}

}  // namespace tamarindshift
