#include "fighold/entry/decide.hpp"

#include "availability_chart.hpp"
#include "claiming.hpp"
#include "forward_chart.hpp"
#include "lease_keeping.hpp"
#include "pools.hpp"
#include "probing.hpp"
#include "queueing.hpp"
#include "request_chart.hpp"
#include "stage_chart.hpp"

#include <algorithm>
#include <optional>
#include <type_traits>

namespace fighold::entry {
namespace {

/// Interval between checks whether a drain has ended.
constexpr Millis kDrainCheckInterval{ 100 };

/// Interval between checks for queued requests that are past their deadline.
constexpr Millis kQueueCheckInterval{ 20 };

/// State and time of one call of Step(), and the effects collected so far.
struct Context
{
  State& mState;
  Instant mNow;
  std::vector<Effect> mEffects;
};

void
Handle(CallerRequest aRequest, Context& aContext)
{
  HandleArrival(aContext.mState, std::move(aRequest), aContext.mEffects, aContext.mNow);
}

void
Handle(DispatchDone aDone, Context& aContext)
{
  RecordAvailability(aContext.mState, aDone, aContext.mEffects, aContext.mNow);
  if (HandleProbeDone(aContext.mState, aDone, aContext.mEffects, aContext.mNow)) {
    return;
  }
  if (!HandleForwardDispatchDone(aContext.mState, aDone, aContext.mEffects, aContext.mNow)) {
    HandleDispatchDone(aContext.mState, std::move(aDone), aContext.mEffects, aContext.mNow);
  }
}

/// @return identifier of the request if the event is one of the front, or nothing
std::optional<RequestId>
ArrivingRequest(const Event& aEvent)
{
  return std::visit(
    [](const auto& aBody) -> std::optional<RequestId> {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (std::is_same_v<Body, CallerRequest> || std::is_same_v<Body, ForwardRequest> ||
                    std::is_same_v<Body, Lookup> || std::is_same_v<Body, BackendRenewal> ||
                    std::is_same_v<Body, BackendDeparture> || std::is_same_v<Body, StatusRequest>) {
        return aBody.mId;
      } else {
        return std::nullopt;
      }
    },
    aEvent);
}

/// Lists the entries of one region first, then the others, each in random order to spread callers
/// over the entries.
std::vector<LookupEntry>
ListEntries(State& aState, const RegionId& aRegion)
{
  std::vector<std::pair<std::uint64_t, LookupEntry>> found;
  for (const auto& [id, entry] : aState.mConfiguration->mEntries) {
    if (!IsDrained(*aState.mConfiguration, id)) {
      found.emplace_back(NextRandom(aState), LookupEntry{ id, entry.mAddress, entry.mRegion });
    }
  }
  std::sort(found.begin(), found.end(), [&aRegion](const auto& aLeft, const auto& aRight) {
    const bool left = aLeft.second.mRegion == aRegion;
    const bool right = aRight.second.mRegion == aRegion;
    return left != right ? left : aLeft.first < aRight.first;
  });
  std::vector<LookupEntry> entries;
  entries.reserve(found.size());
  for (auto& it : found) {
    entries.push_back(std::move(it.second));
  }
  return entries;
}

void
Handle(const Lookup& aLookup, Context& aContext)
{
  State& state = aContext.mState;
  LookupAnswer answer;
  answer.mTimeToLive = state.mOptions.mLookupTimeToLive;
  answer.mVersion = state.mConfiguration->mVersion;
  if (!membership::IsValid(state.mLease, aContext.mNow)) {
    answer.mError = "no-configuration-lease";
  } else if (state.mConfiguration->mPlan->mServices.count(aLookup.mService) == 0) {
    answer.mError = "unknown-service";
  } else {
    const auto fromClient = plan::RegionOfClient(state.mClients, aLookup.mClient);
    const RegionId region =
      aLookup.mRegion.value_or(fromClient.value_or(state.mOptions.mEntry.mRegion));
    answer.mEntries = ListEntries(state, region);
  }
  DecisionRecord record{
    "lookup", std::to_string(aLookup.mId), aLookup.mService.mValue, "", answer.mError, {}
  };
  if (!answer.mEntries.empty()) {
    record.mChoice = answer.mEntries.front().mId.mValue;
    record.mReason = "nearest-region-first";
  }
  aContext.mEffects.emplace_back(LogRecord{ record });
  aContext.mEffects.emplace_back(Reply{ aLookup.mId, std::move(answer) });
}

void
Handle(const BackendRenewal& aRenewal, Context& aContext)
{
  HandleRenewal(aContext.mState, aRenewal, aContext.mEffects, aContext.mNow);
}

void
Handle(const BackendDeparture& aDeparture, Context& aContext)
{
  HandleDeparture(aContext.mState, aDeparture, aContext.mEffects, aContext.mNow);
}

void
Handle(const StatusRequest& aRequest, Context& aContext)
{
  const State& state = aContext.mState;
  StatusAnswer answer;
  const bool leased =
    state.mStage == EntryStage::Serving && membership::IsValid(state.mLease, aContext.mNow);
  // Without a lease, an entry is ready only if it may serve unleased and has a route set.
  const bool unleased = state.mOptions.mServeUnleased && state.mStage == EntryStage::Unleased &&
                        state.mRoutes.mSet->mNumber != 0;
  answer.mReady = leased || unleased;
  answer.mState = StageName(state.mStage);
  answer.mVersion = state.mConfiguration->mVersion;
  answer.mPlanNumber = state.mConfiguration->mPlan->mNumber;
  answer.mInFlight = state.mInFlight.size() + state.mForwards.size();
  aContext.mEffects.emplace_back(Reply{ aRequest.mId, answer });
}

void
Handle(const GrantReceived& aGrant, Context& aContext)
{
  HandleGrant(aContext.mState, aGrant, aContext.mEffects, aContext.mNow);
}

void
Handle(const ChangeReplyReceived& aReply, Context& aContext)
{
  HandleChangeReply(aContext.mState, aReply.mReply, aContext.mEffects);
}

void
Handle(const ClaimReplyReceived& aReply, Context& aContext)
{
  HandleClaimEvent(aContext.mState,
                   claims::ReplyReceived{ aReply.mFrom, aReply.mReply },
                   aContext.mEffects,
                   aContext.mNow);
}

void
Handle(ForwardRequest aRequest, Context& aContext)
{
  HandleForwardArrival(aContext.mState, std::move(aRequest), aContext.mEffects, aContext.mNow);
}

void
Handle(const ShareAnswerReceived& aReceived, Context& aContext)
{
  HandleShareAnswer(aContext.mState, aReceived.mAnswer);
}

void
Handle(const CallerGone& aGone, Context& aContext)
{
  if (aGone.mId > aContext.mState.mLastArrival) {
    aContext.mState.mGoneBeforeArrival.insert(aGone.mId);
    return;
  }
  HandleCallerGone(aContext.mState, aGone.mId, aContext.mEffects, aContext.mNow);
  HandleForwardCallerGone(aContext.mState, aGone, aContext.mEffects, aContext.mNow);
}

void
Handle(const Tick& /*aTick*/, Context& aContext)
{
  HandleClaimEvent(aContext.mState, claims::ClientTick{}, aContext.mEffects, aContext.mNow);
  MaintainLease(aContext.mState, aContext.mEffects, aContext.mNow);
  AdjustSplits(aContext.mState, aContext.mNow);
  ProbeServers(aContext.mState, aContext.mEffects, aContext.mNow);
  FireStage(aContext.mState, StageEvent::Tick, aContext.mEffects, aContext.mNow);
}

void
Handle(const Stop& aStop, Context& aContext)
{
  aContext.mState.mStop = aStop.mBudget;
  FireStage(aContext.mState, StageEvent::Stop, aContext.mEffects, aContext.mNow);
  MaintainLease(aContext.mState, aContext.mEffects, aContext.mNow);
}

/// @return true once a planned stop has begun
bool
IsStopping(const State& aState)
{
  return aState.mStage == EntryStage::Draining || aState.mStage == EntryStage::Stopped ||
         aState.mStage == EntryStage::Ended;
}

/// Marks replies after which the connection is closed. Callers then move to other entries while
/// this one still answers.
void
MarkRepliesForClose(std::vector<Effect>& aEffects)
{
  for (Effect& it : aEffects) {
    if (auto* reply = std::get_if<Reply>(&it)) {
      reply->mClose = true;
    }
  }
}

} // namespace

std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow)
{
  Context context{ aState, aNow, {} };
  if (!membership::IsValid(aState.mLease, aNow)) {
    FireStage(aState, StageEvent::LeaseLost, context.mEffects, aNow);
  }
  const auto arriving = ArrivingRequest(aEvent);
  aState.mLastArrival = std::max(aState.mLastArrival, arriving.value_or(0));
  std::visit([&](auto& aBody) { Handle(std::move(aBody), context); }, aEvent);
  if (arriving) {
    aState.mGoneBeforeArrival.erase(*arriving);
  }
  if (!routing::IsEmpty(aState.mQueue)) {
    DispatchWaiting(aState, context.mEffects, aNow);
  }
  if (IsStopping(aState)) {
    MarkRepliesForClose(context.mEffects);
  }
  return std::move(context.mEffects);
}

Instant
NextTick(const State& aState, Instant aNow)
{
  const bool stopping =
    aState.mStage == EntryStage::Draining || aState.mStage == EntryStage::Stopped;
  const Instant due = std::min(aState.mNextRenew, aState.mNextProbes);
  const Instant check =
    std::min(aNow + kDrainCheckInterval, std::max(aNow, aState.mStop.mAnswerDeadline));
  const Instant next = stopping ? std::min(due, check) : due;
  if (!routing::IsEmpty(aState.mQueue)) {
    return std::min(next, aNow + kQueueCheckInterval);
  }
  return std::min(next, claims::NextClientTick(aState.mClaimClient).value_or(next));
}

} // namespace fighold::entry
