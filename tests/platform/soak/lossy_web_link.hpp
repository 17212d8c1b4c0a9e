#pragma once

#include "edge/web_link.hpp"
#include "simulated/world.hpp"

namespace tamarindshift::testing {

/// Loses a share of the replies on their way back; what was asked has happened all the same.
class LossyWebLink : public WebLink {
 public:
  LossyWebLink(WebLink& inner, World& chance) : inner_(inner), chance_(chance) {}
  void lose(unsigned perThousand) { lost_ = perThousand; }
  Task<std::unique_ptr<WebConnection>> open(Address address, Instant deadline) override {
    auto opened = co_await inner_.open(std::move(address), deadline);
    if (!opened) co_return nullptr;
    co_return std::make_unique<Connection>(*this, std::move(opened));
  }

 private:
  class Connection : public WebConnection {
   public:
    Connection(LossyWebLink& link, std::unique_ptr<WebConnection> inner) : link_(link), inner_(std::move(inner)) {}
    Task<WebOutcome> exchange(std::string method, std::string path, std::string body, Instant deadline, WebHeaders headers) override {
      auto outcome = co_await inner_->exchange(std::move(method), std::move(path), std::move(body), deadline, std::move(headers));
      if (outcome.fate == PassFate::replied && link_.chance_.chance(link_.lost_)) outcome = WebOutcome{PassFate::lost, 0, {}};
      co_return outcome;
    }
    bool usable() const override { return inner_->usable(); }
    void close() override { inner_->close(); }

   private:
    LossyWebLink& link_;
    std::unique_ptr<WebConnection> inner_;
  };

  WebLink& inner_;
  World& chance_;
  unsigned lost_ = 0;
};

}  // namespace tamarindshift::testing
