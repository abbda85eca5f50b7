#include "fighold/plan/client_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace fighold::plan {
namespace {

struct ClientTableFixture
{
  Plan mPlan;

  void Add(std::uint32_t aAddress, std::uint8_t aPrefix, const std::string& aRegion)
  {
    const std::uint32_t mask = aPrefix == 0 ? 0 : ~std::uint32_t{ 0 } << (32U - aPrefix);
    mPlan.mClientBlocks.push_back({ aAddress & mask, aPrefix, { aRegion } });
    std::sort(mPlan.mClientBlocks.begin(), mPlan.mClientBlocks.end());
  }

  std::optional<RegionId> Find(std::uint32_t aAddress) const
  {
    return RegionOfClient(BuildClientTable(mPlan), aAddress);
  }
};

TEST_CASE_METHOD(ClientTableFixture, "RegionOfClient, no block, finds nothing", "[plan]")
{
  CHECK_FALSE(Find(0).has_value());
  CHECK_FALSE(Find(0xffffffff).has_value());
  CHECK_FALSE(RegionOfClient(ClientTable{}, 1).has_value());
}

// Guards against a block whose end wraps around at the last address.
TEST_CASE_METHOD(ClientTableFixture,
                 "RegionOfClient, blocks that reach the last address, find their regions",
                 "[plan]")
{
  Add(0, 0, "attiki");
  Add(0xffffff00, 24, "kriti");
  CHECK(Find(0xffffffff) == RegionId{ "kriti" });
  CHECK(Find(0xfffffeff) == RegionId{ "attiki" });
  CHECK(Find(0) == RegionId{ "attiki" });
}

// Guards against owners that wrap around to other regions.
TEST_CASE_METHOD(ClientTableFixture,
                 "BuildClientTable, as many regions as fit and one more, refuses the last",
                 "[plan]")
{
  for (std::uint32_t n = 0; n < kMaxClientRegions; ++n) {
    Add(n << 8U, 24, "r" + std::to_string(n));
  }
  CHECK(Find(254U << 8U) == RegionId{ "r254" });
  Add(kMaxClientRegions << 8U, 24, "one-more");
  CHECK_THROWS_AS(BuildClientTable(mPlan), std::length_error);
}

// Guards against a table that disagrees with the meaning of the sheet.
TEST_CASE_METHOD(ClientTableFixture,
                 "RegionOfClient, random nested blocks, agrees with the longest matching block",
                 "[plan]")
{
  rc::prop("table and blocks agree", [this]() {
    mPlan.mClientBlocks.clear();
    const auto count = *rc::gen::inRange(0, 40);
    for (int n = 0; n < count; ++n) {
      // Few distinct bits, so that blocks nest, touch and repeat.
      const auto high = *rc::gen::inRange<std::uint32_t>(0, 4) << 30U;
      const auto low = *rc::gen::inRange<std::uint32_t>(0, 16);
      Add(high | low << 14U,
          static_cast<std::uint8_t>(*rc::gen::inRange(0, 33)),
          "r" + std::to_string(*rc::gen::inRange(0, 3)));
    }
    const ClientTable table = BuildClientTable(mPlan);
    for (const ClientBlock& it : mPlan.mClientBlocks) {
      const std::uint64_t size = std::uint64_t{ 1 } << (32U - it.mPrefix);
      for (const std::uint64_t probe :
           { std::uint64_t{ it.mAddress } - 1, std::uint64_t{ it.mAddress }, it.mAddress + size }) {
        const auto address = static_cast<std::uint32_t>(probe);
        RC_ASSERT(RegionOfClient(table, address) == RegionOfClient(mPlan, address));
      }
    }
    const auto address = *rc::gen::arbitrary<std::uint32_t>();
    RC_ASSERT(RegionOfClient(table, address) == RegionOfClient(mPlan, address));
  });
}

} // namespace
} // namespace fighold::plan
