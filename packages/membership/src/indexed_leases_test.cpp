#include "fighold/membership/indexed_leases.hpp"
#include "fighold/membership/protocol.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::membership {
namespace {

/// A configuration of some backend servers.
struct IndexedLeasesFixture
{
  Configuration mConfiguration;

  void AddServers(std::size_t aCount)
  {
    mConfiguration.mVersion = 7;
    for (std::size_t n = 0; n < aCount; ++n) {
      BackendServer server;
      server.mIncarnation = 100 + n;
      mConfiguration.mBackendServers[{ "i-" + std::to_string(n) }] = server;
    }
  }
};

// Guards against leases that reach another server than the one that renewed, or end later than its
// heartbeat allows, or a cold time that ends too early.
TEST_CASE_METHOD(IndexedLeasesFixture,
                 "ExpandLeases, indexed leases of any servers, give these leases rounded safely",
                 "[membership]")
{
  rc::prop("leases keep their servers", [] {
    IndexedLeasesFixture fixture;
    fixture.AddServers(*rc::gen::inRange<std::size_t>(0, 40));
    std::vector<BackendLease> leases;
    for (const auto& [id, server] : fixture.mConfiguration.mBackendServers) {
      if (*rc::gen::arbitrary<bool>()) {
        leases.push_back({ id,
                           server.mIncarnation,
                           Millis(*rc::gen::inRange(0, 5000)),
                           *rc::gen::inRange<std::uint32_t>(0, 3),
                           Millis(*rc::gen::inRange(0, 100)) });
      }
    }
    const auto expanded =
      ExpandLeases(fixture.mConfiguration, IndexLeases(fixture.mConfiguration, leases));
    RC_ASSERT(expanded.size() == leases.size());
    for (std::size_t n = 0; n < leases.size(); ++n) {
      RC_ASSERT(expanded[n].mId == leases[n].mId);
      RC_ASSERT(expanded[n].mIncarnation == leases[n].mIncarnation);
      RC_ASSERT(expanded[n].mInFlight == leases[n].mInFlight);
      RC_ASSERT(expanded[n].mRemaining <= leases[n].mRemaining);
      RC_ASSERT(expanded[n].mRemaining + kLeaseUnit > leases[n].mRemaining);
      RC_ASSERT(expanded[n].mCold >= leases[n].mCold);
      RC_ASSERT(expanded[n].mCold < leases[n].mCold + kLeaseUnit);
    }
  });
}

// Guards against the lease of an incarnation that is not registered, or of a server that is
// unknown, being taken for the lease of another one.
TEST_CASE_METHOD(IndexedLeasesFixture,
                 "IndexLeases, leases of other incarnations and servers, leaves them out",
                 "[membership]")
{
  AddServers(3);
  const std::vector<BackendLease> leases{ { { "a" }, 1, Millis(100), 0, Millis(0) },
                                          { { "i-0" }, 100, Millis(100), 0, Millis(0) },
                                          { { "i-1" }, 5, Millis(100), 0, Millis(0) },
                                          { { "z" }, 1, Millis(100), 0, Millis(0) } };
  const auto expanded = ExpandLeases(mConfiguration, IndexLeases(mConfiguration, leases));
  REQUIRE(expanded.size() == 1);
  CHECK(expanded.front().mId.mValue == "i-0");
}

// Guards against malformed leases that name servers outside the configuration or lack a value.
TEST_CASE_METHOD(IndexedLeasesFixture, "ExpandLeases, malformed leases, gives none", "[membership]")
{
  AddServers(3);
  const std::vector<IndexedLeases> malformed{ { { 3 }, { 2 }, {}, {} },
                                              { { 0, 0 }, { 2 }, {}, {} },
                                              { { 0 }, { 2 }, { 1, 1 }, {} },
                                              { { 0 }, { 2 }, {}, { 1, 1 } },
                                              { { 4'294'967'295U, 1 }, { 2, 2 }, {}, {} } };
  for (const IndexedLeases& it : malformed) {
    CHECK(ExpandLeases(mConfiguration, it).empty());
  }
}

// Guards against leases indexed by a version that the receiver does not have.
TEST_CASE_METHOD(IndexedLeasesFixture,
                 "WithIndexedLeases, grant of another version, keeps the identifiers",
                 "[membership]")
{
  AddServers(3);
  LeaseGrant grant;
  grant.mVersion = 6;
  grant.mBackendLeases = { { { "i-0" }, 100, Millis(100), 0, Millis(0) } };
  CHECK(WithIndexedLeases(grant, mConfiguration) == grant);
  grant.mVersion = 7;
  CHECK(WithIndexedLeases(grant, mConfiguration).mBackendLeases.empty());
}

} // namespace
} // namespace fighold::membership
