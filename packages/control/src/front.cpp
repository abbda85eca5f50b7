#include "fighold/control/front_codec.hpp"
#include "fighold/net/process_pages.hpp"
#include "fighold/net/server_group.hpp"
#include "fighold/telemetry/faults.hpp"
#include "threads.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>

#include <exception>
#include <map>
#include <stdexcept>
#include <utility>

namespace fighold::control {
namespace {

/// Maximum number of pending calls; below the capacity of the answer ring, so that it never fills.
constexpr std::size_t kMaxCalls = 512;

/// Time for which a call without a number is held before it is decided. A call that arrives late,
/// from the socket of a process that was frozen or over a link that was cut, is followed by the end
/// of its connection within a round trip if its client has given up; 70 ms between regions.
constexpr Millis kHoldTime{ 100 };

/// @return true if a late copy of a call cannot be told from a new one, so that it may undo what
/// was acknowledged since
bool
IsUnnumbered(const Event& aEvent)
{
  const auto* change = std::get_if<ChangeCall>(&aEvent);
  return std::holds_alternative<ServerWithdrawal>(aEvent) || (change && !change->mIsNumbered);
}

} // namespace

struct Front::State
{
  State(Channels& aChannels, const FrontOptions& aOptions)
    : mChannels(aChannels)
    , mBudget(aOptions.mListeners.front().mBudget)
    , mToken(aOptions.mToken)
    , mCodec(aOptions.mCodec)
  {
    for (net::ServerOptions it : aOptions.mListeners) {
      it.mOnFault = [this](const std::string& aReason) {
        telemetry::ReportConnectionFault(mChannels.mLog, mChannels.mMetrics, "client", aReason);
      };
      it.mOnUnanswered = [this](const net::UnansweredRequests& aRequests) {
        telemetry::ReportUnanswered(mChannels.mLog,
                                    mChannels.mMetrics,
                                    "client",
                                    ToText(aRequests.mCause),
                                    aRequests.mCount,
                                    aRequests.mError);
      };
      mServers.push_back(std::make_unique<net::HttpServer>(
        mLoop,
        std::move(it),
        net::WatchedHandler([this](const net::HttpRequest& aRequest, net::CallerWatch& aWatch) {
          return net::HoldOrRefuse(mBudget, Handle(aRequest, aWatch));
        })));
    }
    mChannels.mAnswers.SetWakeup([this] { mLoop.Post([this] { DeliverAnswers(); }); });
  }

  net::HttpResponse Handle(const net::HttpRequest& aRequest, const net::CallerWatch& aWatch)
  {
    const auto metrics = [this] {
      telemetry::SetMessageMemory(mChannels.mMetrics, mBudget->Used(), mBudget->Refusals());
      return mChannels.mMetrics.Text();
    };
    if (auto page = net::ProcessPage(aRequest, metrics)) {
      return std::move(*page);
    }
    const CallId id = mNextId++;
    ParsedRequest parsed = mCodec.mParse(id, aRequest, mToken);
    if (auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      return std::move(*response);
    }
    if (IsUnnumbered(std::get<Event>(parsed))) {
      boost::this_fiber::sleep_for(kHoldTime);
      if (aWatch.mGone) {
        mChannels.mMetrics.Count("calls_abandoned_total");
        return net::JsonResponse(503, R"({"error":"the client has gone, not accepted"})");
      }
    }
    boost::fibers::promise<CallAnswer> promise;
    auto future = promise.get_future();
    const bool hasCapacity = !mHasEnded && mPendingAnswers.size() < kMaxCalls;
    if (!hasCapacity ||
        !mChannels.mInbox.TryPush(std::move(std::get<Event>(parsed)), kInboxReserve)) {
      return net::JsonResponse(503, R"({"error":"busy, not accepted"})");
    }
    mPendingAnswers[id] = &promise;
    return mCodec.mToResponse(aRequest, future.get());
  }

  void DeliverAnswers()
  {
    while (auto answer = mChannels.mAnswers.TryPop()) {
      const auto it = mPendingAnswers.find(answer->mId);
      if (it != mPendingAnswers.end()) {
        it->second->set_value(std::move(answer->mAnswer));
        mPendingAnswers.erase(it);
      }
    }
  }

  /// Ends the calls for which no answer has come.
  void EndHandlers()
  {
    mHasEnded = true;
    const auto pending = std::exchange(mPendingAnswers, {});
    for (const auto& [id, promise] : pending) {
      promise->set_exception(
        std::make_exception_ptr(std::runtime_error("the control process has stopped")));
    }
  }

  Channels& mChannels;
  std::shared_ptr<net::MemoryBudget> mBudget;
  std::string mToken;
  FrontCodec mCodec;
  net::FiberLoop mLoop;
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
  std::map<CallId, boost::fibers::promise<CallAnswer>*> mPendingAnswers;
  CallId mNextId = 1;
  bool mHasEnded = false; ///< no answer is waited for any longer
  boost::fibers::promise<StopBudget> mStop;
};

Front::Front(Channels& aChannels, const FrontOptions& aOptions)
  : mState(std::make_unique<State>(aChannels, aOptions))
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

} // namespace fighold::control
