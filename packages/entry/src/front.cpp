#include "fighold/entry/front_codec.hpp"
#include "fighold/net/process_pages.hpp"
#include "fighold/net/server_group.hpp"
#include "fighold/telemetry/faults.hpp"
#include "threads.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>

namespace fighold::entry {
namespace {

/// @return true for events that a caller's request becomes
bool
IsCallersEvent(const Event& aEvent)
{
  return std::holds_alternative<CallerRequest>(aEvent) ||
         std::holds_alternative<ForwardRequest>(aEvent) || std::holds_alternative<Lookup>(aEvent);
}

/// @return size of the start line and the fields of a request, without the fields of its connection
std::size_t
HeadBytes(const net::HttpRequest& aRequest)
{
  constexpr std::size_t kFieldSeparators = 4; // ": " and the end of the line
  std::size_t bytes = aRequest.mMethod.size() + aRequest.mTarget.size() + aRequest.mHost.size();
  for (const net::Header& it : aRequest.mHeaders) {
    bytes += it.mName.size() + it.mValue.size() + kFieldSeparators;
  }
  return bytes;
}

/// @return 200, or the status with which a caller's request beyond the limits is refused
unsigned
CheckLimits(const net::HttpRequest& aRequest, const routes::CallerLimits& aLimits)
{
  if (aRequest.mBody.Size() > aLimits.mMaxBodyBytes) {
    return 413;
  }
  return HeadBytes(aRequest) > aLimits.mMaxHeaderBytes ? 431 : 200;
}

} // namespace

struct Front::State
{
  State(Channels& aChannels, const std::vector<net::ServerOptions>& aListeners, FrontCodec aCodec)
    : mChannels(aChannels)
    , mBudget(aListeners.front().mBudget)
    , mCodec(std::move(aCodec))
  {
    for (net::ServerOptions it : aListeners) {
      it.mOnFault = [this](const std::string& aReason) {
        telemetry::ReportConnectionFault(mChannels.mLog, mChannels.mMetrics, "caller", aReason);
      };
      it.mOnUnanswered = [this](const net::UnansweredRequests& aRequests) {
        telemetry::ReportUnanswered(mChannels.mLog,
                                    mChannels.mMetrics,
                                    "caller",
                                    ToText(aRequests.mCause),
                                    aRequests.mCount,
                                    aRequests.mError);
      };
      mServers.push_back(std::make_unique<net::HttpServer>(
        mLoop,
        std::move(it),
        net::WatchedHandler([this](const net::HttpRequest& aRequest, net::CallerWatch& aWatch) {
          return HandleHttpRequest(aRequest, aWatch);
        })));
    }
    mChannels.mReplies.SetWakeup([this] { mLoop.Post([this] { DeliverReplies(); }); });
  }

  net::HttpResponse HandleHttpRequest(const net::HttpRequest& aRequest, net::CallerWatch& aWatch)
  {
    if (!IsCallersOnly(mCodec, aRequest)) {
      const auto metrics = [this] {
        telemetry::SetMessageMemory(mChannels.mMetrics, mBudget->Used(), mBudget->Refusals());
        return mChannels.mMetrics.Text();
      };
      if (auto page = net::ProcessPage(aRequest, metrics)) {
        return std::move(*page);
      }
    }
    const RequestId id = mNextRequestId++;
    ParsedRequest parsed = mCodec.mParse(id, aRequest);
    if (auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      return std::move(*response);
    }
    Event& event = std::get<Event>(parsed);
    const bool isCallers = IsCallersEvent(event);
    if (isCallers && aWatch.mGone) {
      mChannels.mMetrics.Count("requests_abandoned_total");
      return mCodec.mOverloadResponse("caller-gone");
    }
    const unsigned status = isCallers && mLimits ? CheckLimits(aRequest, *mLimits) : 200;
    if (status != 200) {
      return { status, { { "Fighold-Outcome", "not-run" } }, "" };
    }
    const std::size_t reserved = isCallers ? kReservedReplies : 0;
    if (mHasEnded) {
      return mCodec.mOverloadResponse("entry-stops");
    }
    if (mPendingReplies.size() + reserved >= kMaxPendingReplies) {
      mChannels.mMetrics.Count("front_full_total");
      return mCodec.mOverloadResponse("too-many-requests");
    }
    boost::fibers::promise<Reply> promise;
    auto future = promise.get_future();
    mPendingReplies[id] = &promise;
    if (!mChannels.mInbox.TryPush(std::move(event), kInboxReserve)) {
      mPendingReplies.erase(id);
      mChannels.mMetrics.Count("inbox_full_total");
      return mCodec.mOverloadResponse("inbox-full");
    }
    // Behind a long inbox it would come after the dispatch of the request. If the inbox is full,
    // the request is not cancelled, and its answer is dropped.
    aWatch.mOnGone = [this, id](const std::string& aCause) {
      mChannels.mInbox.TryPushUrgent(CallerGone{ id, aCause }, kInboxReserve);
    };
    const Reply reply = future.get();
    aWatch.mOnGone = nullptr;
    auto response = mCodec.mToResponse(id, aRequest, reply.mAnswer);
    if (reply.mClose) {
      response.mHeaders.push_back({ "Connection", "close" });
    }
    return response;
  }

