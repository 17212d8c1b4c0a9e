#include <catch2/catch.hpp>

#include "control/promotion_proof.hpp"

using namespace tamarindshift;

namespace {

constexpr Instant acceptedAt{100s};
constexpr Duration effectWithin = 2s;

DatabaseStatus standing(const char* role, std::uint64_t term) {
  return DatabaseStatus{role, Epoch{term}, Position{7}, {}, Epoch{term}};
}

}  // namespace

TEST_CASE("promotion proof: a replica that was chosen leads once it says primary in a higher term") {
  PromotionProof proof(Epoch{3}, Epoch{3}, acceptedAt, effectWithin);
  CHECK_FALSE(proof.shownBy(standing("replica", 3), acceptedAt + 100ms));
  CHECK_FALSE(proof.shownBy(standing("replica", 4), acceptedAt + 100ms));
  CHECK(proof.shownBy(standing("primary", 4), acceptedAt + 300ms));
}

TEST_CASE("promotion proof: what an old primary says of its role proves nothing, however late it says it") {
  // it led term 3, another one led term 4
  PromotionProof proof(Epoch{3}, Epoch{4}, acceptedAt, effectWithin);
  for (auto after : {Duration{1ms}, Duration{300ms}, Duration{1999ms}, Duration{2s}, Duration{1h}})
    CHECK_FALSE(proof.shownBy(standing("primary", 3), acceptedAt + after));
  // it has heard of term 4 and has not laid its role down yet
  CHECK_FALSE(proof.shownBy(standing("primary", 4), acceptedAt + 300ms));
  CHECK(proof.shownBy(standing("primary", 5), acceptedAt + 300ms));
}

TEST_CASE("promotion proof: the promotion of a database that leads already changes nothing and is seen after its time") {
  PromotionProof proof(Epoch{4}, Epoch{4}, acceptedAt, effectWithin);
  CHECK_FALSE(proof.shownBy(standing("primary", 4), acceptedAt + 1999ms));
  CHECK(proof.shownBy(standing("primary", 4), acceptedAt + 2s));
}

TEST_CASE("promotion proof: terms that began anew are taken once the call has had its time") {
  PromotionProof proof(Epoch{1}, Epoch{9}, acceptedAt, effectWithin);
  CHECK_FALSE(proof.shownBy(standing("primary", 2), acceptedAt + 1s));
  CHECK(proof.shownBy(standing("primary", 2), acceptedAt + 2s));
}
