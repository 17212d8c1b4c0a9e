#pragma once

#include <memory>

#include "edge/line_connection.hpp"

namespace tamarindshift {

class LineKeeper {
 public:
  virtual ~LineKeeper() = default;
  virtual Task<void> serve(std::shared_ptr<LineConnection> connection) = 0;
};

}  // namespace tamarindshift
