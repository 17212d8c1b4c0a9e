#include "pool/database_link.hpp"

#include "pool/database_json.hpp"

namespace tamarindshift {

Task<PassOutcome> DatabaseConnection::run(DatabaseRequest request, Instant deadline) {
  auto outcome = co_await web_->exchange("POST", "/run", requestToJson(request), deadline);
  if (outcome.fate != PassFate::replied) co_return PassOutcome{outcome.fate, {}};
  auto reply = replyFromJson(outcome.body);
  if (!reply) {
    web_->close();
    co_return PassOutcome{PassFate::lost, {}};
  }
  co_return PassOutcome{PassFate::replied, std::move(*reply)};
}

}  // namespace tamarindshift
