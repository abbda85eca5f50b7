#include "fighold/routes/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace fighold::routes {
namespace {

/// Host names are compared without case and without the port.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

} // namespace

RouteTable
BuildRouteTable(SharedValue<RouteSet> aSet)
{
  RouteTable table{ std::move(aSet), {} };
  for (const auto& [name, route] : table.mSet->mRoutes) {
    table.mHosts[NormalizeHost(route.mHost)][route.mPathPrefix] = &route;
  }
  return table;
}

const Route*
FindRoute(const RouteTable& aTable, std::string_view aHost, std::string_view aTarget)
{
  const auto host = aTable.mHosts.find(NormalizeHost(aHost));
  if (host == aTable.mHosts.end()) {
    return nullptr;
  }
  std::string path(aTarget.substr(0, aTarget.find_first_of("?#")));
  while (true) {
    const auto slash = path.rfind('/');
    if (slash == std::string::npos) {
      return nullptr;
    }
    path.resize(slash + 1);
    const auto it = host->second.find(path);
    if (it != host->second.end()) {
      return it->second;
    }
    path.resize(slash);
  }
}

std::size_t
PickNext(WeightedRoundRobin& aRoundRobin, const std::vector<double>& aWeights)
{
  const double sum = std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  if (sum <= 0) {
    return 0;
  }
  aRoundRobin.mCredits.resize(aWeights.size(), 0);
  for (std::size_t n = 0; n < aWeights.size(); ++n) {
    aRoundRobin.mCredits[n] += aWeights[n] / sum;
  }
  std::size_t best = aWeights.size();
  for (std::size_t n = 0; n < aWeights.size(); ++n) {
    if (aWeights[n] > 0 &&
        (best == aWeights.size() || aRoundRobin.mCredits[n] > aRoundRobin.mCredits[best])) {
      best = n;
    }
  }
  aRoundRobin.mCredits[best] -= 1;
  return best;
}

WeightedRoundRobin
StartRoundRobin(const std::vector<double>& aWeights, std::uint64_t aPosition)
{
  WeightedRoundRobin roundRobin;
  for (std::uint64_t n = aPosition % kRoundRobinStarts; n > 0; --n) {
    PickNext(roundRobin, aWeights);
  }
  return roundRobin;
}

} // namespace fighold::routes
