#include "entry_model.hpp"
#include "models.hpp"
#include "report.hpp"
#include "subjects.hpp"

#include "fighold/plan/client_table.hpp"
#include "fighold/plan/sheet.hpp"
#include "fighold/wire/codec.hpp"

#include <malloc.h>
#include <random>
#include <unistd.h>

namespace fighold::measure {
namespace {

constexpr int kLookups = 200'000;
constexpr double kNanosInSecond = 1e9;
constexpr double kMicrosInSecond = 1e6;
constexpr double kMillisInSecond = 1e3;

/// @return memory in use after free pages were given back
double
MemoryNow()
{
  ::malloc_trim(0);
  return ResidentMebibytes(::getpid());
}

/// Addresses of clients: most lie in a block, one in eight anywhere.
std::vector<std::uint32_t>
MakeClients(const plan::Plan& aPlan)
{
  constexpr std::uint64_t kElsewhereEvery = 8;
  std::mt19937_64 random(7);
  std::vector<std::uint32_t> clients(kLookups);
  for (std::uint32_t& it : clients) {
    const auto& block = aPlan.mClientBlocks[random() % aPlan.mClientBlocks.size()];
    const auto low = static_cast<std::uint32_t>(random());
    it = random() % kElsewhereEvery == 0 ? low : block.mAddress + (low & 15U);
  }
  return clients;
}

/// Time of each look-up.
template<typename Function>
void
MeasureLookups(const std::string& aName,
               const std::vector<std::uint32_t>& aClients,
               const Function& aLookUp)
{
  std::vector<double> nanos;
  nanos.reserve(kLookups);
  std::uint64_t found = 0;
  Instant start = std::chrono::steady_clock::now();
  for (const std::uint32_t it : aClients) {
    found += aLookUp(it).has_value() ? 1 : 0;
  }
  Report(aName + "_per_second_and_core", kLookups / SecondsSince(start));
  for (const std::uint32_t it : aClients) {
    start = std::chrono::steady_clock::now();
    found += aLookUp(it).has_value() ? 1 : 0;
    nanos.push_back(SecondsSince(start) * kNanosInSecond);
  }
  Report(aName + "_p50_ns", Quantile(nanos, 0.5));
  Report(aName + "_p99_ns", Quantile(nanos, 0.99));
  Report(aName + "_found_part", static_cast<double>(found) / (2.0 * kLookups));
}

template<typename Function>
void
MeasureDecisions(const std::string& aName,
                 const std::vector<std::uint32_t>& aClients,
                 const Function& aDecide)
{
  constexpr int kDecisions = 20'000;
  std::vector<double> micros;
  int good = 0;
  const Instant begin = std::chrono::steady_clock::now();
  for (int n = 0; n < kDecisions; ++n) {
    const std::uint32_t client = aClients[static_cast<std::size_t>(n)];
    const Instant start = std::chrono::steady_clock::now();
    good += aDecide(client) ? 1 : 0;
    micros.push_back(SecondsSince(start) * kMicrosInSecond);
  }
  Report(aName + "_per_second_and_core", kDecisions / SecondsSince(begin));
  Report(aName + "_p99_us", Quantile(micros, 0.99));
  Report(aName + "_good_part", static_cast<double>(good) / kDecisions);
}

void
MeasureSheet(const plan::Plan& aPlan)
{
  Instant start = std::chrono::steady_clock::now();
  const std::string sheet = plan::FormatSheet(aPlan);
  Report("sheet_mib", static_cast<double>(sheet.size()) / (1U << 20U));
  start = std::chrono::steady_clock::now();
  const bool good = plan::ParseSheet(sheet, "sheet").mValue.has_value();
  Report("sheet_parse_ms", good ? SecondsSince(start) * kMillisInSecond : -1);
  start = std::chrono::steady_clock::now();
  (void)plan::Digest(aPlan);
  Report("plan_digest_ms", SecondsSince(start) * kMillisInSecond);
}

/// The message that brings a configuration to an entry.
void
MeasureGrant(const membership::Configuration& aConfiguration)
{
  membership::LeaseGrant grant;
  grant.mVersion = aConfiguration.mVersion;
  grant.mConfiguration = SharedValue(aConfiguration);
  Instant start = std::chrono::steady_clock::now();
  const std::string bytes = wire::EncodeEnvelope({ "c1", 1, grant });
  Report("grant_encode_ms", SecondsSince(start) * kMillisInSecond);
  Report("grant_mib", static_cast<double>(bytes.size()) / (1U << 20U));
  start = std::chrono::steady_clock::now();
  const bool good = wire::DecodeEnvelope(bytes).has_value();
  Report("grant_decode_ms", good ? SecondsSince(start) * kMillisInSecond : -1);
}

} // namespace

void
MeasureBlocks(int aBlocks)
{
  const double empty = MemoryNow();
  const plan::Plan plan = MakePlan(aBlocks);
  const auto clients = MakeClients(plan);
  const double withPlan = MemoryNow();
  Report("blocks", aBlocks);
  Report("plan_memory_mib", withPlan - empty);
  const Instant start = std::chrono::steady_clock::now();
  const auto table = plan::BuildClientTable(plan);
  Report("table_build_ms", SecondsSince(start) * kMillisInSecond);
  Report("table_memory_mib", MemoryNow() - withPlan);
  Report("table_ranges", static_cast<double>(table.mStarts.size()));
  MeasureLookups("region_by_blocks", clients, [&plan](std::uint32_t aClient) {
    return plan::RegionOfClient(plan, aClient);
  });
  MeasureLookups("region_by_table", clients, [&table](std::uint32_t aClient) {
    return plan::RegionOfClient(table, aClient);
  });
  MeasureSheet(plan);
  MeasureGrant(MakeConfiguration(plan, 9, 36));
  auto configuration = MakeConfiguration(plan, 9, 36);
  EntryModel model(configuration);
  Report("entry_apply_new_plan_ms", model.Grant(configuration) * kMillisInSecond);
  ++configuration.mVersion;
  configuration.mBackendServers[{ "server-new" }] = configuration.mBackendServers.begin()->second;
  model.mNow += membership::kRenewInterval;
  Report("entry_apply_one_server_ms", model.Grant(configuration) * kMillisInSecond);
  MeasureDecisions(
    "lookup_decision", clients, [&model](std::uint32_t aClient) { return model.LookUp(aClient); });
  MeasureDecisions("request_decision", clients, [&model](std::uint32_t aClient) {
    return model.Request(aClient);
  });
}

} // namespace fighold::measure
