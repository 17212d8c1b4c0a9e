#pragma once

#include "edge/web_link.hpp"
#include "pool/database_messages.hpp"

namespace tamarindshift {

struct PassOutcome {
  PassFate fate = PassFate::unsent;
  DatabaseReply reply;
};

class DatabaseConnection {
 public:
  explicit DatabaseConnection(std::unique_ptr<WebConnection> web) : web_(std::move(web)) {}
  Task<PassOutcome> run(DatabaseRequest request, Instant deadline);
  bool usable() const { return web_->usable(); }
  void close() { web_->close(); }

 private:
  std::unique_ptr<WebConnection> web_;
};

}  // namespace tamarindshift
