#pragma once

#include "fighold/agreement/node.hpp"
#include "fighold/chart/bound_chart.hpp"
#include "fighold/claims/replica.hpp"
#include "fighold/control/event.hpp"
#include "fighold/membership/backend_lifecycle.hpp"
#include "fighold/routing/shift.hpp"

#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// State of a control process's decisions, owned by the decide thread.
namespace fighold::control {

/// Configuration versions from which an entry can get a delta. Entries renew twice a second; when
/// hundreds of machines start together, each of them makes a version. The bytes bound the memory
/// when versions change many routes each.
constexpr membership::JournalLimits kJournalLimits{ 4096, 4U << 20U };

/// States of charts/plan_change.scxml, in the order of its registry.
enum class CallStage : std::uint8_t
{
  Proposed,
  Accepted,
  Answered,
};

/// An operator's change whose call is not answered yet.
struct PendingCall
{
  ChangeCall mCall;
  CallStage mStage = CallStage::Proposed;
  Instant mDeadline{};
  Instant mNextProposal{};
  membership::ChangeAnswer mAnswer;
};

/// A change requested by an entry or a backend server, not answered yet.
struct PendingChange
{
  EntryId mFrom;
  std::uint64_t mRequestNumber = 0;
  Instant mDeadline{};             ///< the requester has given up by then
  std::optional<CallId> mCallId{}; ///< set if a backend server called, instead of an entry
};

/// Last renewal of an entry, received here or reported by a follower.
struct EntryView
{
  Incarnation mIncarnation = 0;
  Version mHeld = 0;
  Instant mHeardAt{};
  std::uint32_t mInFlight = 0;
  Instant mLeasesSentAt{}; ///< last grant of this process to the incarnation

  friend auto operator<=>(const EntryView&, const EntryView&) = default;
};

/// Last renewal of another control process, with the version that it has applied.
struct ControlView
{
  Version mApplied = 0;
  Instant mHeardAt{};
  Instant mLeasesSentAt{}; ///< last grant of this process

  friend auto operator<=>(const ControlView&, const ControlView&) = default;
};

/// States of charts/shift.scxml, in the order of its registry.
enum class ShiftStage : std::uint8_t
{
  Steady,
  Stepping,
  Waiting,
};

/// Progress of one service's shift, tracked by the leader.
struct ServiceShift
{
  ShiftStage mStage = ShiftStage::Steady;
  std::uint64_t mStep = 0; ///< last step seen in the configuration
  Instant mProposedAt{};

  friend auto operator<=>(const ServiceShift&, const ServiceShift&) = default;
};

struct CallScope;
struct ShiftScope;

using SharedChart = std::shared_ptr<const chart::BoundChart<ShiftScope>>;

/// Progress of the shifts of all services; used only by the leader.
struct ShiftProgress
{
  SharedChart mChart; ///< charts/shift.scxml; if null, no steps are taken
  std::map<ServiceId, ServiceShift> mServices;
  routing::LastSteps mLastSteps;
  Instant mNextCheck{};
  bool mWasActive = false; ///< was a leader confirmed by a majority at the last tick
};

/// A read of the route set that waits until a majority confirms the leader.
struct PendingRead
{
  CallId mId = 0;
  Instant mArrived{};

  friend auto operator<=>(const PendingRead&, const PendingRead&) = default;
};

/// Until when the caches of a backend server are cold, as last reported.
struct ColdPeriod
{
  Instant mHeardAt{};
  Instant mUntil{};

