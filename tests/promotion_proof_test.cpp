#include <catch2/catch.hpp>

#include "control/promotion_proof.hpp"

using namespace tamarindshift;

namespace {

constexpr Instant acceptedAt{100s};
constexpr Duration effectTimeout = 2s;

DatabaseStatus standing(const char* role, std::uint64_t term) {
  return DatabaseStatus{role, Epoch{term}, Position{7}, {}, Epoch{term}};
}

}  // namespace

TEST_CASE("promotion proof: a chosen replica is primary once it reports primary in a higher term") {
  PromotionProof proof(Epoch{3}, Epoch{3}, acceptedAt, effectTimeout);
  CHECK_FALSE(proof.confirmedBy(standing("replica", 3), acceptedAt + 100ms));
  CHECK_FALSE(proof.confirmedBy(standing("replica", 4), acceptedAt + 100ms));
  CHECK(proof.confirmedBy(standing("primary", 4), acceptedAt + 300ms));
}

TEST_CASE("promotion proof: the role of a former primary proves nothing, however late it is reported") {
  // it was primary in term 3, another database in term 4
  PromotionProof proof(Epoch{3}, Epoch{4}, acceptedAt, effectTimeout);
  for (auto after : {Duration{1ms}, Duration{300ms}, Duration{1999ms}, Duration{2s}, Duration{1h}})
    CHECK_FALSE(proof.confirmedBy(standing("primary", 3), acceptedAt + after));
  // it knows of term 4 but still has its old role
  CHECK_FALSE(proof.confirmedBy(standing("primary", 4), acceptedAt + 300ms));
  CHECK(proof.confirmedBy(standing("primary", 5), acceptedAt + 300ms));
}

TEST_CASE("promotion proof: promoting a database that is primary already changes nothing and is confirmed after the effect timeout") {
  PromotionProof proof(Epoch{4}, Epoch{4}, acceptedAt, effectTimeout);
  CHECK_FALSE(proof.confirmedBy(standing("primary", 4), acceptedAt + 1999ms));
  CHECK(proof.confirmedBy(standing("primary", 4), acceptedAt + 2s));
}

TEST_CASE("promotion proof: terms that started again from a lower number are accepted after the effect timeout") {
  PromotionProof proof(Epoch{1}, Epoch{9}, acceptedAt, effectTimeout);
  CHECK_FALSE(proof.confirmedBy(standing("primary", 2), acceptedAt + 1s));
  CHECK(proof.confirmedBy(standing("primary", 2), acceptedAt + 2s));
}
