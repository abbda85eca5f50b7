#include "threads.hpp"

#include "fighold/net/http_client.hpp"
#include "fighold/telemetry/faults.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <exception>
#include <map>

namespace fighold::entry {
namespace {

/// Time between two checks of the idle connections.
constexpr Millis kIdleCheckInterval{ 1000 };

/// Time until a result that found the inbox full is offered again.
constexpr Millis kInboxPause{ 5 };

constexpr const char* kHeldError = "the server wants no requests";

/// @return a result without an answer yet
DispatchDone
ResultOf(const Dispatch& aDispatch)
{
  DispatchDone done{ aDispatch.mId, aDispatch.mDispatchId, {} };
  done.mServer = { aDispatch.mServer.mId, aDispatch.mServer.mIncarnation };
  return done;
}

/// A dispatch in progress.
struct RunningDispatch
{
  bool mCancelled = false;
  std::shared_ptr<PooledConnection> mConnection; ///< null until one was acquired
  ExchangeId mExchange{};
};

} // namespace

struct Backend::State
{
  State(Channels& aChannels, chart::BoundChart<ConnectionScope> aChart, BackendOptions aOptions)
    : mChannels(aChannels)
    , mCodec(std::move(aOptions.mCodec))
    , mFollowTime(aOptions.mFollowTime)
  {
    mPool.mChart = std::move(aChart);
    aOptions.mClient.mOnFault = [this](const Endpoint& aServer, const std::string& aReason) {
      ReportFault(aServer, aReason);
    };
    mPool.mCreateConnection = [this, options = aOptions.mClient](const Endpoint& aEndpoint) {
      return std::make_unique<net::HttpConnection>(mLoop, aEndpoint, options);
    };
    mChannels.mDispatches.SetWakeup([this] { mLoop.Post([this] { mChanged.notify_all(); }); });
  }

  Channels& mChannels;
  BackendCodec mCodec;
  Millis mFollowTime;
  net::FiberLoop mLoop;
  ConnectionPool mPool;
  std::map<std::uint64_t, RunningDispatch> mRunning;
  std::map<ServerKey, Instant> mHeldUntil; ///< servers that want no requests
  Instant mNextIdleCheck{};
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;

