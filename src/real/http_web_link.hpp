#pragma once

#include "base/clock.hpp"
#include "edge/web_link.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class HttpWebLink : public WebLink {
 public:
  explicit HttpWebLink(boost::asio::io_context& context) : context_(context) {}
  void take(Detours detours) { detours_ = std::move(detours); }
  Task<std::unique_ptr<WebConnection>> open(Address address, Instant deadline) override;

 private:
  boost::asio::io_context& context_;
  Detours detours_;
};

}  // namespace tamarindshift
