#include "request_chart.hpp"

#include "claiming.hpp"
#include "queueing.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

/// Maximum number of dispatches of one request, including the first one.
constexpr std::uint32_t kMaxDispatches = 3;

bool
IsPastArrivalDeadline(const RequestScope& aScope)
{
  return aScope.mNow >= aScope.mState.mStop.mArrivalDeadline;
}

bool
HasCallerLeft(const RequestScope& aScope)
{
  return aScope.mState.mGoneBeforeArrival.count(aScope.mRequest.mRequest.mId) > 0;
}

bool
NoLease(const RequestScope& aScope)
{
  return !membership::IsValid(aScope.mState.mLease, aScope.mNow);
}

bool
TooManyInFlight(const RequestScope& aScope)
{
  return aScope.mState.mInFlight.size() > aScope.mState.mOptions.mMaxInFlight;
}

bool
NoRoute(const RequestScope& aScope)
{
  return !aScope.mRoute.mCandidate.has_value() &&
         aScope.mRoute.mRecord.mReason != routing::kNoFreeSlot;
}

bool
MayRedispatch(const RequestScope& aScope)
{
  // The claim may have expired since the last dispatch.
  return !NoLease(aScope) && !IsPastArrivalDeadline(aScope) && !NoRoute(aScope) &&
         !MustWait(aScope) && aScope.mNow < aScope.mRequest.mClaimExpiry &&
         aScope.mRequest.mDispatchCount < kMaxDispatches && aScope.mNow < aScope.mRequest.mDeadline;
}

bool
NeedsClaim(const RequestScope& aScope)
{
  return !IsRepeatable(aScope);
}

bool
KeyMissing(const RequestScope& aScope)
{
  return NeedsClaim(aScope) && aScope.mRequest.mRequest.mKey.empty();
}

bool
ClaimsFull(const RequestScope& aScope)
{
  return NeedsClaim(aScope) && claims::IsFull(aScope.mState.mClaimClient);
}

bool
MayHaveRun(const RequestScope& aScope)
{
  return aScope.mRequest.mMayHaveRun;
}

bool
MayRepeat(const RequestScope& aScope)
{
  return IsRepeatable(aScope) && MayRedispatch(aScope);
}

void
ReplyWith(RequestScope& aScope,
          Outcome aOutcome,
          const std::string& aReason,
          unsigned aStatus = 503)
{
  CallerAnswer answer{ aOutcome,
                       aReason,
                       aStatus,
                       {},
                       aScope.mRequest.mRequest.mService,
                       aScope.mRequest.mServerId,
                       aScope.mNow - aScope.mRequest.mArrived };
  if (aOutcome == Outcome::Run) {
    answer.mResponse = std::move(aScope.mResult.mResponse);
  }
  aScope.mEffects.emplace_back(Reply{ aScope.mRequest.mRequest.mId, std::move(answer) });
}

void
AnswerStopping(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "entry-stops");
}

void
AnswerStopExpired(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Unknown, "entry-stops");
}

void
AnswerNoLease(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "no-configuration-lease");
}

void
AnswerOverload(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "too-many-requests-in-flight");
}

void
AnswerNoRoute(RequestScope& aScope)
{
  aScope.mEffects.emplace_back(LogRecord{ aScope.mRoute.mRecord });
  ReplyWith(aScope, Outcome::NotRun, aScope.mRoute.mRecord.mReason);
}

void
AnswerNoShare(RequestScope& aScope)
{
  DecisionRecord record = aScope.mRoute.mRecord;
  record.mChoice.clear();
  if (aScope.mRoute.mCandidate) {
    record.mReason = "no-share-of-the-limits";
  }
  ReplyWith(aScope, Outcome::NotRun, record.mReason);
  aScope.mEffects.emplace_back(LogRecord{ std::move(record) });
}

void
AnswerRefused(RequestScope& aScope)
{
  ReplyWith(aScope,
            Outcome::NotRun,
            aScope.mResult.mStage == net::ExchangeStage::NotSent ? "cannot-connect"
                                                                 : "refused-by-backend-server");
}

void
AnswerKeyMissing(RequestScope& aScope)
{
  constexpr unsigned kBadRequest = 400;
  ReplyWith(aScope, Outcome::NotRun, "idempotency-key-missing", kBadRequest);
}

void
AnswerKeyMismatch(RequestScope& aScope)
{
  constexpr unsigned kUnprocessable = 422;
  ReplyWith(aScope, Outcome::NotRun, "idempotency-key-of-another-request", kUnprocessable);
}

void
AnswerClaimUndecided(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "claim-not-decided");
}

void
AnswerAlreadyDispatched(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Unknown, "already-dispatched");
}

void
AnswerStoredResponse(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Run, "");
}

/// The caller has disconnected; the front thread needs an answer to end the request.
void
AnswerCallerGoneNotRun(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::NotRun, "caller-gone");
}

void
AnswerCallerGoneUnknown(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Unknown, "caller-gone");
}

void
AnswerUnknown(RequestScope& aScope)
{
  ReplyWith(aScope, Outcome::Unknown, aScope.mResult.mError);
}

void
SetMayHaveRun(RequestScope& aScope)
{
  aScope.mRequest.mMayHaveRun = true;
}

