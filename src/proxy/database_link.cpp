#include "proxy/database_link.hpp"

#include "proxy/database_json.hpp"

namespace tamarindshift {

Task<DatabaseOutcome> DatabaseConnection::run(DatabaseRequest request, Instant deadline) {
  auto outcome = co_await web_->exchange("POST", "/run", requestToJson(request), deadline);
  if (outcome.fate != PassFate::replied) co_return DatabaseOutcome{outcome.fate, {}};
  auto reply = replyFromJson(outcome.body);
  if (!reply) {
    web_->close();
    co_return DatabaseOutcome{PassFate::lost, {}};
  }
  co_return DatabaseOutcome{PassFate::replied, std::move(*reply)};
}

}  // namespace tamarindshift
