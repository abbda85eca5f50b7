#pragma once

#include "fighold/membership/configuration.hpp"

#include <optional>
#include <string>
#include <variant>

/// Changes of the configuration: the commands of the replicated state machine.
namespace fighold::membership {

/// Replaces the plan if `mBaseDigest` is the digest of the plan in use and the new number is
/// greater.
struct SubmitPlan
{
  std::string mBaseDigest; ///< empty: no plan is in use
  SharedValue<plan::Plan> mPlan;

  friend bool operator==(const SubmitPlan&, const SubmitPlan&) = default;
};

/// Registers an entry, or a new incarnation of it.
struct RegisterEntry
{
  EntryId mId;
  Entry mEntry;

  friend bool operator==(const RegisterEntry&, const RegisterEntry&) = default;
};

/// Removes an entry that stopped, or that no control process has heard from for longer than a
/// lease.
struct RemoveEntry
{
  EntryId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const RemoveEntry&, const RemoveEntry&) = default;
};

/// Adds a backend server, or a new incarnation of it. Incarnations have no order, so an
/// announcement that arrives after one of another incarnation is a conflict unless mReplaces names
/// that one or that one is leaving.
struct AnnounceBackendServer
{
  BackendServerId mId;
  BackendServer mServer;
  Incarnation mReplaces = 0; ///< incarnation in the configuration that the sender used; 0: none

  friend bool operator==(const AnnounceBackendServer&, const AnnounceBackendServer&) = default;
};

/// Marks a backend server as leaving.
struct DepartBackendServer
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const DepartBackendServer&, const DepartBackendServer&) = default;
};

/// Withdraws a backend server by its identifier alone: all incarnations up to one have departed,
/// also those that are not known yet. For servers whose incarnations have an order.
struct WithdrawBackendServer
{
  BackendServerId mId;
  Incarnation mLatest = 0;

  friend bool operator==(const WithdrawBackendServer&, const WithdrawBackendServer&) = default;
};

/// Removes a backend server that departed or whose lease expired.
struct RemoveBackendServer
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const RemoveBackendServer&, const RemoveBackendServer&) = default;
};

/// Forgets that an incarnation departed, or that a server was withdrawn up to it; proposed once no
/// late announcement can arrive.
struct ForgetDeparted
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const ForgetDeparted&, const ForgetDeparted&) = default;
};

/// What is drained.
enum class DrainKind : std::uint8_t
{
  BackendServer,
  Entry,
  Region,
  DataCentre,
};

/// Starts or ends an operator's drain.
struct SetDrain
{
  DrainKind mKind = DrainKind::BackendServer;
  std::string mName;
  bool mDrained = true;

  friend bool operator==(const SetDrain&, const SetDrain&) = default;
};

/// Replaces the route set if `mBase` is the number of the one in use and the new number is greater.
struct SubmitRoutes
{
  std::uint64_t mBase = 0; ///< 0: no route set is in use
  SharedValue<routes::RouteSet> mRoutes;

  friend bool operator==(const SubmitRoutes&, const SubmitRoutes&) = default;
};

/// Changes items of the route set, under the conditions of SubmitRoutes.
struct PatchRoutes
{
  std::uint64_t mBase = 0;
  SharedValue<routes::RoutePatch> mPatch;

  friend bool operator==(const PatchRoutes&, const PatchRoutes&) = default;
};

/// Takes one shift step of a service; a conflict unless its number is the next one.
struct TakeShiftStep
{
  ServiceId mService;
  Shift mShift;

  friend bool operator==(const TakeShiftStep&, const TakeShiftStep&) = default;
};

using ChangeBody = std::variant<SubmitPlan,
                                RegisterEntry,
                                RemoveEntry,
                                AnnounceBackendServer,
                                DepartBackendServer,
                                RemoveBackendServer,
                                SetDrain,
                                TakeShiftStep,
                                ForgetDeparted,
                                SubmitRoutes,
                                PatchRoutes,
                                WithdrawBackendServer>;

/// A change with its identifier. Answers to changes with an empty identifier are not kept for
/// retries; such changes are idempotent.
struct Change
{
  ChangeId mId;
  ChangeBody mBody;

  friend bool operator==(const Change&, const Change&) = default;
};

/// Result of applying a change.
struct ApplyResult
{
  SharedValue<Configuration> mConfiguration;
  ChangeAnswer mAnswer;
};

/// Applies a committed change. Deterministic: every control process computes the same result.
/// @param aConfiguration configuration before the change
/// @param aChange committed change
/// @param aVersion position of the change in the replicated log
/// @return configuration after the change and the answer. mVersion becomes aVersion if the
/// change altered anything that entries see. Otherwise it stays, because entries confirm each
/// version and should confirm only what concerns them. A retry (a Change::mId seen before) gets the
/// first answer and changes nothing
ApplyResult
Apply(const Configuration& aConfiguration, const Change& aChange, Version aVersion);

/// @param aConfiguration configuration in use
/// @param aChange change without an identifier
/// @return the answer if the change would alter nothing and therefore needs no log entry; nothing
/// for a change with an identifier, whose answer must be kept
std::optional<ChangeAnswer>
AnswerIfUnchanged(const Configuration& aConfiguration, const Change& aChange);

} // namespace fighold::membership
