#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/address.hpp"
#include "news/news_table.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

struct NewsChange {
  std::uint64_t mark = 0;
  std::string key;
  bool removed = false;
  std::string value;
  MSGPACK_DEFINE(mark, key, removed, value)
};

struct DatabaseSign {
  std::string database;
  std::string role;
  std::uint64_t epoch = 0;
  std::uint64_t position = 0;
  Duration contactAge{};
  Duration age{};
  bool leaving = false;
  MSGPACK_DEFINE(database, role, epoch, position, contactAge, age, leaving)
};

struct FollowAsk {
  std::map<Topic, std::uint64_t> have;
  bool signs = true;
  // rises with each ask of a follower; 0 if the source needs to remember nothing
  std::uint64_t number = 0;
  // the ask that this one goes on from: topics that are not named are as they were there; 0 if all are named
  std::uint64_t after = 0;
  // of a numbered ask, the topics whose signs are wanted
  std::set<Topic> signsOf;
  // what is left of the shortest lease of the topics, below 0 if that is not told
  Duration lease{-1};
  // the node whose own entries are all that is wanted of those that concern one node
  std::optional<Address> own;
  MSGPACK_DEFINE(have, signs, number, after, signsOf, lease, own)
};

enum class FollowFate : std::uint8_t { changes = 0, snapshot = 1, notCurrent = 2 };

struct TopicReply {
  FollowFate fate = FollowFate::notCurrent;
  std::uint64_t mark = 0;
  NewsTable table;
  std::vector<NewsChange> changes;
  Duration lease{};
  std::vector<DatabaseSign> signs;
  std::uint64_t position = 0;
  // of a snapshot, the entries of the plan, compressed, where they are many; `table` has the others
  std::string wholePlan;
  MSGPACK_DEFINE(fate, mark, table, changes, lease, signs, position, wholePlan)
};

struct FollowReply {
  std::map<Topic, TopicReply> topics;
  Duration held{};
  // whether a replica says so itself
  bool core = false;
  // the ask that the source remembers; 0 if it does not know the one that this ask went on from
  std::uint64_t number = 0;
  // what holds for topics that were asked for and are not named, for nothing is new there
  Duration lease{};
  std::uint64_t position = 0;
  MSGPACK_DEFINE(topics, held, core, number, lease, position)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::FollowFate)
