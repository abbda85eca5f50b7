#include "fighold/wire/codec.hpp"
#include "fighold/wire/traffic.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::wire {
namespace {

using namespace membership;

/// Link of an entry in the deployment with the narrowest links.
constexpr double kLinkBytesPerSecond = 250'000;

/// Heartbeats of a server, and grants to an entry, in a second.
constexpr double kHeartbeatsPerSecond = 1;
constexpr double kGrantsPerSecond = 2;

/// A deployment of a number of entries and backend servers.
struct GrantSizeFixture
{
  Configuration mConfiguration;

  void Deploy(std::size_t aEntries, std::size_t aServers)
  {
    mConfiguration = {};
    mConfiguration.mVersion = 5000;
    for (std::size_t n = 0; n < aEntries; ++n) {
      Entry entry;
      entry.mIncarnation = 1'700'000'000'000 + n;
      entry.mAddress = { "10.1.128." + std::to_string(n), 8548 };
      entry.mRegion = { "makedonia" };
      entry.mDataCentre = { "makedonia-a" };
      mConfiguration.mEntries[{ "edge-makedonia-a-" + std::to_string(n) }] = entry;
    }
    for (std::size_t n = 0; n < aServers; ++n) {
      mConfiguration.mBackendServers[ServerId(n)] = MakeServer(n);
    }
  }

