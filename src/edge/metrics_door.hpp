#pragma once

#include <functional>

#include "edge/door.hpp"

namespace tamarindshift {

/// Serves a page of metrics and nothing else, so that its address can be given to a scraper.
class MetricsDoor : public DoorKeeper {
 public:
  using Page = std::function<std::string()>;

  explicit MetricsDoor(Page page) : page_(std::move(page)) {}
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}

 private:
  Page page_;
};

}  // namespace tamarindshift
