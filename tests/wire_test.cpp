#include <catch2/catch.hpp>

#include "group/group_messages.hpp"
#include "tests/engine_cluster.hpp"

using namespace tamarindshift;

TEST_CASE("a packed message comes back whole and a torn one does not come back") {
  GroupMark mark{ViewId{7, Member{ServerId{Address{"127.0.0.1:1"}, Incarnation{3}}, Boot{4}}}, {}, 9};
  auto bytes = packed(mark);
  auto back = unpacked<GroupMark>(bytes);
  REQUIRE(back);
  CHECK(back->view == mark.view);
  CHECK(back->upto == 9);
  CHECK_FALSE(unpacked<GroupMark>(bytes.substr(0, bytes.size() - 1)));
}