void
AnswerResult(RequestScope& aScope)
{
  FinishClaim(aScope.mState,
              aScope.mRequest.mRequest.mId,
              true,
              &aScope.mResult.mResponse,
              aScope.mEffects,
              aScope.mNow);
  ReplyWith(aScope, Outcome::Run, "");
}

Instant
DeadlineOf(const State& aState, const CallerRequest& aRequest, Instant aNow)
{
  const auto& services = aState.mConfiguration->mPlan->mServices;
  const auto service = services.find(aRequest.mService);
  const Millis limit =
    service == services.end() ? plan::Service{}.mDeadline : service->second.mDeadline;
  return std::min(aNow + std::min(limit, aRequest.mDeadline.value_or(limit)),
                  aState.mStop.mAnswerDeadline);
}

} // namespace

chart::Registry<RequestScope>
RequestRegistry()
{
  return { { "received", "claiming", "queued", "dispatched", "answered", "not_run", "unknown" },
           { "arrived",
             "claim_granted",
             "claim_answered",
             "claim_dispatched",
             "claim_mismatch",
             "claim_undecided",
             "share_freed",
             "wait_expired",
             "answered",
             "refused",
             "unsent",
             "lost",
             "caller_gone",
             "stop_expired" },
           { { "caller_left", HasCallerLeft },
             { "past_arrival_deadline", IsPastArrivalDeadline },
             { "no_lease", NoLease },
             { "not_admitted", TooManyInFlight },
             { "no_route", NoRoute },
             { "must_wait", MustWait },
             { "cannot_wait", CannotWait },
             { "key_missing", KeyMissing },
             { "claims_full", ClaimsFull },
             { "needs_claim", NeedsClaim },
             { "may_try_again", MayRedispatch },
             { "may_have_run", MayHaveRun },
             { "may_repeat", MayRepeat } },
           { { "answer_stopping", AnswerStopping },
             { "answer_stop_expired", AnswerStopExpired },
             { "answer_no_lease", AnswerNoLease },
             { "answer_overload", AnswerOverload },
             { "answer_no_route", AnswerNoRoute },
             { "answer_no_share", AnswerNoShare },
             { "enqueue", EnqueueRequest },
             { "answer_refused", AnswerRefused },
             { "answer_unknown", AnswerUnknown },
             { "answer_whole", AnswerResult },
             { "answer_key_missing", AnswerKeyMissing },
             { "answer_mismatch", AnswerKeyMismatch },
             { "answer_undecided", AnswerClaimUndecided },
             { "answer_dispatched", AnswerAlreadyDispatched },
             { "answer_first", AnswerStoredResponse },
             { "answer_gone_not_run", AnswerCallerGoneNotRun },
             { "answer_gone_unknown", AnswerCallerGoneUnknown },
             { "note_lost", SetMayHaveRun },
             { "cancel_dispatch", CancelCurrentDispatch },
             { "ask_claim", RequestClaim },
             { "dispatch", DispatchRequest } } };
}

bool
IsRepeatable(const RequestScope& aScope)
{
  const auto& services = aScope.mState.mConfiguration->mPlan->mServices;
  const auto service = services.find(aScope.mRequest.mRequest.mService);
  const bool always = service != services.end() && service->second.mRepeatable;
  return aScope.mRequest.mRequest.mSafe || always;
}

void
FireRequest(RequestScope& aScope, RequestEvent aEvent)
{
  const RequestId id = aScope.mRequest.mRequest.mId;
  const RequestState state =
    chart::Fire(aScope.mState.mCharts.mRequest, aScope.mRequest.mState, aEvent, aScope).mState;
  aScope.mRequest.mState = state;
  if (state == RequestState::Claiming || state == RequestState::Queued ||
      state == RequestState::Dispatched) {
    return;
  }
  aScope.mState.mInFlight.erase(id);
  const bool mayHaveRun = state != RequestState::NotRun;
  FinishClaim(aScope.mState, id, mayHaveRun, nullptr, aScope.mEffects, aScope.mNow);
}

void
HandleArrival(State& aState, CallerRequest aRequest, std::vector<Effect>& aEffects, Instant aNow)
{
  const RequestId id = aRequest.mId;
  InFlightRequest& request = aState.mInFlight[id];
  request.mOrigin = plan::RegionOfClient(aState.mClients, aRequest.mClient)
                      .value_or(aState.mOptions.mEntry.mRegion);
  request.mArrived = aNow;
  request.mDeadline = DeadlineOf(aState, aRequest, aNow);
  request.mRequest = std::move(aRequest);
  RequestScope scope{ aState, request, aEffects, aNow, ChooseRoute(aState, request, aNow), {} };
  FireRequest(scope, RequestEvent::Arrived);
}

void
HandleCallerGone(State& aState, RequestId aId, std::vector<Effect>& aEffects, Instant aNow)
{
  const auto it = aState.mInFlight.find(aId);
  if (it != aState.mInFlight.end()) {
    RequestScope scope{ aState, it->second, aEffects, aNow, {}, {} };
    FireRequest(scope, RequestEvent::CallerGone);
  }
}

void
EndCallerRequests(State& aState, std::vector<Effect>& aEffects, Instant aNow)
{
  for (const RequestId id : KeysOf(aState.mInFlight)) {
    RequestScope scope{ aState, aState.mInFlight.at(id), aEffects, aNow, {}, {} };
    FireRequest(scope, RequestEvent::StopExpired);
  }
}

} // namespace fighold::entry
