#include "front_codec.hpp"
#include "threads.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

#include <map>

namespace fighold::entry {
namespace {

/// Longest time that the stop waits for callers to take their answers.
constexpr std::chrono::seconds kStopTimeout{ 60 };

} // namespace

struct Front::State
{
  State(Wiring& aWiring, net::ServerOptions aOptions)
    : mWiring(aWiring)
    , mServer(
        mLoop,
        std::move(aOptions),
        net::WatchedHandler([this](const net::HttpRequest& aRequest, net::CallerWatch& aWatch) {
          return Handle(aRequest, aWatch);
        }))
  {
    mWiring.mReplies.SetWakeup([this] { mLoop.Post([this] { DeliverReplies(); }); });
  }

  net::HttpResponse Handle(const net::HttpRequest& aRequest, net::CallerWatch& aWatch)
  {
    if (aRequest.mTarget == "/healthz") {
      return { 200, { { "Content-Type", "text/plain" } }, "alive\n" };
    }
    if (aRequest.mTarget == "/metrics") {
      return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, mWiring.mMetrics.Text() };
    }
    const RequestId id = mNextId++;
    Parsed parsed = ParseRequest(id, aRequest);
    if (auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      return std::move(*response);
    }
    boost::fibers::promise<Reply> promise;
    auto future = promise.get_future();
    mWaiting[id] = &promise;
    if (!mWiring.mInbox.TryPush(std::move(std::get<Event>(parsed)), kInboxReserve)) {
      mWaiting.erase(id);
      mWiring.mMetrics.Count("inbox_full_total");
      return NotRunResponse("inbox-full");
    }
    // Without room in the inbox the request runs on and its answer is dropped.
    aWatch.mOnGone = [this, id] { mWiring.mInbox.TryPush(CallerGone{ id }, kInboxReserve); };
    const Reply reply = future.get();
    aWatch.mOnGone = nullptr;
    auto response = ToResponse(id, reply.mAnswer);
    if (reply.mClose) {
      response.mHeaders.push_back({ "Connection", "close" });
    }
    return response;
  }

  void DeliverReplies()
  {
    while (auto reply = mWiring.mReplies.TryPop()) {
      const auto it = mWaiting.find(reply->mId);
      if (it != mWaiting.end()) {
        it->second->set_value(std::move(*reply));
        mWaiting.erase(it);
      }
    }
  }

  Wiring& mWiring;
  net::FiberLoop mLoop;
  net::HttpServer mServer;
  std::map<RequestId, boost::fibers::promise<Reply>*> mWaiting;
  RequestId mNextId = 1;
  boost::fibers::promise<void> mDrain;
};

Front::Front(Wiring& aWiring, net::ServerOptions aOptions)
  : mState(std::make_unique<State>(aWiring, std::move(aOptions)))
{
}

Front::~Front() = default;

Endpoint
Front::Address() const
{
  return mState->mServer.Address();
}

void
Front::Run()
{
  mState->mLoop.Run([this] {
    boost::fibers::fiber serve([this] { mState->mServer.Serve(); });
    mState->mDrain.get_future().wait();
    mState->mServer.Stop(std::chrono::steady_clock::now() + kStopTimeout);
    serve.join();
  });
}

void
Front::Drain()
{
  mState->mLoop.Post([this] { mState->mDrain.set_value(); });
}

} // namespace fighold::entry
