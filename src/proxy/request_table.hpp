// The requests of a proxy that have no reply yet.
#pragma once

#include <map>

#include "proxy/request_record.hpp"

namespace tamarindshift {

/// Requests without a reply, and the order in which the waiting ones get connections: by the order of their branch, then of arrival.
class RequestTable {
 public:
  using Record = std::shared_ptr<RequestRecord>;

  /// Numbers the request and queues it.
  void add(const Record& record);
  void markForwarded(const Record& record);
  /// Queues a request again; no effect on one that has its reply.
  void markWaiting(const Record& record);
  /// Sets the reply and removes the request; no effect on one that has its reply.
  void reply(const Record& record, RequestReply reply);
  /// The waiting requests in the order of service.
  std::vector<Record> waiting() const;
  std::size_t waitingCount(const ServiceName& service, const BranchName& branch) const;
  std::size_t inFlight() const { return records_.size(); }
  const std::map<std::uint64_t, Record>& records() const { return records_; }

 private:
  using QueueKey = std::pair<std::uint32_t, std::uint64_t>;
  static QueueKey queueKey(const Record& record) { return {record->order, record->number}; }
  std::uint64_t lastNumber_ = 0;
  std::map<std::uint64_t, Record> records_;
  std::map<QueueKey, Record> waiting_;
  std::map<std::pair<ServiceName, BranchName>, std::size_t> waitingCounts_;
};

}  // namespace tamarindshift
