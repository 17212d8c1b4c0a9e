#pragma once

#include <optional>
#include <string>
#include <utility>

namespace tamarindshift {

class LastReason {
 public:
  std::nullopt_t set(std::string reason) {
    reason_ = std::move(reason);
    return std::nullopt;
  }
  const std::string& get() const { return reason_; }

 private:
  std::string reason_;
};

}  // namespace tamarindshift
