#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarindshift {

class StableStore {
 public:
  virtual ~StableStore() = default;
  virtual std::optional<std::vector<std::string>> load() = 0;
  virtual void append(const std::string& record) = 0;
  virtual void sync(std::function<void()> synced) = 0;
  virtual void rewrite(const std::vector<std::string>& records) = 0;
  virtual std::size_t length() const = 0;
  virtual const std::string& lastReason() const = 0;
};

}  // namespace tamarindshift
