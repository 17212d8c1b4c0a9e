// JSON forms of the messages between the proxy and databases. The readers return no value for a malformed body.
#pragma once

#include "proxy/database_messages.hpp"

namespace tamarindshift {

const char* operationName(Operation operation);
std::optional<Operation> parseOperation(const std::string& name);
std::string requestToJson(const DatabaseRequest& request);
std::optional<DatabaseRequest> requestFromJson(const std::string& body);
std::string replyToJson(const DatabaseReply& reply);
std::optional<DatabaseReply> replyFromJson(const std::string& body);
std::string statusToJson(const DatabaseStatus& status);
std::optional<DatabaseStatus> statusFromJson(const std::string& body);

}  // namespace tamarindshift
