#pragma once

#include "fighold/agreement/node.hpp"
#include "fighold/chart/bound_chart.hpp"
#include "fighold/control/event.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// State that the decide thread of a control process owns.
namespace fighold::control {

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
  Instant mUntil{};
  Instant mNextProposal{};
  Instant mAppliedAt{};
  membership::ChangeAnswer mAnswer;
};

/// A change of an entry that is not answered yet.
struct PendingAsk
{
  EntryId mFrom;
  std::uint64_t mAsk = 0;
};

/// What is known of an entry.
struct EntryView
{
  Incarnation mIncarnation = 0;
  Version mHeld = 0;
  Instant mHeardAt{};

  friend auto operator<=>(const EntryView&, const EntryView&) = default;
};

/// What is known of a backend server.
struct BackendView
{
  Incarnation mIncarnation = 0;
  Instant mAliveUntil{};
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const BackendView&, const BackendView&) = default;
};

/// What is known of another control process: the version up to which it has applied the log.
struct ControlView
{
  Version mApplied = 0;
  Instant mHeardAt{};

  friend auto operator<=>(const ControlView&, const ControlView&) = default;
};

struct CallScope;

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
  agreement::Node mNode;
  Codec mCodec;
  chart::BoundChart<CallScope> mCallChart;
  SharedValue<membership::Configuration> mConfiguration;
  std::map<EntryId, EntryView> mEntries;
  std::map<BackendServerId, BackendView> mBackends;
  std::map<BackendServerId, std::pair<membership::BackendReport, Instant>>
    mReports; ///< not yet passed on
  std::map<ControlId, ControlView> mControls;
  std::map<CallId, PendingCall> mCalls;
  std::multimap<std::string, PendingAsk> mAsks; ///< by encoded change
  Instant mGrantUntil{};                        ///< end of a follower's right to grant leases
  Instant mLeaderSince{};
  bool mWasLeader = false;
  std::uint64_t mNextAsk = 1;
  std::map<std::uint64_t, Instant> mAsked;
  Instant mNextRenew{};
  Version mInForce = 0; ///< version that is in force everywhere, as far as known here
  std::map<EntryId, Instant> mNextEntryProposal; ///< limits repeated proposals about one entry
};

/// Loads the charts of a control process.
/// @throws FindingsError with every finding
chart::BoundChart<CallScope>
LoadCallChart(const std::filesystem::path& aFolder);

} // namespace fighold::control
