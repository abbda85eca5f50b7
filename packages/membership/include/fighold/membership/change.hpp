#pragma once

#include "fighold/membership/configuration.hpp"

#include <optional>
#include <string>
#include <variant>

/// Changes of the configuration: the replicated state machine.
namespace fighold::membership {

/// Replaces the plan if `mBaseDigest` is the digest of the plan in use and the number is greater.
struct SubmitPlan
{
  std::string mBaseDigest; ///< empty: no plan was in use
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

/// Removes an entry that stopped, or whose lease ran out long ago.
struct RemoveEntry
{
  EntryId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const RemoveEntry&, const RemoveEntry&) = default;
};

/// Adds a backend server, or a new incarnation of it. An announcement that was overtaken by that of
/// a newer incarnation is a conflict, since incarnations have no order.
struct AnnounceBackendServer
{
  BackendServerId mId;
  BackendServer mServer;
  Incarnation mReplaces = 0; ///< incarnation in the configuration that the announcer saw; 0: none

  friend bool operator==(const AnnounceBackendServer&, const AnnounceBackendServer&) = default;
};

/// Marks a backend server as leaving.
struct DepartBackendServer
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const DepartBackendServer&, const DepartBackendServer&) = default;
};

/// Forgets a backend server that left or whose lease ran out.
struct RemoveBackendServer
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const RemoveBackendServer&, const RemoveBackendServer&) = default;
};

/// Forgets that an incarnation departed; proposed once no late announcement of it can arrive any
/// more.
struct ForgetDeparted
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend bool operator==(const ForgetDeparted&, const ForgetDeparted&) = default;
};

/// What a drain is about.
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
  std::uint64_t mBase = 0; ///< 0: no route set was in use
  SharedValue<routes::RouteSet> mRoutes;

  friend bool operator==(const SubmitRoutes&, const SubmitRoutes&) = default;
};

/// Changes items of the route set, on the same terms.
struct PatchRoutes
{
  std::uint64_t mBase = 0;
  SharedValue<routes::RoutePatch> mPatch;

  friend bool operator==(const PatchRoutes&, const PatchRoutes&) = default;
};

/// Takes one shift step of a service; refused unless `mStep` follows the last one.
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
                                PatchRoutes>;

/// A change with its identifier. Changes with an empty identifier are not remembered for resends;
/// they are idempotent.
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
/// @return configuration after the change and the answer. mVersion is aVersion if the change
/// altered
///         what entries see, and stays otherwise, so that entries confirm only what concerns them.
///         A resend (known mChangeId) gets its first answer and changes nothing else
ApplyResult
Apply(const Configuration& aConfiguration, const Change& aChange, Version aVersion);

/// @param aConfiguration configuration in use
/// @param aChange change without an identifier
/// @return the answer if the change would alter nothing, so that it needs no log entry; nothing for
/// a change with an
///         identifier, whose answer must be kept
std::optional<ChangeAnswer>
AnswerIfUnchanged(const Configuration& aConfiguration, const Change& aChange);

} // namespace fighold::membership
