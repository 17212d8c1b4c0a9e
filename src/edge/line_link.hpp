#pragma once

#include <memory>

#include "base/address.hpp"
#include "edge/line_connection.hpp"

namespace tamarindshift {

class LineLink {
 public:
  virtual ~LineLink() = default;
  // nothing where the far end refused or the deadline passed
  virtual Task<std::unique_ptr<LineConnection>> open(Address address, Instant deadline) = 0;
};

}  // namespace tamarindshift