  friend auto operator<=>(const ColdPeriod&, const ColdPeriod&) = default;
};

/// Settings of the decision logic.
struct Options
{
  /// Length of a backend server's lease.
  Millis mServerLease = membership::kBackendServerLease;
  Millis mDirectoryTimeToLive{ 2000 };
};

/// Allocation of shares of the plan's limits. Every control process tracks the limits; only the
/// leader allocates.
struct ShareAllocation
{
  routing::AllocatorState mAllocator;
  std::string mPlanDigest;          ///< plan whose limits are in use
  std::size_t mEntryCount = 0;      ///< registered entries, among which the base shares are divided
  std::uint64_t mTerm = 0;          ///< term in which this process started to allocate
  std::uint64_t mFirstPlanTerm = 0; ///< term in which the group accepted its first plan
  std::map<routing::ShareHolder, std::pair<routing::DemandReport, Instant>>
    mReports; ///< last report of each entry, and when it arrived
};

/// Charts bound to their guards and actions.
struct Charts
{
  chart::BoundChart<CallScope> mCall;
  membership::BackendChart mBackend;
};

/// One incarnation of a backend server.
using BackendKey = std::pair<BackendServerId, Incarnation>;

/// Encoding of changes and of the replicated state, so that the decisions do not depend on the
/// message format.
struct Codec
{
  std::function<std::string(const membership::Change&)> mEncode;
  std::function<std::optional<membership::Change>(const std::string&)> mDecode;
  std::function<std::string(const membership::Configuration&)> mEncodeState;
  std::function<std::optional<membership::Configuration>(const std::string&)> mDecodeState;
  /// Tells a change of a kind that only later versions know from bytes that no version can read.
  std::function<bool(const std::string&)> mIsWellFormed;
};

/// State of a control process.
struct State
{
  Options mOptions;
  agreement::Node mNode;
  Codec mCodec;
  Charts mCharts;
  claims::Replica mClaims;
  bool mStartedEmpty = false; ///< the data folder held no state at start
  SharedValue<membership::Configuration> mConfiguration;
  membership::ChangeJournal mJournal; ///< within kJournalLimits
  /// Deltas to the current configuration, by the version they start from.
  std::map<Version, std::optional<SharedValue<membership::ConfigurationDelta>>> mDeltas;
  std::map<EntryId, EntryView> mEntries;
  std::map<BackendServerId, membership::BackendLifecycle> mBackends;
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports;                                         ///< not yet forwarded to the leader
  std::map<BackendServerId, Instant> mLeaseChangedAt; ///< when a renewal last extended the lease
  std::map<BackendServerId, ColdPeriod> mColdPeriods;
  std::map<BackendKey, std::uint64_t> mSequences; ///< of the last heartbeat received
  std::vector<PendingRead> mPendingReads;
  std::map<ControlId, ControlView> mControls; ///< processes that renewed at this leader
  std::map<CallId, PendingCall> mCalls;
  std::multimap<std::string, PendingChange> mPendingChanges; ///< by encoded change
  Instant mMayGrantUntil{}; ///< end of this follower's lease from the leader
  Instant mLeaderSince{};
  bool mWasLeader = false;
  std::uint64_t mNextRequestNumber = 1;
  std::map<std::uint64_t, Instant> mRenewalsSent; ///< send times, by request number
  Instant mNextRenewal{};
  Version mInForce = 0; ///< newest version known to be in force at every entry
  std::map<EntryId, Instant> mNextEntryProposal; ///< earliest next proposal about each entry
  ShiftProgress mShifts;
  ShareAllocation mShares;
  std::map<BackendKey, Instant> mNextRemoval;   ///< earliest next proposal to remove or forget it
  std::map<BackendKey, Instant> mDepartedSince; ///< when its departure was first seen here
  std::map<std::string, Instant>
    mProposedUntil; ///< proposed payloads, and when they may be proposed again
  std::deque<std::pair<Version, Instant>>
    mAppliedAt; ///< versions that may not be in force yet, and when they were applied
  std::optional<Instant> mStartedAt; ///< time of the first event
  std::uint64_t mTimestamp = 0;      ///< last one received from the leader
  ControlId mTimestampFrom;
  Instant mTimestampReceivedAt{};
  std::uint64_t mSkippedRecords = 0;    ///< committed records that no version can read
  std::uint64_t mUnreadableChanges = 0; ///< changes refused because they could not be read back
};

/// Loads the charts of a control process, except charts/shift.scxml.
/// @param aFolder folder of the charts
/// @throws FindingsError with every finding
Charts
LoadCharts(const std::filesystem::path& aFolder);

/// Loads charts/shift.scxml.
/// @param aFolder folder of the charts
/// @throws FindingsError with every finding
SharedChart
LoadShiftChart(const std::filesystem::path& aFolder);

} // namespace fighold::control
