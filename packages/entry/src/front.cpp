#include "fighold/entry/front_codec.hpp"
#include "fighold/net/process_pages.hpp"
#include "fighold/telemetry/faults.hpp"
#include "threads.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

#include <map>

namespace fighold::entry {
namespace {

/// Maximum time for which a planned stop waits until callers have read their answers.
constexpr std::chrono::seconds kStopTimeout{ 60 };

/// @return true for events that a caller's request becomes
bool
IsCallersEvent(const Event& aEvent)
{
  return std::holds_alternative<CallerRequest>(aEvent) ||
         std::holds_alternative<ForwardRequest>(aEvent) || std::holds_alternative<Lookup>(aEvent);
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
    const std::size_t reserved = IsCallersEvent(event) ? kReservedReplies : 0;
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
    // If the inbox is full, the request is not cancelled, and its answer is dropped.
    aWatch.mOnGone = [this, id] { mChannels.mInbox.TryPush(CallerGone{ id }, kInboxReserve); };
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

  void SetLimits(const routes::CallerLimits& aLimits)
  {
    for (const auto& it : mServers) {
      it->SetLimits(aLimits.mMaxHeaderBytes, aLimits.mMaxBodyBytes, aLimits.mIdleTimeout);
    }
  }

  Channels& mChannels;
  std::shared_ptr<net::MemoryBudget> mBudget;
  FrontCodec mCodec;
  net::FiberLoop mLoop;
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
  std::map<RequestId, boost::fibers::promise<Reply>*> mPendingReplies;
  RequestId mNextRequestId = 1;
  boost::fibers::promise<void> mDrain;
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
    std::vector<boost::fibers::fiber> serverFibers;
    for (const auto& it : mState->mServers) {
      serverFibers.emplace_back([&it] { it->Serve(); });
    }
    mState->mDrain.get_future().wait();
    const Instant stopDeadline = std::chrono::steady_clock::now() + kStopTimeout;
    for (const auto& it : mState->mServers) {
      it->Stop(stopDeadline);
    }
    for (auto& it : serverFibers) {
      it.join();
    }
  });
}

void
Front::Drain()
{
  mState->mLoop.Post([this] { mState->mDrain.set_value(); });
}

} // namespace fighold::entry
