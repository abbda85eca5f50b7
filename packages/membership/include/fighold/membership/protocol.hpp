#pragma once

#include "fighold/membership/change.hpp"
#include "fighold/membership/delta.hpp"
#include "fighold/membership/lease.hpp"

#include <compare>
#include <map>
#include <optional>
#include <vector>

/// Messages about leases and membership, as values.
namespace fighold::membership {

/// What an entry heard from a backend server.
struct BackendReport
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Millis mAge{ 0 };            ///< time since the backend server renewed
  std::uint32_t mInFlight = 0; ///< load that it reported
  Millis mCold{ 0 };           ///< time for which it said to stay cold, from when it renewed

  friend auto operator<=>(const BackendReport&, const BackendReport&) = default;
};

/// Bounds the age of a message: the receiver gave out mClockReading, a reading of its own monotonic
/// clock that means nothing to others, and the message was sent mElapsed after that reading
/// arrived.
struct EchoedTimestamp
{
  std::uint64_t mClockReading = 0; ///< 0: none was received yet
  Millis mElapsed{ 0 };

  friend auto operator<=>(const EchoedTimestamp&, const EchoedTimestamp&) = default;
};

/// @return reading of the own clock to give out
std::uint64_t
MakeTimestamp(Instant aNow);

/// @param aTimestamp stamp that came back
/// @param aNow time by the clock that gave it
/// @return a time not later than the one at which the message was sent; nothing when unknown
std::optional<Instant>
EarliestSendTime(const EchoedTimestamp& aTimestamp, Instant aNow);

/// Entry to control: asks for a configuration lease and passes on reports.
struct LeaseRenewal
{
  std::uint64_t mRequestNumber =
    0; ///< echoed by the grant; the lease counts from when this ask was sent
  EntryId mId;
  Entry mEntry;
  Version mHeld = 0;     ///< version in use
  bool mLeaving = false; ///< planned stop: take the entry out of the look-ups
  std::vector<BackendReport> mReports;
  EchoedTimestamp mTimestamp;    ///< last one that this control process gave
  std::uint32_t mInFlight = 0;   ///< requests of callers, for the progress of a drain
  std::uint64_t mRoutesHeld = 0; ///< number of the route set in use

  friend auto operator<=>(const LeaseRenewal&, const LeaseRenewal&) = default;
};

/// A backend server's lease as the granter knows it.
struct BackendLease
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Millis mRemaining{ 0 };
  std::uint32_t mInFlight = 0;
  Millis mCold{ 0 }; ///< time for which the server stays cold

  friend auto operator<=>(const BackendLease&, const BackendLease&) = default;
};

/// Control to entry: a configuration lease.
struct LeaseGrant
{
  std::uint64_t mRequestNumber = 0;
  Millis mLength{ 0 };
  Version mVersion = 0; ///< the holder must use this version or a later one
  std::optional<SharedValue<Configuration>>
    mConfiguration; ///< set when the holder's version is older
  std::vector<BackendLease> mBackendLeases;
  std::uint64_t mTimestamp = 0; ///< to be returned by the next renewal
  bool mSameRoutes = false;     ///< the holder has the route set of mConfiguration already
  /// Set in place of mConfiguration when the granter knows the holder's version.
  std::optional<SharedValue<ConfigurationDelta>> mDelta{};
  std::vector<ControlId> mControls{}; ///< voting control processes

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/// Entry to control: make a change on behalf of a backend server; answered once it is applied.
struct ChangeRequest
{
  std::uint64_t mRequestNumber = 0;
  Change mChange;

  friend bool operator==(const ChangeRequest&, const ChangeRequest&) = default;
};

/// Control to entry.
struct ChangeReply
{
  std::uint64_t mRequestNumber = 0;
  ChangeAnswer mAnswer;

  friend auto operator<=>(const ChangeReply&, const ChangeReply&) = default;
};

/// What a control process knows of an entry.
struct EntryStatus
{
  Incarnation mIncarnation = 0;
  Version mHeld = 0;
  Millis mAge{ 0 }; ///< time since the entry renewed
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const EntryStatus&, const EntryStatus&) = default;
};

/// Follower to leader: asks for the right to grant leases and passes on what its entries reported.
struct ControlLeaseRenewal
{
  std::uint64_t mRequestNumber = 0;
  Version mHeld = 0; ///< version up to which the follower has applied the log
  std::map<EntryId, EntryStatus> mEntries;
  std::vector<BackendReport> mReports;
  EchoedTimestamp mTimestamp;

  friend auto operator<=>(const ControlLeaseRenewal&, const ControlLeaseRenewal&) = default;
};

/// Leader to follower.
struct ControlLeaseGrant
{
  std::uint64_t mRequestNumber = 0;
  Millis mLength{ 0 };
  Version mVersion = 0; ///< the follower may grant leases only with this version or a later one
  Version mInForce = 0; ///< version that is in force everywhere
  std::vector<BackendLease> mBackendLeases;
  std::uint64_t mTimestamp = 0;

  friend auto operator<=>(const ControlLeaseGrant&, const ControlLeaseGrant&) = default;
};

} // namespace fighold::membership
