#pragma once

#include <optional>
#include <vector>

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
  MSGPACK_DEFINE(database, role, epoch, position, contactAge, age)
};

struct FollowAsk {
  Topic topic;
  std::uint64_t have = 0;
  MSGPACK_DEFINE(topic, have)
};

enum class FollowFate : std::uint8_t { changes = 0, snapshot = 1, notCurrent = 2 };

struct FollowReply {
  FollowFate fate = FollowFate::notCurrent;
  std::uint64_t mark = 0;
  NewsTable table;
  std::vector<NewsChange> changes;
  Duration lease{};
  std::vector<DatabaseSign> signs;
  MSGPACK_DEFINE(fate, mark, table, changes, lease, signs)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::FollowFate)
