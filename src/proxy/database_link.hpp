// A connection to a database of the JSON protocol.
#pragma once

#include "edge/web_link.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

struct DatabaseOutcome {
  /// `lost`: the request went out, and its effect is unknown.
  PassFate fate = PassFate::unsent;
  /// Set if `fate` is `replied`.
  DatabaseReply reply;
};

/// One statement at a time runs on a connection.
class DatabaseConnection {
 public:
  explicit DatabaseConnection(std::unique_ptr<WebConnection> web) : web_(std::move(web)) {}
  /// Runs a request and waits for its reply until `deadline`. An unreadable reply closes the connection and counts as lost.
  Task<DatabaseOutcome> run(DatabaseRequest request, Instant deadline);
  bool usable() const { return web_->usable(); }
  void close() { web_->close(); }

 private:
  std::unique_ptr<WebConnection> web_;
};

}  // namespace tamarindshift
