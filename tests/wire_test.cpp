// Messages between programs of two versions: additional or missing fields at the end must not make them unreadable, while anything
// of another shape must be rejected.

#include <catch2/catch.hpp>

#include "group/group_messages.hpp"
#include "tests/engine_cluster.hpp"

using namespace tamarindshift;

namespace {

struct OlderHeartbeat {
  Member from;
  bool joined = false;
  MSGPACK_DEFINE(from, joined)
};

}  // namespace

TEST_CASE("a program reads messages with additional or missing fields at their end") {
  GroupHeartbeat newer;
  newer.from = Member{ServerId{Address{"127.0.0.1:1"}, Incarnation{3}}, Boot{4}};
  newer.joined = true;
  newer.highestCounter = 8;
  auto seenByOlder = unpacked<OlderHeartbeat>(packed(newer));
  REQUIRE(seenByOlder);
  CHECK(seenByOlder->from == newer.from);
  CHECK(seenByOlder->joined);
  auto seenByNewer = unpacked<GroupHeartbeat>(packed(*seenByOlder));
  REQUIRE(seenByNewer);
  CHECK(seenByNewer->from == newer.from);
  CHECK(seenByNewer->highestCounter == 0);
}

TEST_CASE("a message of another shape is rejected") {
  CHECK_FALSE(unpacked<GroupHeartbeat>(packed(std::string("heartbeat"))));
  CHECK_FALSE(unpacked<GroupHeartbeat>(packed(std::vector<int>{1, 2, 3})));
  CHECK_FALSE(unpacked<GroupHeartbeat>(""));
}

TEST_CASE("a packed message is restored, and one that is cut off is rejected") {
  GroupWatermark mark{ViewId{7, Member{ServerId{Address{"127.0.0.1:1"}, Incarnation{3}}, Boot{4}}}, {}, 9};
  auto bytes = packed(mark);
  auto back = unpacked<GroupWatermark>(bytes);
  REQUIRE(back);
  CHECK(back->view == mark.view);
  CHECK(back->sequence == 9);
  CHECK_FALSE(unpacked<GroupWatermark>(bytes.substr(0, bytes.size() - 1)));
}
