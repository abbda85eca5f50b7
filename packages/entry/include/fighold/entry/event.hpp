#pragma once

#include "fighold/claims/message.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/outcome.hpp"
#include "fighold/core/shared_value.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/core/time.hpp"
#include "fighold/membership/protocol.hpp"
#include "fighold/net/http.hpp"
#include "fighold/net/http_client.hpp"
#include "fighold/routes/placement.hpp"
#include "fighold/routes/route_set.hpp"
#include "fighold/routing/share_message.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input events and output effects of the entry's decision logic, as values.
namespace fighold::entry {

/// A caller's request whose target names the service. The payload is forwarded unchanged; decisions
/// read only the other members.
struct CallerRequest
{
  RequestId mId = 0;
  ServiceId mService;
  bool mSafe = true;               ///< the HTTP method is safe, so the request may be repeated
  std::string mKey;                ///< value of the Idempotency-Key header, or empty
  std::optional<Millis> mDeadline; ///< set by the caller; the plan's deadline applies if shorter
  std::uint32_t mClient = 0;       ///< IPv4 address of the caller, host order
  SharedValue<net::HttpRequest> mPayload;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// A caller's request whose service is found through the route set.
struct ForwardRequest
{
  RequestId mId = 0;
  std::string mCallerRequestId;    ///< request identifier set by the caller, for the logs
  std::optional<Millis> mDeadline; ///< time the caller waits for the answer
  std::string mAffinityKey;        ///< object of the request, for server affinity; or empty
  SharedValue<net::HttpRequest> mPayload;

  friend bool operator==(const ForwardRequest&, const ForwardRequest&) = default;
};

/// A caller's look-up of the entries that it can use.
struct Lookup
{
  RequestId mId = 0;
  ServiceId mService;
  std::optional<RegionId> mRegion;
  std::uint32_t mClient = 0;

  friend auto operator<=>(const Lookup&, const Lookup&) = default;
};

/// Registration or lease renewal of a backend server, with its load.
struct BackendRenewal
{
  RequestId mId = 0;
  BackendServerId mServerId;
  membership::BackendServer mServer;
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const BackendRenewal&, const BackendRenewal&) = default;
};

/// Deregistration of a backend server that is about to stop.
struct BackendDeparture
{
  RequestId mId = 0;
  BackendServerId mServerId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const BackendDeparture&, const BackendDeparture&) = default;
};

/// Readiness check by the platform.
struct StatusRequest
{
  RequestId mId = 0;

  friend auto operator<=>(const StatusRequest&, const StatusRequest&) = default;
};

/// How a complete response of a backend server is interpreted.
enum class AnswerMeaning : std::uint8_t
{
  Result,   ///< the response to the request
  NotRun,   ///< the server states that it did not run the request
  Unusable, ///< must not be passed to the caller
};

/// One incarnation of a backend server.
struct ServerKey
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const ServerKey&, const ServerKey&) = default;
};

/// The exchange of a dispatch, by its connection. Two dispatches with the same mConnection went
/// over one connection.
struct ExchangeId
{
  std::uint64_t mConnection = 0; ///< number of the connection, from 1; 0: none was acquired
  std::uint64_t mOrdinal = 0;    ///< number of the exchange on that connection, from 1

  friend auto operator<=>(const ExchangeId&, const ExchangeId&) = default;
};

/// Result of a dispatch that ended.
struct DispatchDone
{
  RequestId mId = 0;
  std::uint64_t mDispatchId = 0;
  net::ExchangeResult mResult;
  AnswerMeaning mMeaning = AnswerMeaning::Result; ///< valid for a complete response
  routes::ServerReport mReport{};                 ///< sent with the response
  ServerKey mServer{};                            ///< to which the request was dispatched
  ExchangeId mExchange{};

  friend auto operator<=>(const DispatchDone&, const DispatchDone&) = default;
};

/// A control process granted a configuration lease.
struct GrantReceived
{
  ControlId mFrom;
  membership::LeaseGrant mGrant;

  friend bool operator==(const GrantReceived&, const GrantReceived&) = default;
};

/// A control process replied to a requested change.
struct ChangeReplyReceived
{
  membership::ChangeReply mReply;

  friend auto operator<=>(const ChangeReplyReceived&, const ChangeReplyReceived&) = default;
};

/// A claim replica replied.
struct ClaimReplyReceived
{
  ControlId mFrom;
  claims::ClaimReply mReply;

  friend auto operator<=>(const ClaimReplyReceived&, const ClaimReplyReceived&) = default;
};

/// The caller closed its connection before its request was answered.
struct CallerGone
{
  RequestId mId = 0;
  std::string mCause{}; ///< what ended the connection

  friend auto operator<=>(const CallerGone&, const CallerGone&) = default;
};

/// The leader granted shares of the limits.
struct ShareAnswerReceived
{
  routing::ShareAnswer mAnswer;

  friend auto operator<=>(const ShareAnswerReceived&, const ShareAnswerReceived&) = default;
};

/// Timer event.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// Request for a planned stop.
struct Stop
{
  StopBudget mBudget{};

  friend auto operator<=>(const Stop&, const Stop&) = default;
};

using Event = std::variant<CallerRequest,
                           Lookup,
                           BackendRenewal,
                           BackendDeparture,
                           StatusRequest,
                           DispatchDone,
                           GrantReceived,
                           ChangeReplyReceived,
                           ClaimReplyReceived,
                           CallerGone,
                           Tick,
                           Stop,
                           ShareAnswerReceived,
                           ForwardRequest>;

