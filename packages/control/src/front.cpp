#include "fighold/control/front_codec.hpp"
#include "fighold/net/process_pages.hpp"
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
  State(Wiring& aWiring, const FrontOptions& aOptions)
    : mWiring(aWiring)
    , mToken(aOptions.mToken)
    , mCodec(aOptions.mCodec)
  {
    for (const net::ServerOptions& it : aOptions.mListeners) {
      mServers.push_back(std::make_unique<net::HttpServer>(
        mLoop, it, [this](const net::HttpRequest& aRequest) { return Handle(aRequest); }));
    }
    mWiring.mAnswers.SetWakeup([this] { mLoop.Post([this] { DeliverAnswers(); }); });
  }

  net::HttpResponse Handle(const net::HttpRequest& aRequest)
  {
    if (auto page = net::ProcessPage(aRequest, [this] { return mWiring.mMetrics.Text(); })) {
      return std::move(*page);
    }
    const CallId id = mNextId++;
    ParsedRequest parsed = mCodec.mParse(id, aRequest, mToken);
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
    return mCodec.mToResponse(aRequest, future.get());
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
  FrontCodec mCodec;
  net::FiberLoop mLoop;
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
  std::map<CallId, boost::fibers::promise<CallAnswer>*> mWaiting;
  CallId mNextId = 1;
  boost::fibers::promise<void> mDrain;
};

Front::Front(Wiring& aWiring, const FrontOptions& aOptions)
  : mState(std::make_unique<State>(aWiring, aOptions))
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
    std::vector<boost::fibers::fiber> serving;
    for (const auto& it : mState->mServers) {
      serving.emplace_back([&it] { it->Serve(); });
    }
    mState->mDrain.get_future().wait();
    const Instant until = std::chrono::steady_clock::now() + kStopTimeout;
    for (const auto& it : mState->mServers) {
      it->Stop(until);
    }
    for (auto& it : serving) {
      it.join();
    }
  });
}

void
Front::Drain()
{
  mState->mLoop.Post([this] { mState->mDrain.set_value(); });
}

} // namespace fighold::control
