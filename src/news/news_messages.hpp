#pragma once

#include <optional>
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
  // the node whose own entries are all that is wanted of those that concern one node
  std::optional<Address> own;
  MSGPACK_DEFINE(have, signs, own)
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
  MSGPACK_DEFINE(fate, mark, table, changes, lease, signs, position)
};

struct FollowReply {
  std::map<Topic, TopicReply> topics;
  Duration held{};
  // whether a replica says so itself
  bool core = false;
  MSGPACK_DEFINE(topics, held, core)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::FollowFate)
