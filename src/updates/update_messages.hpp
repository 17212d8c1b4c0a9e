// Requests and replies by which followers receive the changes of topics. Fields are packed by position: their order must not change.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/address.hpp"
#include "updates/topic_table.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

/// One changed or removed entry of a topic.
struct TopicChange {
  /// The version of the topic that this change belongs to.
  std::uint64_t mark = 0;
  std::string key;
  bool removed = false;
  std::string value;
  MSGPACK_DEFINE(mark, key, removed, value)
};

/// What a database last reported of itself in a heartbeat.
struct DatabaseReport {
  std::string database;
  std::string role;
  std::uint64_t epoch = 0;
  std::uint64_t position = 0;
  /// Time since the database last had contact with its primary, counted up to now.
  Duration contactAge{};
  /// Time since the heartbeat arrived.
  Duration age{};
  bool leaving = false;
  MSGPACK_DEFINE(database, role, epoch, position, contactAge, age, leaving)
};

/// Asks a source for what changed in topics. The source holds the request until something changes or its wait ends.
struct FollowRequest {
  /// The version that the follower has of each topic; 0 asks for a snapshot.
  std::map<Topic, std::uint64_t> knownMarks;
  bool databaseReports = true;
  /// Rises with each request of a follower; 0 if the source need not remember the request.
  std::uint64_t number = 0;
  /// The earlier request that this one builds on: topics not in `knownMarks` are as that request had them. 0 if all topics are named.
  std::uint64_t base = 0;
  /// In a numbered request, the topics whose database reports are wanted.
  std::set<Topic> reportTopics;
  /// What is left of the shortest lease of the topics; negative if not stated.
  Duration lease{-1};
  /// Of the entries that concern one node only, those of this node are wanted; without a value those of all nodes.
  std::optional<Address> onlyNode;
  MSGPACK_DEFINE(knownMarks, databaseReports, number, base, reportTopics, lease, onlyNode)
};

/// `notCurrent`: the source has no lease for the topic, lacks the follower's version, or may not send a table of this size.
enum class FollowResult : std::uint8_t { changes = 0, snapshot = 1, notCurrent = 2 };

/// The state of one topic at its source.
struct TopicReply {
  FollowResult result = FollowResult::notCurrent;
  /// The version that the follower has after applying this reply.
  std::uint64_t mark = 0;
  /// The whole table if `result` is `snapshot`.
  TopicTable table;
  /// The changes since the follower's version if `result` is `changes`.
  std::vector<TopicChange> changes;
  /// What is left of the source's lease.
  Duration lease{};
  std::vector<DatabaseReport> databaseReports;
  /// Position in the replicated log up to which the source knows the topic.
  std::uint64_t position = 0;
  /// The plan entries of a snapshot, packed and compressed, if they are large; `table` has the other entries.
  std::string compressedPlan;
  MSGPACK_DEFINE(result, mark, table, changes, lease, databaseReports, position, compressedPlan)
};

/// The reply to a `FollowRequest`. A numbered request gets only the topics with something new.
struct FollowReply {
  std::map<Topic, TopicReply> topics;
  /// How long the source held the request. Leases count from the time of the request plus this.
  Duration heldFor{};
  /// Whether the source is a replica itself and not a node that passes updates on.
  bool fromReplica = false;
  /// The request that the source remembers; 0 if it does not know the one that this request builds on.
  std::uint64_t number = 0;
  /// Lease and position of the requested topics that are not in `topics` because nothing changed there.
  Duration lease{};
  std::uint64_t position = 0;
  MSGPACK_DEFINE(topics, heldFor, fromReplica, number, lease, position)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::FollowResult)
