#pragma once

#include "fighold/agreement/node.hpp"
#include "fighold/claims/message.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"
#include "fighold/membership/protocol.hpp"
#include "fighold/routing/share_message.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that a control process handles, and the effects of its decisions, as values.
namespace fighold::control {

/// Identifier of an operator's call within one process.
using CallId = std::uint64_t;

/// An operator submits a plan, a route set or a drain.
struct ChangeCall
{
  CallId mId = 0;
  membership::Change mChange;
  Millis mTimeout{ 10'000 };
  bool mWaitUntilInForce = true; ///< answer only when every entry uses the change
  bool mIsNumbered = true;       ///< false: a late copy cannot be told from a new call

  friend bool operator==(const ChangeCall&, const ChangeCall&) = default;
};

/// An operator requests the plan or the status.
struct StatusCall
{
  CallId mId = 0;

  friend auto operator<=>(const StatusCall&, const StatusCall&) = default;
};

/// A backend server announces itself, renews its lease, or reports that it is leaving.
struct ServerHeartbeat
{
  CallId mId = 0;
  BackendServerId mServerId;
  membership::BackendServer mServer; ///< the higher incarnation is the later one
  std::uint64_t mSequence = 0;       ///< increases with each heartbeat of an incarnation
  Millis mCold{ 0 };                 ///< remaining time until its caches are warm

  friend auto operator<=>(const ServerHeartbeat&, const ServerHeartbeat&) = default;
};

/// A backend server is deregistered without naming its incarnation.
struct ServerWithdrawal
{
  CallId mId = 0;
  BackendServerId mServerId;
  Incarnation mLatest = 0; ///< no incarnation above it can have started before the call

  friend auto operator<=>(const ServerWithdrawal&, const ServerWithdrawal&) = default;
};

/// A caller looks up the entries to use.
struct DirectoryCall
{
  CallId mId = 0;
  RegionId mRegion;
  DataCentreId mDataCentre;

  friend auto operator<=>(const DirectoryCall&, const DirectoryCall&) = default;
};

/// An operator requests the route set in use.
struct RoutesCall
{
  CallId mId = 0;

  friend auto operator<=>(const RoutesCall&, const RoutesCall&) = default;
};

/// A message from an entry.
struct EntryMessage
{
  EntryId mFrom;
  std::variant<membership::LeaseRenewal,
               membership::ChangeRequest,
               claims::ClaimRequest,
               claims::AttemptResult,
               routing::ShareReport>
    mBody;

  friend bool operator==(const EntryMessage&, const EntryMessage&) = default;
};

/// A message from another control process.
struct ControlMessage
{
  ControlId mFrom;
  std::variant<agreement::Message,
               membership::ControlLeaseRenewal,
               membership::ControlLeaseGrant,
               claims::CopyRequest,
               claims::CopyPage>
    mBody;

  friend auto operator<=>(const ControlMessage&, const ControlMessage&) = default;
};

/// The storage has synced all writes up to and including this one.
struct Stored
{
  std::uint64_t mWrite = 0;

  friend auto operator<=>(const Stored&, const Stored&) = default;
};

/// Timer event.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

using Event = std::variant<ChangeCall,
                           StatusCall,
                           EntryMessage,
                           ControlMessage,
                           Stored,
                           Tick,
                           ServerHeartbeat,
                           ServerWithdrawal,
                           DirectoryCall,
                           RoutesCall>;

/// Answer to an operator's change.
struct ChangeCallAnswer
{
  bool mDecided =
    false; ///< false: outcome unknown; the call may be repeated with the same identifier
  membership::ChangeAnswer mAnswer;
  bool mInForce = false;
  std::vector<EntryId> mUnconfirmed; ///< entries that did not confirm it and may still have a lease

  friend auto operator<=>(const ChangeCallAnswer&, const ChangeCallAnswer&) = default;
};

/// Status of an entry.
struct EntryLine
{
  EntryId mId;
  membership::Entry mEntry;
  Version mHeld = 0;
  bool mCurrent =
    false; ///< renewed within the lease time, with a version not older than its registration
  bool mDraining = false;
  std::uint32_t mInFlight = 0; ///< callers' requests in flight

  friend auto operator<=>(const EntryLine&, const EntryLine&) = default;
};

/// Status of a backend server.
struct BackendLine
{
  BackendServerId mId;
  membership::BackendServer mServer;
  bool mAlive = false;
  std::uint32_t mInFlight = 0;
  std::string mStage; ///< state of charts/backend_lease.scxml
  bool mDraining = false;

  friend auto operator<=>(const BackendLine&, const BackendLine&) = default;
};

/// Answer to a status call.
struct StatusAnswer
{
  ControlId mSelf;
  std::string mLeader;   ///< empty: unknown
  bool mCurrent = false; ///< this process may grant leases
  SharedValue<membership::Configuration> mConfiguration;
  Version mInForce = 0;
  std::vector<EntryLine> mEntries;
  std::vector<BackendLine> mBackends;

  friend bool operator==(const StatusAnswer&, const StatusAnswer&) = default;
};

/// Answer to a backend server.
struct ServerAnswer
{
  bool mDecided = false; ///< false: repeat the call at another control process
  bool mAccepted = false;
  std::string mMessage;

  friend auto operator<=>(const ServerAnswer&, const ServerAnswer&) = default;
};

/// Answer to a look-up: entries, nearest first.
struct DirectoryAnswer
{
  std::vector<Endpoint> mEntries;
  Millis mTimeToLive{ 0 };

  friend auto operator<=>(const DirectoryAnswer&, const DirectoryAnswer&) = default;
};

/// Answer to RoutesCall.
struct RoutesAnswer
{
  bool mCurrent = false; ///< a majority confirmed that no newer route set is committed
  SharedValue<routes::RouteSet> mRoutes;
  std::optional<ControlId> mLeader; ///< process to ask if this one cannot answer

  friend bool operator==(const RoutesAnswer&, const RoutesAnswer&) = default;
};

using CallAnswer =
  std::variant<ChangeCallAnswer, StatusAnswer, ServerAnswer, DirectoryAnswer, RoutesAnswer>;

/// Passes an answer to the front thread.
struct AnswerCall
{
  CallId mId = 0;
  CallAnswer mAnswer;

  friend bool operator==(const AnswerCall&, const AnswerCall&) = default;
};

/// Sends a message to another control process.
struct SendControl
{
  ControlId mTo;
  std::variant<agreement::Message,
               membership::ControlLeaseRenewal,
               membership::ControlLeaseGrant,
               claims::CopyRequest,
               claims::CopyPage>
    mBody;

  friend auto operator<=>(const SendControl&, const SendControl&) = default;
};

/// Sends a message to an entry.
struct SendEntry
{
  EntryId mTo;
  std::variant<membership::LeaseGrant,
               membership::ChangeReply,
               claims::ClaimReply,
               routing::ShareAnswer>
    mBody;

  friend bool operator==(const SendEntry&, const SendEntry&) = default;
};

/// Writes to the storage and syncs.
struct Store
{
  agreement::Write mWrite;

  friend bool operator==(const Store&, const Store&) = default;
};

/// Writes a decision record to the log.
struct LogRecord
{
  DecisionRecord mRecord;

  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;
};

using Effect = std::variant<AnswerCall, SendControl, SendEntry, Store, LogRecord>;

} // namespace fighold::control