  std::shared_ptr<PooledConnection> Connect(const Dispatch& aDispatch,
                                            net::ExchangeResult& aResult);
  net::ExchangeResult Exchange(const Dispatch& aDispatch, PooledConnection& aConnection);
  void DropIfFollowed(net::HttpConnection& aConnection, net::ExchangeResult& aResult) const;
  void Perform(const Dispatch& aDispatch, DispatchDone& aDone);
  void Report(DispatchDone aDone);
  void ReportFault(const Endpoint& aServer, const std::string& aReason);
  void RunDispatch(const Dispatch& aDispatch);
  void Start(Dispatch aDispatch);
  void Cancel(const CancelDispatch& aCancel);
  void Hold(const HoldServer& aHold);
  bool IsHeld(const Dispatch& aDispatch) const;
  void ProcessCommands();
  void Wait(std::unique_lock<boost::fibers::mutex>& aLock);
};

/// Acquires a connection for a dispatch, and opens it unless it is open.
/// @param aResult receives the reason if nothing can be sent, and the time that opening took
/// @return connection in the state busy, or null
std::shared_ptr<PooledConnection>
Backend::State::Connect(const Dispatch& aDispatch, net::ExchangeResult& aResult)
{
  RunningDispatch& running = mRunning.at(aDispatch.mDispatchId);
  const auto unsent = [&aResult](const std::string& aError) {
    aResult = { net::ExchangeStage::NotSent, {}, aError };
    return nullptr;
  };
  if (running.mCancelled) {
    return unsent("cancelled");
  }
  if (IsHeld(aDispatch)) {
    return unsent(kHeldError);
  }
  const auto now = [] { return std::chrono::steady_clock::now(); };
  auto connection = AcquireConnection(mPool,
                                      aDispatch.mServer.mAddress,
                                      mCodec.mRequestId(aDispatch),
                                      aDispatch.mConnectionShare,
                                      now());
  if (!connection) {
    return unsent("connection share used up");
  }
  running.mConnection = connection;
  running.mExchange = { connection->mNumber, connection->mExchanges };
  if (connection->mState != ConnectionState::Connecting) {
    return connection;
  }
  const Instant start = now();
  const std::string error =
    connection->mHttp->Connect(std::min(aDispatch.mExchangeDeadline, aDispatch.mConnectDeadline));
  if (!error.empty() || running.mCancelled) {
    FireConnection(mPool, connection, ConnectionEvent::Failed, now());
    return unsent(error);
  }
  // The server may have spoken while the connection was being opened.
  if (IsHeld(aDispatch)) {
    FireConnection(mPool, connection, ConnectionEvent::Failed, now());
    return unsent(kHeldError);
  }
  aResult.mConnectTime = now() - start;
  mChannels.mMetrics.Count("connections_opened_total");
  FireConnection(mPool, connection, ConnectionEvent::Connected, now());
  return connection;
}

net::ExchangeResult
Backend::State::Exchange(const Dispatch& aDispatch, PooledConnection& aConnection)
{
  const bool isNamed = !mCodec.mRequestId(aDispatch).empty();
  // The answer to an earlier health request may be written once more; it names no request.
  const bool isDoubtful = isNamed && aConnection.mUnnamedRequests > 0;
  const net::ExchangeLimits limits{
    aDispatch.mExchangeDeadline,
    aDispatch.mFirstByteDeadline,
    aDispatch.mSendDeadline,
    aDispatch.mMaxAnswerBytes,
    [this, &aDispatch, isDoubtful](const net::HttpResponse& aResponse) {
      return (!isDoubtful || mCodec.mNamesRequest(aResponse)) &&
             mCodec.mMatchesDispatch(aDispatch, aResponse);
    },
  };
  const auto timeLeft = std::chrono::duration_cast<Millis>(
    std::min(aDispatch.mDeadline, aDispatch.mExchangeDeadline) - std::chrono::steady_clock::now());
  const auto request = mCodec.mEncode(aDispatch, std::max(Millis(0), timeLeft));
  auto result = aConnection.mHttp->Exchange(request, limits);
  if (!isNamed && aConnection.mUnnamedRequests > 1) {
    DropIfFollowed(*aConnection.mHttp, result);
  }
  return result;
}

/// Drops the answer to a request without identifier if another answer follows it: it may then be
/// the copy of an earlier one, and tells a state of the server that has passed.
void
Backend::State::DropIfFollowed(net::HttpConnection& aConnection, net::ExchangeResult& aResult) const
{
  if (aResult.mStage != net::ExchangeStage::Answered) {
    return;
  }
  if (!aResult.mFollowed) {
    boost::this_fiber::sleep_for(mFollowTime);
  }
  if (aResult.mFollowed || aConnection.HasUnaskedBytes()) {
    aConnection.Close();
    aResult.mStage = net::ExchangeStage::NoAnswer;
    aResult.mResponse = {};
    aResult.mError = "read: another answer follows one that names no request";
  }
}

/// Passes a result on. While the inbox is full the fiber sleeps; a closed inbox takes no result,
/// since the decide thread has ended.
void
Backend::State::Report(DispatchDone aDone)
{
  Event event = std::move(aDone);
  // TryPush() moves the event only on success.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  while (!mChannels.mInbox.TryPush(std::move(event)) && !mChannels.mInbox.Closed()) {
    mChannels.mMetrics.Count("results_delayed_total");
    boost::this_fiber::sleep_for(kInboxPause);
  }
}

void
Backend::State::ReportFault(const Endpoint& aServer, const std::string& aReason)
{
  telemetry::ReportConnectionFault(mChannels.mLog, mChannels.mMetrics, ToText(aServer), aReason);
}

void
Backend::State::Perform(const Dispatch& aDispatch, DispatchDone& aDone)
{
  const auto connection = Connect(aDispatch, aDone.mResult);
  if (!connection) {
    return;
  }
  const Duration connectTime = aDone.mResult.mConnectTime;
  aDone.mResult = Exchange(aDispatch, *connection);
  aDone.mResult.mConnectTime = connectTime;
  if (aDone.mResult.mStage == net::ExchangeStage::Answered) {
    const net::HttpResponse& response = aDone.mResult.mResponse;
    aDone.mMeaning = mCodec.mMeaning(aDispatch, response, aDone.mResult.mReused);
    aDone.mReport = mCodec.mReport(aDispatch, response);
    // The answer to the request may follow one that names no request.
    if (aDone.mMeaning == AnswerMeaning::Unusable && !mCodec.mRequestId(aDispatch).empty() &&
        !mCodec.mNamesRequest(response)) {
      connection->mHttp->Close();
    }
  }
  EndExchange(mPool, connection, aDone.mResult, std::chrono::steady_clock::now());
}