  void DeliverReplies()
  {
    while (auto command = mChannels.mReplies.TryPop()) {
      if (const auto* limits = std::get_if<SetCallerLimits>(&*command)) {
        SetLimits(limits->mLimits);
        continue;
      }
      auto* reply = std::get_if<Reply>(&*command);
      const auto it = mPendingReplies.find(reply->mId);
      if (it != mPendingReplies.end()) {
        it->second->set_value(std::move(*reply));
        mPendingReplies.erase(it);
      }
    }
  }

  /// Ends the requests for which no reply has come.
  void EndHandlers()
  {
    mHasEnded = true;
    const auto pending = std::exchange(mPendingReplies, {});
    for (const auto& [id, promise] : pending) {
      promise->set_exception(std::make_exception_ptr(std::runtime_error("the entry has stopped")));
    }
  }

  /// A listener that takes other calls as well allows what these need, and callers' requests are
  /// checked once they are told apart.
  void SetLimits(const routes::CallerLimits& aLimits)
  {
    mLimits = aLimits;
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      const bool isCallersOnly = mCodec.mFirstListenerIsCallersOnly && n == 0;
      mServers[n]->SetLimits(
        std::max<std::size_t>(aLimits.mMaxHeaderBytes, isCallersOnly ? 0 : kMinCallHeadBytes),
        std::max<std::size_t>(aLimits.mMaxBodyBytes, isCallersOnly ? 0 : kMaxCallBytes),
        aLimits.mIdleTimeout);
    }
  }

  Channels& mChannels;
  std::shared_ptr<net::MemoryBudget> mBudget;
  FrontCodec mCodec;
  std::optional<routes::CallerLimits> mLimits; ///< of the route set in use
  net::FiberLoop mLoop;
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
  std::map<RequestId, boost::fibers::promise<Reply>*> mPendingReplies;
  RequestId mNextRequestId = 1;
  bool mHasEnded = false; ///< no reply is waited for any longer
  boost::fibers::promise<StopBudget> mStop;
};

Front::Front(Channels& aChannels,
             const std::vector<net::ServerOptions>& aListeners,
             FrontCodec aCodec)
  : mState(std::make_unique<State>(aChannels, aListeners, std::move(aCodec)))
{
}

Front::~Front() = default;

Endpoint
Front::Address() const
{
  return mState->mServers.front()->Address();
}

void
Front::Run()
{
  mState->mLoop.Run([this] {
    const net::StopHooks hooks{
      [this](const net::StopProgress& aProgress) {
        telemetry::LogDecision(mState->mChannels.mLog, net::RecordOf(aProgress));
      },
      [this] { mState->EndHandlers(); },
    };
    net::RunServers(mState->mServers, mState->mStop.get_future(), hooks);
  });
}

void
Front::Drain(const StopBudget& aBudget)
{
  mState->mLoop.Post([this, aBudget] { mState->mStop.set_value(aBudget); });
}

} // namespace fighold::entry
