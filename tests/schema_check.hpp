#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "edge/door.hpp"

namespace tamarindshift {

// what leaves schema/calls.json; as much of JSON Schema as that file uses
class SchemaCheck {
 public:
  SchemaCheck();
  // faults of a body, each with its path
  std::vector<std::string> faults(const std::string& name, const nlohmann::json& body) const;
  // faults of what a door answered to a call; a status that the call does not know is one
  std::vector<std::string> faults(const std::string& door, const std::string& call, const DoorReply& reply) const;
  const nlohmann::json& schema() const { return schema_; }

 private:
  void check(const nlohmann::json& schema, const nlohmann::json& body, const std::string& path, std::vector<std::string>& found) const;
  static bool is(const nlohmann::json& type, const nlohmann::json& body);
  nlohmann::json schema_;
};

}  // namespace tamarindshift
