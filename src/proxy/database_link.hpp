#pragma once

#include "edge/web_link.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

struct DatabaseOutcome {
  PassFate fate = PassFate::unsent;
  DatabaseReply reply;
};

class DatabaseConnection {
 public:
  explicit DatabaseConnection(std::unique_ptr<WebConnection> web) : web_(std::move(web)) {}
  Task<DatabaseOutcome> run(DatabaseRequest request, Instant deadline);
  bool usable() const { return web_->usable(); }
  void close() { web_->close(); }

 private:
  std::unique_ptr<WebConnection> web_;
};

}  // namespace tamarindshift
