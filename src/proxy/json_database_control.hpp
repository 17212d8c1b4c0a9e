// Status, demotion and promotion of databases over HTTP and JSON.
#pragma once

#include "control/database_control.hpp"
#include "edge/web_link.hpp"

namespace tamarindshift {

/// Asks databases themselves for status and demotion, and the platform for promotion.
class JsonDatabaseControl : public DatabaseControl {
 public:
  JsonDatabaseControl(WebLink& web, Address platform) : web_(web), platform_(std::move(platform)) {}
  /// Sets the address that promotions are requested at.
  void setPlatformAddress(Address platform) { platform_ = std::move(platform); }

  Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) override;
  Task<std::optional<DatabaseStatus>> demote(DatabaseTarget target, Epoch epoch, Instant deadline) override;
  Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) override;

 private:
  WebLink& web_;
  Address platform_;
};

}  // namespace tamarindshift
