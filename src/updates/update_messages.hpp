#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/address.hpp"
#include "updates/topic_table.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

struct TopicChange {
  std::uint64_t mark = 0;
  std::string key;
  bool removed = false;
  std::string value;
  MSGPACK_DEFINE(mark, key, removed, value)
};

struct DatabaseReport {
  std::string database;
  std::string role;
  std::uint64_t epoch = 0;
  std::uint64_t position = 0;
  Duration contactAge{};
  Duration age{};
  bool leaving = false;
  MSGPACK_DEFINE(database, role, epoch, position, contactAge, age, leaving)
};

struct FollowRequest {
  std::map<Topic, std::uint64_t> knownMarks;
  bool databaseReports = true;
  // rises with each ask of a follower; 0 if the source needs to remember nothing
  std::uint64_t number = 0;
  // the ask that this one goes on from: topics that are not named are as they were there; 0 if all are named
  std::uint64_t base = 0;
  // of a numbered ask, the topics whose signs are wanted
  std::set<Topic> reportTopics;
  // what is left of the shortest lease of the topics, below 0 if that is not told
  Duration lease{-1};
  // the node whose own entries are all that is wanted of those that concern one node
  std::optional<Address> onlyNode;
  MSGPACK_DEFINE(knownMarks, databaseReports, number, base, reportTopics, lease, onlyNode)
};

enum class FollowResult : std::uint8_t { changes = 0, snapshot = 1, notCurrent = 2 };

struct TopicReply {
  FollowResult result = FollowResult::notCurrent;
  std::uint64_t mark = 0;
  TopicTable table;
  std::vector<TopicChange> changes;
  Duration lease{};
  std::vector<DatabaseReport> databaseReports;
  std::uint64_t position = 0;
  // of a snapshot, the entries of the plan, compressed, where they are many; `table` has the others
  std::string compressedPlan;
  MSGPACK_DEFINE(result, mark, table, changes, lease, databaseReports, position, compressedPlan)
};

struct FollowReply {
  std::map<Topic, TopicReply> topics;
  Duration heldFor{};
  // whether a replica says so itself
  bool fromReplica = false;
  // the ask that the source remembers; 0 if it does not know the one that this ask went on from
  std::uint64_t number = 0;
  // what holds for topics that were asked for and are not named, for nothing is new there
  Duration lease{};
  std::uint64_t position = 0;
  MSGPACK_DEFINE(topics, heldFor, fromReplica, number, lease, position)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::FollowResult)