  static BackendServerId ServerId(std::size_t aNumber)
  {
    return { "i-" + std::to_string(1'000'000'000 + aNumber * 7919) };
  }

  static BackendServer MakeServer(std::size_t aNumber)
  {
    BackendServer server;
    server.mIncarnation = 1'700'000'000'000 + aNumber;
    server.mService = { "huvo11a" };
    server.mRegion = { "makedonia" };
    server.mDataCentre = { "makedonia-a" };
    server.mAddress = { "10.131.64." + std::to_string(aNumber % 250), 8109 };
    server.mSlots = 9;
    return server;
  }

  /// @return bytes of a grant
  std::size_t SizeOf(const LeaseGrant& aGrant) const
  {
    return EncodeEnvelope({ "10.1.0.34:8548", 1, WithIndexedLeases(aGrant, mConfiguration) })
      .size();
  }

  LeaseGrant MakeGrant() const
  {
    LeaseGrant grant;
    grant.mRequestNumber = 12'345;
    grant.mLength = kConfigurationLease;
    grant.mVersion = mConfiguration.mVersion;
    grant.mTimestamp = 123'456'789'012'345;
    for (int n = 0; n < 5; ++n) {
      grant.mControls.push_back({ "10.1.0.3" + std::to_string(n) + ":8548" });
    }
    return grant;
  }

  /// @return grant with the leases of the servers that had a heartbeat since the last grant
  LeaseGrant CalmGrant() const
  {
    LeaseGrant grant = MakeGrant();
    const double servers = kHeartbeatsPerSecond / kGrantsPerSecond;
    double due = 0;
    for (const auto& [id, server] : mConfiguration.mBackendServers) {
      due += servers;
      if (due >= 1) {
        due -= 1;
        grant.mBackendLeases.push_back({ id, server.mIncarnation, Millis(4300), 0, Millis(0) });
      }
    }
    return grant;
  }
};

// Guards against leases and grants that crowd out the callers' answers on the link of an entry:
// they took 30 bytes a server and heartbeat.
TEST_CASE_METHOD(GrantSizeFixture,
                 "Grants of an entry, calm deployment of any size, take a tenth of its link",
                 "[wire]")
{
  for (const std::size_t entries : { 30, 100, 200 }) {
    for (const std::size_t servers : { 100, 1080 }) {
      Deploy(entries, servers);
      const double bytes = static_cast<double>(SizeOf(CalmGrant())) * kGrantsPerSecond;
      INFO(entries << " entries, " << servers << " servers: " << bytes << " bytes/s");
      CHECK(bytes <= kLinkBytesPerSecond / 10);
    }
  }
}

// Guards against a release of half of the servers that fills the links: each server is replaced
// within 20 s, which makes a change for the new one and one for the old one.
TEST_CASE_METHOD(GrantSizeFixture,
                 "Grants of an entry, release of half of the servers, take a third of its link",
                 "[wire]")
{
  constexpr std::size_t kServers = 1080;
  constexpr std::size_t kGrantsOfRelease = 40;
  Deploy(200, kServers);
  ChangeJournal journal;
  double bytes = 0;
  const Configuration before = mConfiguration;
  std::size_t next = 0;
  for (std::size_t n = 0; n < kGrantsOfRelease; ++n) {
    const Version held = mConfiguration.mVersion;
    for (; next < (n + 1) * kServers / 2 / kGrantsOfRelease; ++next) {
      for (const bool isNew : { true, false }) {
        const Configuration previous = mConfiguration;
        if (isNew) {
          mConfiguration.mBackendServers[ServerId(kServers + next)] = MakeServer(kServers + next);
        } else {
          mConfiguration.mDeparted[ServerId(next)] = { MakeServer(next).mIncarnation };
          mConfiguration.mBackendServers.erase(ServerId(next));
        }
        ++mConfiguration.mVersion;
        AppendVersion(journal, previous, mConfiguration, { 4096, 4U << 20U });
      }
    }
    LeaseGrant grant = CalmGrant();
    auto delta = MakeDelta(journal, held, mConfiguration);
    REQUIRE(delta);
    grant.mDelta = SharedValue(*delta);
    bytes += static_cast<double>(SizeOf(grant));
  }
  INFO(bytes << " bytes in 20 s");
  CHECK(bytes / (kGrantsOfRelease / kGrantsPerSecond) <= kLinkBytesPerSecond / 3);
  const auto all = MakeDelta(journal, before.mVersion, mConfiguration);
  REQUIRE(all);
  CHECK(ApplyDelta(before, *all) == mConfiguration);
}

// Guards against figures of the traffic that are booked under the wrong kind.
TEST_CASE_METHOD(GrantSizeFixture,
                 "DescribeTraffic, messages of several kinds, names the bytes per second of each",
                 "[wire]")
{
  Deploy(1, 1);
  LeaseGrant whole = MakeGrant();
  whole.mConfiguration = SharedValue(mConfiguration);
  LeaseGrant delta = MakeGrant();
  delta.mDelta = SharedValue(ConfigurationDelta{});
  TrafficCounter counter;
  counter.CountReceived(KindOf(whole), 1000);
  const Traffic before = counter.Read();
  counter.CountReceived(KindOf(whole), 2000);
  counter.CountReceived(KindOf(delta), 500);
  counter.CountReceived(KindOf(MakeGrant()), 100);
  counter.CountSent(KindOf(LeaseRenewal{}), 50);
  counter.CountUnreadable();
  counter.CountUnsent();
  const auto record = DescribeTraffic("e1", before, counter.Read(), std::chrono::seconds(5));
  const std::vector<Field> expected{
    { "sent_renewal", "10" },          { "received_grant", "20" },
    { "received_grant_delta", "100" }, { "received_grant_whole", "400" },
    { "unsent_messages", "1" },        { "unreadable_messages", "1" }
  };
  CHECK(record.mFields == expected);
  const auto gauges = GaugesOf(counter.Read());
  const TrafficGauge wholeBytes{ "message_bytes",
                                 { { "kind", "grant_whole" }, { "direction", "received" } },
                                 3000 };
  const TrafficGauge unsent{ "messages_unsent", {}, 1 };
  CHECK(gauges.size() == 4 * kMessageKinds + 2);
  CHECK(std::find(gauges.begin(), gauges.end(), unsent) != gauges.end());
  CHECK(gauges.back() == TrafficGauge{ "messages_unreadable", {}, 1 });
  CHECK(std::find(gauges.begin(), gauges.end(), wholeBytes) != gauges.end());
}

} // namespace
} // namespace fighold::wire
