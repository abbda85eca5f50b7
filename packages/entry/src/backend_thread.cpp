#include "threads.hpp"

#include "fighold/net/http_client.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <vector>

namespace fighold::entry {
namespace {

/// Idle connections kept for each backend server address.
constexpr std::size_t kMaxIdle = 16;

} // namespace

struct Backend::State
{
  explicit State(Wiring& aWiring)
    : mWiring(aWiring)
  {
    mWiring.mDispatches.SetWakeup([this] { mLoop.Post([this] { mChanged.notify_all(); }); });
  }

  Wiring& mWiring;
  net::FiberLoop mLoop;
  std::map<Endpoint, std::vector<std::unique_ptr<net::HttpConnection>>> mIdle;
  std::size_t mRunning = 0;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;

  std::unique_ptr<net::HttpConnection> TakeConnection(const Endpoint& aEndpoint);
  void KeepConnection(const Endpoint& aEndpoint, std::unique_ptr<net::HttpConnection> aConnection);
  void RunDispatch(const Dispatch& aDispatch);
  void StartDispatches();
};

namespace {

net::HttpRequest
WithHeaders(const Dispatch& aDispatch)
{
  net::HttpRequest request = *aDispatch.mPayload;
  const auto left =
    std::chrono::duration_cast<Millis>(aDispatch.mUntil - std::chrono::steady_clock::now());
  const auto replaced = [](const net::Header& aHeader) {
    return aHeader.mName == "Fighold-Deadline-Ms" || aHeader.mName == "Fighold-Request-Id";
  };
  auto& headers = request.mHeaders;
  headers.erase(std::remove_if(headers.begin(), headers.end(), replaced), headers.end());
  headers.push_back({ "Fighold-Request-Id", std::to_string(aDispatch.mId) });
  headers.push_back(
    { "Fighold-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, left.count())) });
  return request;
}

} // namespace

std::unique_ptr<net::HttpConnection>
Backend::State::TakeConnection(const Endpoint& aEndpoint)
{
  auto& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Reusable()) {
      return connection;
    }
  }
  return std::make_unique<net::HttpConnection>(mLoop, aEndpoint);
}

void
Backend::State::KeepConnection(const Endpoint& aEndpoint,
                               std::unique_ptr<net::HttpConnection> aConnection)
{
  auto& idle = mIdle[aEndpoint];
  if (idle.size() < kMaxIdle && aConnection->Reusable()) {
    idle.push_back(std::move(aConnection));
  }
}

void
Backend::State::RunDispatch(const Dispatch& aDispatch)
{
  const Endpoint& address = aDispatch.mServer.mAddress;
  auto connection = TakeConnection(address);
  DispatchDone done{ aDispatch.mId,
                     aDispatch.mDispatch,
                     connection->Exchange(WithHeaders(aDispatch), aDispatch.mUntil) };
  KeepConnection(address, std::move(connection));
  if (!mWiring.mInbox.TryPush(std::move(done))) {
    throw std::logic_error("the inbox has no place for the result of a dispatch");
  }
  --mRunning;
  mChanged.notify_all();
}

void
Backend::State::StartDispatches()
{
  while (auto dispatch = mWiring.mDispatches.TryPop()) {
    ++mRunning;
    boost::fibers::fiber([this, dispatch = std::move(*dispatch)] {
      RunDispatch(dispatch);
    }).detach();
  }
}

Backend::Backend(Wiring& aWiring)
  : mState(std::make_unique<State>(aWiring))
{
}

Backend::~Backend() = default;

void
Backend::Run()
{
  mState->mLoop.Run([this] {
    std::unique_lock lock(mState->mMutex);
    while (!mState->mWiring.mDispatches.Finished() || mState->mRunning > 0) {
      mState->StartDispatches();
      mState->mChanged.wait(lock);
    }
    mState->mIdle.clear();
  });
}

} // namespace fighold::entry
