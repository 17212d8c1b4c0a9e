#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/strong.hpp"
#include "base/task.hpp"
#include "base/time.hpp"

namespace tamarindshift {

using ConnectionId = Strong<struct ConnectionIdTag, std::uint64_t>;

struct DoorRequest {
  std::string method;
  std::string path;
  std::string body;
  ConnectionId connection;
  std::vector<std::pair<std::string, std::string>> headers{};
};

struct DoorReply {
  int status = 200;
  std::string body;
  std::optional<Duration> comeBack;
  std::string contentType = "application/json";
};

class DoorKeeper {
 public:
  virtual ~DoorKeeper() = default;
  virtual Task<DoorReply> serve(DoorRequest request) = 0;
  virtual void gone(ConnectionId connection) = 0;
};

}  // namespace tamarindshift