/// Answer to a CallerRequest.
struct CallerAnswer
{
  Outcome mOutcome = Outcome::NotRun;
  std::string mReason;         ///< why the request was not run or its outcome is unknown
  unsigned mStatus = 503;      ///< HTTP status if mOutcome is NotRun; 4xx: the request is invalid
  net::HttpResponse mResponse; ///< the backend server's response if mOutcome is Run
  ServiceId mService;
  BackendServerId mServerId; ///< backend server of the last dispatch
  Duration mLatency{};       ///< from arrival to answer

  friend auto operator<=>(const CallerAnswer&, const CallerAnswer&) = default;
};

/// Answer to a ForwardRequest.
struct ForwardAnswer
{
  Outcome mOutcome = Outcome::NotRun;
  std::string mReason;
  unsigned mStatus = 503;      ///< HTTP status if mOutcome is not Run
  Millis mRetryAfter{ 0 };     ///< 0, or the time until capacity is expected
  net::HttpResponse mResponse; ///< the backend server's response if mOutcome is Run
  ServiceId mService;
  BackendServerId mServerId; ///< backend server of the last dispatch
  Duration mLatency{};       ///< from arrival to answer

  friend auto operator<=>(const ForwardAnswer&, const ForwardAnswer&) = default;
};

/// An entry as reported to callers.
struct LookupEntry
{
  EntryId mId;
  Endpoint mAddress;
  RegionId mRegion;

  friend auto operator<=>(const LookupEntry&, const LookupEntry&) = default;
};

/// Answer to a Lookup.
struct LookupAnswer
{
  std::string mError; ///< empty on success
  std::vector<LookupEntry> mEntries;
  Millis mTimeToLive{ 0 };
  Version mVersion = 0;

  friend auto operator<=>(const LookupAnswer&, const LookupAnswer&) = default;
};

/// Outcome of a backend server's call.
enum class BackendCallStatus : std::uint8_t
{
  Accepted,
  Refused, ///< the call is invalid
  Busy,    ///< not decided in time or in conflict; the server should retry at another entry
};

/// Answer to a BackendRenewal or BackendDeparture.
struct BackendAnswer
{
  BackendCallStatus mCallStatus = BackendCallStatus::Busy;
  std::string mMessage;

  friend auto operator<=>(const BackendAnswer&, const BackendAnswer&) = default;
};

/// Answer to a StatusRequest.
struct StatusAnswer
{
  bool mReady = false;
  std::string mState;
  Version mVersion = 0;
  std::uint64_t mPlanNumber = 0;
  std::size_t mInFlight = 0;

  friend auto operator<=>(const StatusAnswer&, const StatusAnswer&) = default;
};

using Answer = std::variant<CallerAnswer, LookupAnswer, BackendAnswer, StatusAnswer, ForwardAnswer>;

/// Passes an answer to the front thread.
struct Reply
{
  RequestId mId = 0;
  Answer mAnswer;
  bool mClose = false; ///< the entry is stopping; the front thread closes the connection

  friend auto operator<=>(const Reply&, const Reply&) = default;
};

/// Sends a request to a backend server.
struct Dispatch
{
  RequestId mId = 0;
  std::uint64_t mDispatchId = 0;
  routing::Candidate mServer;
  SharedValue<net::HttpRequest> mPayload;
  Instant mExchangeDeadline{};  ///< the response must be complete by then
  Instant mFirstByteDeadline{}; ///< if no byte arrives by then, the connection counts as silent
  Instant mSendDeadline = Instant::max();    ///< nothing is sent later; CallerRequest: claim expiry
  std::uint32_t mConnectionShare = 1;        ///< maximum connections of this entry to the server
  Instant mConnectDeadline = Instant::max(); ///< deadline for opening a connection
  Instant mDeadline = Instant::max(); ///< sent to the server, unless mExchangeDeadline is earlier
  std::string mCallerRequestId{};     ///< request identifier set by the caller
  /// Longest body of the answer in bytes, beside the limit of all answers.
  std::size_t mMaxAnswerBytes = std::numeric_limits<std::size_t>::max();

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// Cancels a dispatch: its connection is closed, and no DispatchDone follows.
struct CancelDispatch
{
  std::uint64_t mDispatchId = 0;

  friend auto operator<=>(const CancelDispatch&, const CancelDispatch&) = default;
};

/// Keeps dispatches that are not sent yet from a backend server, which wants no requests. They end
/// as not sent.
struct HoldServer
{
  ServerKey mServer;
  Instant mUntil{};

  friend auto operator<=>(const HoldServer&, const HoldServer&) = default;
};

/// Sends a message to a control process.
struct SendControl
{
  ControlId mTo;
  std::variant<membership::LeaseRenewal,
               membership::ChangeRequest,
               claims::ClaimRequest,
               claims::AttemptResult,
               routing::ShareReport>
    mBody;

  friend bool operator==(const SendControl&, const SendControl&) = default;
};

/// Writes a decision to the log.
struct LogRecord
{
  DecisionRecord mRecord;

  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;
};

/// Replaces the limits on what callers may send.
struct SetCallerLimits
{
  routes::CallerLimits mLimits;

  friend auto operator<=>(const SetCallerLimits&, const SetCallerLimits&) = default;
};

/// The planned stop is complete: no request is in flight and cached look-ups have expired, or the
/// drain timed out.
struct Stopped
{
  friend auto operator<=>(const Stopped&, const Stopped&) = default;
};

using Effect = std::variant<Reply,
                            Dispatch,
                            CancelDispatch,
                            HoldServer,
                            SendControl,
                            LogRecord,
                            Stopped,
                            SetCallerLimits>;

} // namespace fighold::entry
