#include "front_codec.hpp"
#include "threads.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

#include <map>

namespace fighold::control {
namespace {

/// Longest time that the stop waits for operators to take their answers.
constexpr std::chrono::seconds kStopTimeout{ 15 };

/// Calls open at once; fewer than the ring of answers holds, so that an answer always fits.
constexpr std::size_t kMaxCalls = 512;

} // namespace

struct Front::State
{
  State(Wiring& aWiring, net::ServerOptions aOptions, std::string aToken)
    : mWiring(aWiring)
    , mToken(std::move(aToken))
    , mServer(mLoop, std::move(aOptions), [this](const net::HttpRequest& aRequest) {
      return Handle(aRequest);
    })
  {
    mWiring.mAnswers.SetWakeup([this] { mLoop.Post([this] { DeliverAnswers(); }); });
  }

  net::HttpResponse Handle(const net::HttpRequest& aRequest)
  {
    if (aRequest.mTarget == "/healthz") {
      return { 200, { { "Content-Type", "text/plain" } }, "alive\n" };
    }
    if (aRequest.mTarget == "/metrics") {
      return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, mWiring.mMetrics.Text() };
    }
    const CallId id = mNextId++;
    Parsed parsed = ParseRequest(id, aRequest, mToken);
    if (auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      return std::move(*response);
    }
    boost::fibers::promise<CallAnswer> promise;
    auto future = promise.get_future();
    const bool room = mWaiting.size() < kMaxCalls;
    if (!room || !mWiring.mInbox.TryPush(std::move(std::get<Event>(parsed)), kInboxReserve)) {
      return net::JsonResponse(503, R"({"error":"busy, not accepted"})");
    }
    mWaiting[id] = &promise;
    return ToResponse(aRequest, future.get());
  }

  void DeliverAnswers()
  {
    while (auto answer = mWiring.mAnswers.TryPop()) {
      const auto it = mWaiting.find(answer->mId);
      if (it != mWaiting.end()) {
        it->second->set_value(std::move(answer->mAnswer));
        mWaiting.erase(it);
      }
    }
  }

  Wiring& mWiring;
  std::string mToken;
  net::FiberLoop mLoop;
  net::HttpServer mServer;
  std::map<CallId, boost::fibers::promise<CallAnswer>*> mWaiting;
  CallId mNextId = 1;
  boost::fibers::promise<void> mDrain;
};

Front::Front(Wiring& aWiring, net::ServerOptions aOptions, std::string aToken)
  : mState(std::make_unique<State>(aWiring, std::move(aOptions), std::move(aToken)))
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

} // namespace fighold::control
