#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/address.hpp"
#include "base/task.hpp"
#include "base/time.hpp"

namespace tamarindshift {

using WebHeaders = std::vector<std::pair<std::string, std::string>>;

enum class PassFate { replied, unsent, lost };

struct WebOutcome {
  PassFate fate = PassFate::unsent;
  int status = 0;
  std::string body;
};

class WebConnection {
 public:
  virtual ~WebConnection() = default;
  virtual Task<WebOutcome> exchange(std::string method, std::string path, std::string body, Instant deadline, WebHeaders headers = {}) = 0;
  virtual bool usable() const = 0;
  virtual void close() = 0;
};

class WebLink {
 public:
  virtual ~WebLink() = default;
  virtual Task<std::unique_ptr<WebConnection>> open(Address address, Instant deadline) = 0;
  Task<std::optional<WebOutcome>> call(Address address, std::string method, std::string path, std::string body, Instant deadline,
                                       WebHeaders headers = {});
};

}  // namespace tamarindshift
