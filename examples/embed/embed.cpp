// Uses fighold as a library: loads a chart, parses a sheet, and routes one request, without threads
// or sockets.
//
//   embed CHART SHEET

#include "fighold/chart/chart.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/membership/change.hpp"
#include "fighold/membership/lease.hpp"
#include "fighold/plan/client_table.hpp"
#include "fighold/plan/sheet.hpp"
#include "fighold/routing/route.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

using namespace fighold;

namespace {

/// Three backend servers of the service vardia in the region attiki, announced as control would.
membership::Configuration
MakeConfiguration(const plan::Plan& aPlan)
{
  membership::Configuration configuration;
  const membership::Change submit{ { "first" }, membership::SubmitPlan{ "", SharedValue(aPlan) } };
  configuration = *membership::Apply(configuration, submit, 1).mConfiguration;
  for (int n = 1; n <= 3; ++n) {
    membership::BackendServer server;
    server.mIncarnation = 1;
    server.mService = { "vardia" };
    server.mRegion = { "attiki" };
    server.mSlots = 6;
    const membership::Change announce{
      {}, membership::AnnounceBackendServer{ { "attiki-vardia-" + std::to_string(n) }, server }
    };
    configuration =
      *membership::Apply(configuration, announce, configuration.mVersion + 1).mConfiguration;
  }
  return configuration;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc != 3) {
    std::cerr << "usage: embed CHART SHEET\n";
    return 2;
  }
  const auto chart = chart::LoadChart(aArgv[1]);
  std::ifstream file(aArgv[2]);
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  const auto plan = plan::ParseSheet(text, aArgv[2]);
  if (!chart.mValue || !plan.mValue) {
    std::cerr << FormatFindings(chart.mFindings) << FormatFindings(plan.mFindings);
    return 1;
  }
  std::cout << "chart with " << chart.mValue->mStates.size() << " states, plan "
            << plan.mValue->mNumber << "\n";

  const auto configuration = MakeConfiguration(*plan.mValue);
  const Instant now = std::chrono::steady_clock::now();
  routing::ServerStates states;
  for (const auto& [id, server] : configuration.mBackendServers) {
    states[id].mAliveUntil = now + membership::kBackendServerLease;
  }
  const auto clients = plan::BuildClientTable(*plan.mValue);
  routing::RouteRequest request;
  request.mService = { "vardia" };
  request.mOrigin = plan::RegionOfClient(clients, 10U << 24U | 10U << 16U | 1U).value();
  const auto decision = routing::Route(
    configuration, routing::BuildRoutingTable(configuration), states, request, { 0, 0, 0 }, now);
  std::cout << FormatDecision(decision.mRecord) << "\n";
  return decision.mCandidate ? 0 : 1;
}
