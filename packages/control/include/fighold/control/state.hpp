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

/// State that the decide thread of a control process owns.
namespace fighold::control {

/// Versions of the configuration that are kept, so that holders of them get a delta. Entries renew
/// twice a second, and a release or a restart of many makes some ten changes a second.
constexpr std::size_t kRecentVersions = 32;

/// States of charts/plan_change.scxml, in the order of its registry.
enum class CallStage : std::uint8_t
{
  Proposed,
  Accepted,
  Answered,
};

/// An operator's change that is not answered yet.
struct PendingCall
{
  ChangeCall mCall;
  CallStage mStage = CallStage::Proposed;
  Instant mDeadline{};
  Instant mNextProposal{};
  membership::ChangeAnswer mAnswer;
};

/// A change of an entry that is not answered yet.
struct PendingChange
{
  EntryId mFrom;
  std::uint64_t mRequestNumber = 0;
  Instant mDeadline{};             ///< the asker gives up before
  std::optional<CallId> mCallId{}; ///< a backend server's call in place of an entry's
};

/// What is known of an entry.
struct EntryView
{
  Incarnation mIncarnation = 0;
  Version mHeld = 0;
  Instant mHeardAt{};
  std::uint32_t mInFlight = 0;
  Instant mLeasesSentAt{}; ///< last grant of this process to that incarnation

  friend auto operator<=>(const EntryView&, const EntryView&) = default;
};

/// What is known of another control process: the version up to which it has applied the log.
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

/// Shift of one service as the leader follows it.
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

/// Shifts of all services; used only while this process leads.
struct ShiftProgress
{
  SharedChart mChart; ///< bound charts/shift.scxml; without it no step is taken
  std::map<ServiceId, ServiceShift> mServices;
  routing::LastSteps mLastSteps;
  Instant mNextCheck{};
  bool mWasActive = false; ///< led at the last tick
};

/// A read of the route set that waits for a majority to confirm it.
struct PendingRead
{
  CallId mId = 0;
  Instant mArrived{};

  friend auto operator<=>(const PendingRead&, const PendingRead&) = default;
};

/// How long a backend server stays cold, as it last said.
struct ColdPeriod
{
  Instant mHeardAt{};
  Instant mUntil{};

  friend auto operator<=>(const ColdPeriod&, const ColdPeriod&) = default;
};

/// Settings of the decisions.
struct Options
{
  /// Time for which a backend server's renewal counts.
  Millis mServerLease = membership::kBackendServerLease;
  Millis mDirectoryTimeToLive{ 2000 };
};

/// Shares of the plan's limits. Every control process knows the limits; only the leader allocates.
struct ShareAllocation
{
  routing::AllocatorState mAllocator;
  std::string mPlanDigest;          ///< plan whose limits are in use
  std::size_t mEntryCount = 0;      ///< registered entries among which the base parts are divided
  std::uint64_t mTerm = 0;          ///< term in which this process began to allocate
  std::uint64_t mFirstPlanTerm = 0; ///< term in which the first plan of the group was accepted
  std::map<routing::ShareHolder, std::pair<routing::DemandReport, Instant>> mReports;
};

/// The charts of a control process.
struct Charts
{
  chart::BoundChart<CallScope> mCall;
  membership::BackendChart mBackend;
};

/// One incarnation of a backend server.
using BackendKey = std::pair<BackendServerId, Incarnation>;

/// Encoding of changes and of the state machine, so that decisions do not depend on the message
/// format.
struct Codec
{
  std::function<std::string(const membership::Change&)> mEncode;
  std::function<std::optional<membership::Change>(const std::string&)> mDecode;
  std::function<std::string(const membership::Configuration&)> mEncodeState;
  std::function<std::optional<membership::Configuration>(const std::string&)> mDecodeState;
};

/// The whole state.
struct State
{
  Options mOptions;
  agreement::Node mNode;
  Codec mCodec;
  Charts mCharts;
  claims::Replica mClaims;
  bool mStartedEmpty = false; ///< no state was found at start
  SharedValue<membership::Configuration> mConfiguration;
  std::map<Version, SharedValue<membership::Configuration>>
    mRecentVersions; ///< the newest kRecentVersions
  /// Deltas to the configuration in use, by the version that they start from.
  std::map<Version, std::optional<SharedValue<membership::ConfigurationDelta>>> mDeltas;
  std::map<EntryId, EntryView> mEntries;
  std::map<BackendServerId, membership::BackendLifecycle> mBackends;
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports;                                         ///< not yet passed on
  std::map<BackendServerId, Instant> mLeaseChangedAt; ///< when a lease was last renewed here
  std::map<BackendServerId, ColdPeriod> mColdPeriods;
  std::map<BackendKey, std::uint64_t> mSequences; ///< last heartbeat of each incarnation heard here
  std::vector<PendingRead> mPendingReads;
  std::map<ControlId, ControlView> mControls;
  std::map<CallId, PendingCall> mCalls;
  std::multimap<std::string, PendingChange> mPendingChanges; ///< by encoded change
  Instant mMayGrantUntil{}; ///< end of a follower's right to grant leases
  Instant mLeaderSince{};
  bool mWasLeader = false;
  std::uint64_t mNextRequestNumber = 1;
  std::map<std::uint64_t, Instant> mRenewalsSent;
  Instant mNextRenewal{};
  Version mInForce = 0; ///< version that is in force everywhere, as far as known here
  std::map<EntryId, Instant> mNextEntryProposal; ///< limits repeated proposals about one entry
  ShiftProgress mShifts;
  ShareAllocation mShares;
  std::map<BackendKey, Instant> mNextRemoval;    ///< the same for removals
  std::map<BackendKey, Instant> mDepartedSince;  ///< when a departed incarnation was first seen
  std::map<std::string, Instant> mProposedUntil; ///< payloads that a leader proposed, until when
  std::deque<std::pair<Version, Instant>> mAppliedAt; ///< versions that may not be in force yet
  std::optional<Instant> mStartedAt;                  ///< time of the first event
  std::uint64_t mTimestamp = 0;                       ///< last one of the leader
  ControlId mTimestampFrom;
  Instant mTimestampReceivedAt{};
};

/// Loads the charts of a control process.
/// @throws FindingsError with every finding
Charts
LoadCharts(const std::filesystem::path& aFolder);

/// Loads charts/shift.scxml.
/// @throws FindingsError with every finding
SharedChart
LoadShiftChart(const std::filesystem::path& aFolder);

} // namespace fighold::control
