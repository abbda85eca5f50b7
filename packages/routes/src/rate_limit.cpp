#include "fighold/routes/rate_limit.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace fighold::routes {
namespace {

/// Requests of those that a cold server tolerates within a second that are not given to any entry:
/// an entry that was started or cut off meanwhile may divide them differently.
constexpr double kColdReserve = 1;

/// Factor on the rate of an entry that may send a number of requests within any second: requests
/// that waited for a connection arrive closer together than they were sent.
constexpr double kSendJitterFactor = 0.95;

/// Entries that share a named rate: one, and as many more for each request/s. Within any span they
/// may together send one request each beyond the rate, which must stay small beside it.
constexpr double kNamedSendersPerRate = 2;
constexpr double kMaxNamedSenders = 5;

/// Rate at which the other entries together send to a server that named a limit, in requests/s.
constexpr double kNamedRecheckPerSecond = 1;

/// Part of the entries that may send after a health answer that is not in the server's region: they
/// serve the callers of regions without a server.
constexpr std::size_t kFarSendersDivisor = 4;

Millis
RoundUp(double aMillis)
{
  return Millis(static_cast<std::int64_t>(std::ceil(aMillis)));
}

/// @return requests within a second that the entries together may send to a cold server
std::size_t
ToleratedPerSecond(const ColdLimits& aLimits)
{
  const double burst = aLimits.mPerSecond * aLimits.mBurstFactor + aLimits.mBurstSlack;
  return static_cast<std::size_t>(std::max(1.0, burst - kColdReserve));
}

/// @param aIsCandidate whether an entry is ranked
/// @return number of candidates that come before an entry in the ranking of a server
template<typename IsCandidate>
std::size_t
RankOf(const BackendServerId& aServer,
       const std::vector<EntryId>& aEntries,
       const EntryId& aEntry,
       const IsCandidate& aIsCandidate)
{
  const std::uint64_t seed = detail::Hash(aServer.mValue, 0);
  const std::uint64_t ownHash = detail::Hash(aEntry.mValue, seed);
  return static_cast<std::size_t>(
    std::count_if(aEntries.begin(), aEntries.end(), [&](const EntryId& aOther) {
      return aOther != aEntry && aIsCandidate(aOther) &&
             detail::Hash(aOther.mValue, seed) > ownHash;
    }));
}

} // namespace

RateShare
ComputeRateShare(const BackendServerId& aServer,
                 const std::vector<EntryId>& aEntries,
                 const EntryId& aThisEntry,
                 double aPerSecond,
                 std::size_t aMaxSenders)
{
  if (aPerSecond <= 0) {
    return {};
  }
  const std::size_t rank =
    RankOf(aServer, aEntries, aThisEntry, [](const EntryId& /*aEntry*/) { return true; });
  const std::size_t senders = std::max<std::size_t>(1, std::min(aMaxSenders, aEntries.size()));
  constexpr double kMillisPerSecond = 1000;
  const double perRequest = kMillisPerSecond / aPerSecond;
  return { rank < senders,
           RoundUp(perRequest * static_cast<double>(senders)),
           RoundUp(perRequest * static_cast<double>(rank + 1)) };
}

ColdShares
DivideColdBurst(const ColdLimits& aLimits, std::size_t aEntries)
{
  const std::size_t tolerated = ToleratedPerSecond(aLimits);
  const std::size_t maxSenders = std::min(aEntries, static_cast<std::size_t>(aLimits.mBurstSlack));
  ColdShares best;
  for (std::size_t senders = 1; senders <= maxSenders; ++senders) {
    const std::size_t each = tolerated / senders;
    if (each > 0 && senders * each >= best.mSenders * best.mPerSecond) {
      best = { senders, each };
    }
  }
  return best;
}

std::size_t
HealthAnswerAllowance(const BackendServerId& aServer,
                      const RegionId& aRegion,
                      const SharingEntries& aEntries,
                      const ColdLimits& aLimits)
{
  const std::size_t tolerated = ToleratedPerSecond(aLimits);
  if (aEntries.mAll.size() <= tolerated) {
    return tolerated / std::max<std::size_t>(1, aEntries.mAll.size());
  }
  static const std::vector<EntryId> kNone;
  const auto found = aEntries.mByRegion.find(aRegion);
  const auto& near = found == aEntries.mByRegion.end() ? kNone : found->second;
  const std::size_t nearSenders = std::min(near.size(), tolerated - tolerated / kFarSendersDivisor);
  const auto isNear = [&near](const EntryId& aEntry) {
    return std::find(near.begin(), near.end(), aEntry) != near.end();
  };
  if (isNear(aEntries.mThis)) {
    const auto isAny = [](const EntryId& /*aEntry*/) { return true; };
    return RankOf(aServer, near, aEntries.mThis, isAny) < nearSenders ? 1 : 0;
  }
  const auto isFar = [&isNear](const EntryId& aEntry) { return !isNear(aEntry); };
  const std::size_t farSenders = tolerated - nearSenders;
  return RankOf(aServer, aEntries.mAll, aEntries.mThis, isFar) < farSenders ? 1 : 0;
}

RateShare
ComputeColdShare(const BackendServerId& aServer,
                 const SharingEntries& aEntries,
                 const ColdLimits& aLimits,
                 bool aIsCold)
{
  const ColdShares shares = DivideColdBurst(aLimits, aEntries.mAll.size());
  const double burst = static_cast<double>(shares.mSenders * shares.mPerSecond) * kSendJitterFactor;
  return ComputeRateShare(
    aServer, aEntries.mAll, aEntries.mThis, aIsCold ? aLimits.mPerSecond : burst, shares.mSenders);
}

RateShare
ComputeNamedRateShare(const BackendServerId& aServer,
                      const RegionId& aRegion,
                      const SharingEntries& aEntries,
                      double aPerSecond)
{
  // Entries of other regions send few requests to a server, so that their shares would mostly stay
  // unused.
  const auto near = aEntries.mByRegion.find(aRegion);
  const auto& sharers = near == aEntries.mByRegion.end() ? aEntries.mAll : near->second;
  const double senders = std::clamp(1 + kNamedSendersPerRate * aPerSecond, 1.0, kMaxNamedSenders);
  if (std::find(sharers.begin(), sharers.end(), aEntries.mThis) != sharers.end()) {
    const RateShare share = ComputeRateShare(
      aServer, sharers, aEntries.mThis, aPerSecond, static_cast<std::size_t>(senders));
    if (share.mIsSender) {
      return share;
    }
  }
  RateShare others = ComputeRateShare(
    aServer, aEntries.mAll, aEntries.mThis, kNamedRecheckPerSecond, aEntries.mAll.size());
  others.mIsSender = true;
  return others;
}

} // namespace fighold::routes
