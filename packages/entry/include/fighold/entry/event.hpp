#pragma once

#include "fighold/claims/message.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/outcome.hpp"
#include "fighold/core/shared_value.hpp"
#include "fighold/core/time.hpp"
#include "fighold/membership/protocol.hpp"
#include "fighold/net/http.hpp"
#include "fighold/net/http_client.hpp"
#include "fighold/routes/placement.hpp"
#include "fighold/routes/route_set.hpp"
#include "fighold/routing/share_message.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the entry's decisions take in and give out, as values.
namespace fighold::entry {

/// A caller's request. The payload is passed on as it is; decisions read only the other members.
struct CallerRequest
{
  RequestId mId = 0;
  ServiceId mService;
  bool mSafe = true;               ///< the method may be repeated
  std::string mKey;                ///< Idempotency-Key, or empty
  std::optional<Millis> mDeadline; ///< the caller's own limit, if it is shorter than the plan's
  std::uint32_t mClient = 0;       ///< IPv4 address of the caller, host order
  SharedValue<net::HttpRequest> mPayload;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// A caller's request that the route set sends to a service.
struct ForwardRequest
{
  RequestId mId = 0;
  std::string mCallerId;           ///< identifier that the caller gave it, for the logs
  std::optional<Millis> mDeadline; ///< time for which the caller waits
  std::string mAffinityKey;        ///< object of the request, or empty
  SharedValue<net::HttpRequest> mPayload;

  friend bool operator==(const ForwardRequest&, const ForwardRequest&) = default;
};

/// A caller asks which entries to use.
struct Lookup
{
  RequestId mId = 0;
  ServiceId mService;
  std::optional<RegionId> mRegion;
  std::uint32_t mClient = 0;

  friend auto operator<=>(const Lookup&, const Lookup&) = default;
};

/// A backend server announces itself, renews, and reports its load.
struct BackendRenewal
{
  RequestId mId = 0;
  BackendServerId mServerId;
  membership::BackendServer mServer;
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const BackendRenewal&, const BackendRenewal&) = default;
};

/// A backend server announces its departure.
struct BackendDeparture
{
  RequestId mId = 0;
  BackendServerId mServerId;
  Incarnation mIncarnation = 0;

  friend auto operator<=>(const BackendDeparture&, const BackendDeparture&) = default;
};

/// The platform asks for readiness.
struct StatusRequest
{
  RequestId mId = 0;

  friend auto operator<=>(const StatusRequest&, const StatusRequest&) = default;
};

/// What an answer of a backend server means.
enum class AnswerMeaning : std::uint8_t
{
  Result,   ///< the answer to the request
  NotRun,   ///< the server states that it did not run the request
  Unusable, ///< not an answer that may be passed on
};

/// A dispatch ended.
struct DispatchDone
{
  RequestId mId = 0;
  std::uint64_t mDispatchId = 0;
  net::ExchangeResult mResult;
  AnswerMeaning mMeaning = AnswerMeaning::Result; ///< of a whole answer
  std::optional<routes::LoadReport> mLoad{};      ///< that came with the answer

  friend auto operator<=>(const DispatchDone&, const DispatchDone&) = default;
};

/// A control process granted a lease.
struct GrantReceived
{
  ControlId mFrom;
  membership::LeaseGrant mGrant;

  friend bool operator==(const GrantReceived&, const GrantReceived&) = default;
};

/// A control process answered a change.
struct ChangeReplyReceived
{
  membership::ChangeReply mReply;

  friend auto operator<=>(const ChangeReplyReceived&, const ChangeReplyReceived&) = default;
};

/// A claim holder replied.
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

  friend auto operator<=>(const CallerGone&, const CallerGone&) = default;
};

/// The leader granted shares.
struct ShareAnswerReceived
{
  routing::ShareAnswer mAnswer;

  friend auto operator<=>(const ShareAnswerReceived&, const ShareAnswerReceived&) = default;
};

