#pragma once

#include <map>

#include "proxy/request_record.hpp"

namespace tamarindshift {

class RequestTable {
 public:
  using Record = std::shared_ptr<RequestRecord>;

  void enrol(const Record& record);
  void passed(const Record& record);
  void waits(const Record& record);
  void reply(const Record& record, RequestReply reply);
  std::vector<Record> waiting() const;
  std::size_t waitingCount(const ServiceName& service, const BranchName& branch) const;
  std::size_t inFlight() const { return records_.size(); }
  const std::map<std::uint64_t, Record>& records() const { return records_; }

 private:
  using Place = std::pair<std::uint32_t, std::uint64_t>;
  static Place place(const Record& record) { return {record->order, record->number}; }
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, Record> records_;
  std::map<Place, Record> waiting_;
  std::map<std::pair<ServiceName, BranchName>, std::size_t> waitingOn_;
};

}  // namespace tamarindshift
