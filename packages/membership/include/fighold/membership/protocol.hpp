#pragma once

#include "fighold/membership/change.hpp"
#include "fighold/membership/delta.hpp"
#include "fighold/membership/indexed_leases.hpp"
#include "fighold/membership/lease.hpp"

#include <compare>
#include <map>
#include <optional>
#include <vector>

/// Messages about leases and membership.
namespace fighold::membership {

/// Report of an entry on a backend server.
struct BackendReport
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Millis mAge{ 0 };            ///< time since the backend server renewed
  std::uint32_t mInFlight = 0; ///< reported load
  Millis mCold{ 0 };           ///< reported time from the renewal for which its caches stay cold

  friend auto operator<=>(const BackendReport&, const BackendReport&) = default;
};

/// A timestamp that a sender returns to the process that issued it, to bound the age of the
/// message. mClockReading is a reading of the issuer's monotonic clock and opaque to others.
/// mElapsed is the time from the arrival of the timestamp at the sender until the message was sent.
struct EchoedTimestamp
{
  std::uint64_t mClockReading = 0; ///< 0: none received yet
  Millis mElapsed{ 0 };

  friend auto operator<=>(const EchoedTimestamp&, const EchoedTimestamp&) = default;
};

/// @return reading of the local clock to send to a peer
std::uint64_t
MakeTimestamp(Instant aNow);

/// @param aTimestamp echoed timestamp
/// @param aNow time by the clock that issued it
/// @return lower bound of the time at which the message was sent; nothing when unknown
std::optional<Instant>
EarliestSendTime(const EchoedTimestamp& aTimestamp, Instant aNow);

/// Entry to control: renews the configuration lease and forwards reports of backend servers.
struct LeaseRenewal
{
  std::uint64_t mRequestNumber = 0; ///< echoed by the grant; the lease counts from the request
  EntryId mId;
  Entry mEntry;
  Version mHeld = 0;     ///< version in use by the entry
  bool mLeaving = false; ///< planned stop: remove the entry from look-ups
  std::vector<BackendReport> mReports;
  EchoedTimestamp mTimestamp;    ///< the latest that this control process issued
  std::uint32_t mInFlight = 0;   ///< callers' requests in progress, shown during a drain
  std::uint64_t mRoutesHeld = 0; ///< number of the route set in use
  /// The grant may be without the configuration if no delta, or only a large one, leads to it:
  /// another renewal has asked for it.
  bool mOmitWhole = false;

  friend auto operator<=>(const LeaseRenewal&, const LeaseRenewal&) = default;
};

/// Control to entry: grants a configuration lease.
struct LeaseGrant
{
  std::uint64_t mRequestNumber = 0;
  Millis mLength{ 0 };
  Version mVersion = 0; ///< the entry must use this version or a later one
  std::optional<SharedValue<Configuration>>
    mConfiguration; ///< set when the entry's version is older
  std::vector<BackendLease> mBackendLeases;
  std::uint64_t mTimestamp = 0; ///< to be echoed by the next renewal
  bool mSameRoutes = false;     ///< the entry already has the route set of mConfiguration
  /// Set instead of mConfiguration when the control process still has the entry's version.
  std::optional<SharedValue<ConfigurationDelta>> mDelta{};
  std::vector<ControlId> mControls{}; ///< voting control processes
  IndexedLeases mIndexedLeases{};     ///< mBackendLeases on the wire, indexed by mVersion

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/// Replaces the leases of a grant by indexed ones.
/// @param aConfiguration configuration of the sender; with another version than the grant's, the
/// leases stay as they are
LeaseGrant
WithIndexedLeases(LeaseGrant aGrant, const Configuration& aConfiguration);

/// Entry to control: requests a change on behalf of a backend server; answered once it is applied.
struct ChangeRequest
{
  std::uint64_t mRequestNumber = 0;
  Change mChange;

  friend bool operator==(const ChangeRequest&, const ChangeRequest&) = default;
};

/// Control to entry: reply to ChangeRequest.
struct ChangeReply
{
  std::uint64_t mRequestNumber = 0;
  ChangeAnswer mAnswer;

  friend auto operator<=>(const ChangeReply&, const ChangeReply&) = default;
};

/// Status of an entry as seen by a control process.
struct EntryStatus
{
  Incarnation mIncarnation = 0;
  Version mHeld = 0;
  Millis mAge{ 0 }; ///< time since the entry renewed
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const EntryStatus&, const EntryStatus&) = default;
};

/// Follower to leader: renews the right to grant leases and forwards the reports of its entries.
struct ControlLeaseRenewal
{
  std::uint64_t mRequestNumber = 0;
  Version mHeld = 0; ///< version up to which the follower has applied the log
  std::map<EntryId, EntryStatus> mEntries;
  std::vector<BackendReport> mReports;
  EchoedTimestamp mTimestamp;

  friend auto operator<=>(const ControlLeaseRenewal&, const ControlLeaseRenewal&) = default;
};

/// Leader to follower: grants the right to grant leases.
struct ControlLeaseGrant
{
  std::uint64_t mRequestNumber = 0;
  Millis mLength{ 0 };
  Version mVersion = 0; ///< the follower may grant leases only with this version or a later one
  Version mInForce = 0; ///< version in force on all entries
  std::vector<BackendLease> mBackendLeases;
  std::uint64_t mTimestamp = 0;

  friend auto operator<=>(const ControlLeaseGrant&, const ControlLeaseGrant&) = default;
};

} // namespace fighold::membership
