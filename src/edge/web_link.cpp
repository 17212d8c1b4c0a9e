#include "edge/web_link.hpp"

namespace tamarindshift {

Task<std::optional<WebOutcome>> WebLink::call(Address address, std::string method, std::string path, std::string body, Instant deadline,
                                              WebHeaders headers) {
  auto connection = co_await open(std::move(address), deadline);
  if (!connection) co_return std::nullopt;
  auto outcome = co_await connection->exchange(std::move(method), std::move(path), std::move(body), deadline, std::move(headers));
  if (outcome.fate != PassFate::replied) co_return std::nullopt;
  co_return outcome;
}

}  // namespace tamarindshift
