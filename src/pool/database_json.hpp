#pragma once

#include "pool/database_messages.hpp"

namespace tamarindshift {

const char* text(Operation operation);
std::optional<Operation> operationNamed(const std::string& name);
std::string requestToJson(const DatabaseRequest& request);
std::optional<DatabaseRequest> requestFromJson(const std::string& body);
std::string replyToJson(const DatabaseReply& reply);
std::optional<DatabaseReply> replyFromJson(const std::string& body);
std::string standingToJson(const DatabaseStanding& standing);
std::optional<DatabaseStanding> standingFromJson(const std::string& body);

}  // namespace tamarindshift