/// Time passed.
struct Tick
{
  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// Planned stop.
struct Stop
{
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

/// Answer to a caller's request.
struct CallerAnswer
{
  Outcome mOutcome = Outcome::NotRun;
  std::string mReason;    ///< why the request was not run or its outcome is unknown
  unsigned mStatus = 503; ///< status code when mOutcome is NotRun; a 4xx: the request is at fault
  net::HttpResponse mResponse; ///< the backend server's whole answer when mOutcome is Run
  ServiceId mService;
  BackendServerId mServer; ///< backend server of the last dispatch
  Duration mLatency{};     ///< from arrival to answer

  friend auto operator<=>(const CallerAnswer&, const CallerAnswer&) = default;
};

/// Answer to a request that the route set governs.
struct ForwardAnswer
{
  Outcome mOutcome = Outcome::NotRun;
  std::string mReason;
  unsigned mStatus = 503;      ///< status code when mOutcome is not Run
  Millis mRetryAfter{ 0 };     ///< when room is expected, if the request was not run for lack of it
  net::HttpResponse mResponse; ///< the backend server's answer when mOutcome is Run
  ServiceId mService;
  BackendServerId mServer; ///< backend server of the last dispatch
  Duration mLatency{};     ///< from arrival to answer

  friend auto operator<=>(const ForwardAnswer&, const ForwardAnswer&) = default;
};

/// An entry as a caller sees it.
struct LookupEntry
{
  EntryId mId;
  Endpoint mAddress;
  RegionId mRegion;

  friend auto operator<=>(const LookupEntry&, const LookupEntry&) = default;
};

/// Answer to a look-up.
struct LookupAnswer
{
  std::string mError; ///< empty when answered
  std::vector<LookupEntry> mEntries;
  Millis mTimeToLive{ 0 };
  Version mVersion = 0;

  friend auto operator<=>(const LookupAnswer&, const LookupAnswer&) = default;
};

/// How a backend server's call ended.
enum class BackendCallStatus : std::uint8_t
{
  Accepted,
  Refused, ///< the call is at fault
  Busy,    ///< not decided; to be repeated, at another entry
};

/// Answer to a backend server.
struct BackendAnswer
{
  BackendCallStatus mCallStatus = BackendCallStatus::Busy;
  std::string mMessage;

  friend auto operator<=>(const BackendAnswer&, const BackendAnswer&) = default;
};

/// Answer to the platform.
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

/// Give the answer to the front.
struct Reply
{
  RequestId mId = 0;
  Answer mAnswer;
  bool mClose = false; ///< the entry is stopping: the caller shall use another one

  friend auto operator<=>(const Reply&, const Reply&) = default;
};

/// Send a request to a backend server.
struct Dispatch
{
  RequestId mId = 0;
  std::uint64_t mDispatchId = 0;
  routing::Candidate mServer;
  SharedValue<net::HttpRequest> mPayload;
  Instant mUntil{};
  Instant mFirstByteUntil{};              ///< without a byte by then, the connection is silent
  Instant mSendBefore = Instant::max();   ///< end of the claim that the dispatch rests on
  std::uint32_t mConnectionShare = 1;     ///< connections that this entry may have to the server
  Instant mConnectUntil = Instant::max(); ///< a connection must be open by then
  Instant mDeadline = Instant::max(); ///< end of the work that the server is told, if before mUntil
  std::string mCallerId{};            ///< identifier that the caller gave the request

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// Give up a dispatch: its connection is closed, and no DispatchDone follows.
struct CancelDispatch
{
  std::uint64_t mDispatchId = 0;

  friend auto operator<=>(const CancelDispatch&, const CancelDispatch&) = default;
};

/// Send a message to a control process.
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

/// Write a decision to the log.
struct LogRecord
{
  DecisionRecord mRecord;

  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;
};

/// Replace the limits on what callers may send.
struct SetCallerLimits
{
  routes::CallerLimits mLimits;

  friend auto operator<=>(const SetCallerLimits&, const SetCallerLimits&) = default;
};

/// The planned stop is complete: nothing is in flight.
struct Stopped
{
  friend auto operator<=>(const Stopped&, const Stopped&) = default;
};

using Effect =
  std::variant<Reply, Dispatch, CancelDispatch, SendControl, LogRecord, Stopped, SetCallerLimits>;

} // namespace fighold::entry
