// The names and keys of topics: a topic is a key-value table whose entries followers receive as they change.
#pragma once

#include <map>
#include <string>

namespace tamarindshift {

/// The name of a topic: `fleetTopic` or the name of a service.
using Topic = std::string;
/// The entries of one topic; most values are packed structs.
using TopicTable = std::map<std::string, std::string>;

/// The topic of what concerns all services: nodes and the routes of the plan.
inline const Topic fleetTopic = "fleet";

/// Prefix of the keys of plan entries. They change only when the plan does, and there may be many of them.
inline const std::string planPrefix = "plan-";

/// Prefix of the keys of entries that concern one node only; the address of the node follows.
inline const std::string sharePrefix = "share/";
/// Prefix of the key of a node in the table of `fleetTopic`; the address of the node follows.
inline const std::string nodePrefix = "node/";

}  // namespace tamarindshift
