#include "entry_model.hpp"
#include "fighold/membership/protocol.hpp"
#include "fighold/routing/route.hpp"
#include "fighold/wire/codec.hpp"
#include "models.hpp"
#include "report.hpp"
#include "subjects.hpp"

namespace fighold::measure {
namespace {

constexpr double kMicrosInSecond = 1e6;
constexpr int kRepeats = 20;

/// @return mean time of one call, in microseconds
template<typename Function>
double
MeanMicros(const Function& aFunction)
{
  const Instant start = std::chrono::steady_clock::now();
  for (int n = 0; n < kRepeats; ++n) {
    aFunction();
  }
  return SecondsSince(start) * kMicrosInSecond / kRepeats;
}

membership::LeaseGrant
MakeGrant(const membership::Configuration& aConfiguration)
{
  membership::LeaseGrant grant;
  grant.mLength = membership::kConfigurationLease;
  grant.mVersion = aConfiguration.mVersion;
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    grant.mBackendLeases.push_back({ id, server.mIncarnation, Millis(1900), 3 });
  }
  return grant;
}

void
MeasureMessage(const std::string& aName, const membership::LeaseGrant& aGrant)
{
  const wire::Envelope envelope{ "c1", 1, aGrant };
  const std::string bytes = wire::EncodeEnvelope(envelope);
  Report(aName + "_bytes", static_cast<double>(bytes.size()));
  Report(aName + "_encode_us", MeanMicros([&] { (void)wire::EncodeEnvelope(envelope); }));
  Report(aName + "_decode_us", MeanMicros([&] { (void)wire::DecodeEnvelope(bytes); }));
}

void
MeasureRoute(const membership::Configuration& aConfiguration)
{
  constexpr int kRoutes = 1000;
  const auto table = routing::BuildRoutingTable(aConfiguration);
  routing::ServerStates states;
  const Instant now{ std::chrono::hours(1) };
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    states[id] = { now + Millis(1000), 0, {} };
  }
  const routing::RouteRequest request{ 1, { "vardia" }, { "region-0" }, {}, false, std::nullopt };
  const double micros = MeanMicros([&] {
    for (std::uint64_t n = 0; n < kRoutes; ++n) {
      (void)routing::Route(aConfiguration, table, states, request, { n, n, n }, now);
    }
  });
  Report("route_us", micros / kRoutes);
}

/// A look-up names every entry, so that its cost follows their number.
void
MeasureLookups(const membership::Configuration& aConfiguration)
{
  constexpr int kLookups = 100;
  EntryModel model(aConfiguration);
  model.Grant(aConfiguration);
  const std::uint32_t client = aConfiguration.mPlan->mClientBlocks.front().mAddress;
  int good = 0;
  const double micros = MeanMicros([&] {
    for (int n = 0; n < kLookups; ++n) {
      good += model.LookUp(client) ? 1 : 0;
    }
  });
  Report("lookup_decision_us", good > 0 ? micros / kLookups : -1);
}

} // namespace

void
MeasureMembers(int aEntries, int aServers)
{
  const auto configuration = MakeConfiguration(MakePlan(1000), aEntries, aServers);
  Report("entries", aEntries);
  Report("servers", aServers);
  const auto grant = MakeGrant(configuration);
  MeasureMessage("grant", grant);
  auto whole = grant;
  whole.mConfiguration = SharedValue(configuration);
  MeasureMessage("grant_with_configuration", whole);
  const membership::Change change{ {},
                                   membership::AnnounceBackendServer{
                                     { "new" }, configuration.mBackendServers.begin()->second } };
  Report("apply_change_us", MeanMicros([&] { (void)membership::Apply(configuration, change, 2); }));
  Report("build_table_us", MeanMicros([&] { (void)routing::BuildRoutingTable(configuration); }));
  MeasureRoute(configuration);
  MeasureLookups(configuration);
}

} // namespace fighold::measure
