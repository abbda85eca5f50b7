#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Divides what a backend server can take in a second between the entries, without messages between
/// them.
namespace fighold::routes {

/// Whether a backend server limits its request rate, as an answer of it says.
struct RateStatement
{
  std::optional<double> mPerSecond; ///< requests/s from all entries together; nothing: no limit

  friend auto operator<=>(const RateStatement&, const RateStatement&) = default;
};

/// Entries that share the request rate of a server.
struct SharingEntries
{
  std::vector<EntryId> mAll;
  std::map<RegionId, std::vector<EntryId>> mByRegion; ///< the same entries
  EntryId mThis;                                      ///< the entry that asks for its share

  friend auto operator<=>(const SharingEntries&, const SharingEntries&) = default;
};

/// Share of one entry in the request rate of a server.
struct RateShare
{
  bool mIsSender = true;    ///< whether the entry may send to the server at all
  Millis mMinInterval{ 0 }; ///< minimum time between two requests
  Millis mFirstDelay{ 0 };  ///< time until the first request after the limit began

  friend auto operator<=>(const RateShare&, const RateShare&) = default;
};

/// Limit on the requests of one entry to a server.
struct RateLimit
{
  RateShare mShare;
  std::string mReason; ///< "cold", "maybe-cold" or "named"

  friend auto operator<=>(const RateLimit&, const RateLimit&) = default;
};

/// Divides a request rate equally between some of the entries, chosen by rendezvous hashing. Within
/// any second they send at most the rate plus one request each, whatever load each of them sees.
/// @param aServer server
/// @param aEntries entries to choose from
/// @param aThisEntry entry that asks for its share
/// @param aPerSecond requests/s of all entries together; 0: unlimited
/// @param aMaxSenders maximum number of entries that send to the server
/// @return share; the first delays of the entries spread their requests over the interval
RateShare
ComputeRateShare(const BackendServerId& aServer,
                 const std::vector<EntryId>& aEntries,
                 const EntryId& aThisEntry,
                 double aPerSecond,
                 std::size_t aMaxSenders);

/// Requests that a cold server tolerates: within any second, its rate times mBurstFactor plus
/// mBurstSlack, from all entries together.
struct ColdLimits
{
  double mPerSecond = 0;     ///< requests/s of a cold server; 0: unlimited
  double mBurstFactor = 1.5; ///< at least 1
  double mBurstSlack = 5;    ///< also the maximum number of entries that send to the server
  Millis mMaxHeartbeatAge = Millis::max(); ///< a server that was not heard for longer may be cold

  friend auto operator<=>(const ColdLimits&, const ColdLimits&) = default;
};

/// How the entries share a server that may be cold: each of some entries sends at most a number of
/// requests within any second.
struct ColdShares
{
  std::size_t mSenders = 1;
  std::size_t mPerSecond = 1; ///< requests/s of each sender

  friend auto operator<=>(const ColdShares&, const ColdShares&) = default;
};

/// @param aEntries number of entries
/// @return the division that leaves the least of the tolerated requests unused
ColdShares
DivideColdBurst(const ColdLimits& aLimits, std::size_t aEntries);

/// Requests that an entry may send to a server after each health answer that says it is not cold.
/// Until the entries learn that it has become cold, they together send at most what a cold server
/// tolerates within a second. With more entries than that, most of those that may send are in the
/// server's region.
/// @param aRegion region of the server
/// @return number of requests; 0: the entry leaves the server to others
std::size_t
HealthAnswerAllowance(const BackendServerId& aServer,
                      const RegionId& aRegion,
                      const SharingEntries& aEntries,
                      const ColdLimits& aLimits);

/// Share of an entry in the rate of a server that is cold or may be. The same entries send in both
/// cases, because some may know that the server is cold and others not.
/// @param aIsCold true: the server is known to be cold, so its rate is kept to; false: it may be,
/// so the entries together send what it tolerates
RateShare
ComputeColdShare(const BackendServerId& aServer,
                 const SharingEntries& aEntries,
                 const ColdLimits& aLimits,
                 bool aIsCold);

/// Share of an entry in the rate that a server names in its answers. A few entries of the server's
/// region share the rate. The others send so seldom that it adds little, since only an answer tells
/// them that the limit has ended.
/// @param aPerSecond named rate in requests/s
RateShare
ComputeNamedRateShare(const BackendServerId& aServer,
                      const RegionId& aRegion,
                      const SharingEntries& aEntries,
                      double aPerSecond);

} // namespace fighold::routes