void
Backend::State::RunDispatch(const Dispatch& aDispatch)
{
  DispatchDone done = ResultOf(aDispatch);
  try {
    Perform(aDispatch, done);
  } catch (const std::exception& error) {
    // The request may have been sent.
    done = ResultOf(aDispatch);
    done.mResult = { net::ExchangeStage::NoAnswer, {}, std::string("exception: ") + error.what() };
    const auto connection = mRunning.at(aDispatch.mDispatchId).mConnection;
    if (connection && connection->mState != ConnectionState::Idle) {
      FireConnection(
        mPool, connection, ConnectionEvent::Cancelled, std::chrono::steady_clock::now());
    }
    ReportFault(aDispatch.mServer.mAddress, error.what());
  }
  if (done.mResult.mSilent) {
    mChannels.mMetrics.Count("connections_silent_total");
  }
  if (done.mResult.mPassedOver > 0) {
    mChannels.mMetrics.Count("answers_passed_over_total", {}, done.mResult.mPassedOver);
  }
  done.mExchange = mRunning.at(aDispatch.mDispatchId).mExchange;
  const bool cancelled = mRunning.at(aDispatch.mDispatchId).mCancelled;
  mRunning.erase(aDispatch.mDispatchId);
  if (!cancelled) {
    Report(std::move(done));
  }
  mChanged.notify_all();
}

void
Backend::State::Start(Dispatch aDispatch)
{
  mRunning[aDispatch.mDispatchId] = {};
  boost::fibers::fiber([this, dispatch = std::move(aDispatch)] { RunDispatch(dispatch); }).detach();
}

void
Backend::State::Cancel(const CancelDispatch& aCancel)
{
  const auto it = mRunning.find(aCancel.mDispatchId);
  if (it == mRunning.end()) {
    return;
  }
  it->second.mCancelled = true;
  if (it->second.mConnection) {
    FireConnection(
      mPool, it->second.mConnection, ConnectionEvent::Cancelled, std::chrono::steady_clock::now());
  }
}

void
Backend::State::Hold(const HoldServer& aHold)
{
  const Instant now = std::chrono::steady_clock::now();
  for (auto it = mHeldUntil.begin(); it != mHeldUntil.end();) {
    it = now >= it->second ? mHeldUntil.erase(it) : std::next(it);
  }
  mHeldUntil[aHold.mServer] = aHold.mUntil;
}

bool
Backend::State::IsHeld(const Dispatch& aDispatch) const
{
  const auto it = mHeldUntil.find({ aDispatch.mServer.mId, aDispatch.mServer.mIncarnation });
  return it != mHeldUntil.end() && std::chrono::steady_clock::now() < it->second;
}

void
Backend::State::ProcessCommands()
{
  while (auto command = mChannels.mDispatches.TryPop()) {
    if (auto* dispatch = std::get_if<Dispatch>(&*command)) {
      Start(std::move(*dispatch));
    } else if (const auto* hold = std::get_if<HoldServer>(&*command)) {
      Hold(*hold);
    } else {
      Cancel(std::get<CancelDispatch>(*command));
    }
  }
}

/// Waits for commands; if there are idle connections, only until their next check is due.
void
Backend::State::Wait(std::unique_lock<boost::fibers::mutex>& aLock)
{
  if (CountIdle(mPool) == 0) {
    mChanged.wait(aLock);
    return;
  }
  mChanged.wait_until(aLock, mNextIdleCheck);
  const Instant now = std::chrono::steady_clock::now();
  if (now >= mNextIdleCheck) {
    CloseStaleConnections(mPool, now);
    mNextIdleCheck = now + kIdleCheckInterval;
  }
}

Backend::Backend(Channels& aChannels,
                 chart::BoundChart<ConnectionScope> aChart,
                 BackendOptions aOptions)
  : mState(std::make_unique<State>(aChannels, std::move(aChart), std::move(aOptions)))
{
}

Backend::~Backend() = default;

void
Backend::Run()
{
  mState->mLoop.Run([this] {
    std::unique_lock lock(mState->mMutex);
    while (!mState->mChannels.mDispatches.Finished() || !mState->mRunning.empty()) {
      mState->ProcessCommands();
      mState->Wait(lock);
    }
    mState->mPool.mByEndpoint.clear();
  });
}

} // namespace fighold::entry
