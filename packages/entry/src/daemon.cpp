#include "fighold/entry/daemon.hpp"

#include "threads.hpp"

#include <future>
#include <thread>

namespace fighold::entry {
namespace {

wire::MessageOptions
MessageOptionsOf(const DaemonOptions& aOptions, Channels& aChannels)
{
  wire::MessageOptions options;
  options.mSelf = aOptions.mDecide.mId.mValue;
  options.mIncarnation = aOptions.mDecide.mEntry.mIncarnation;
  for (const auto& [id, endpoint] : aOptions.mControls) {
    options.mPeers[id.mValue] = endpoint;
  }
  options.mKeys = aOptions.mKeys;
  options.mTraffic = &aChannels.mTraffic;
  return options;
}

std::vector<net::ServerOptions>
ListenersOf(const DaemonOptions& aOptions)
{
  std::vector<net::ServerOptions> listeners{ aOptions.mServer };
  for (const Endpoint& it : aOptions.mAlsoListen) {
    net::ServerOptions options = aOptions.mServer;
    options.mBind = it;
    options.mListener = static_cast<std::uint16_t>(listeners.size());
    listeners.push_back(std::move(options));
  }
  return listeners;
}

/// @return the options with one budget for the messages of both sides
DaemonOptions
WithBudget(DaemonOptions aOptions)
{
  aOptions.mServer.mBudget = std::make_shared<net::MemoryBudget>(aOptions.mMessageMemory);
  aOptions.mClient.mBudget = aOptions.mServer.mBudget;
  return aOptions;
}

/// Converts a message from a control process to an event for the decide thread. If the inbox is
/// full, the message is dropped; the exchange is repeated later.
void
DeliverMessage(Channels& aChannels, wire::Envelope aEnvelope)
{
  if (auto* grant = std::get_if<membership::LeaseGrant>(&aEnvelope.mBody)) {
    aChannels.mInbox.TryPush(GrantReceived{ { aEnvelope.mFrom }, std::move(*grant) },
                             kInboxReserve);
  } else if (auto* done = std::get_if<membership::ChangeReply>(&aEnvelope.mBody)) {
    aChannels.mInbox.TryPush(ChangeReplyReceived{ std::move(*done) }, kInboxReserve);
  } else if (auto* answer = std::get_if<routing::ShareAnswer>(&aEnvelope.mBody)) {
    aChannels.mInbox.TryPush(ShareAnswerReceived{ std::move(*answer) }, kInboxReserve);
  } else if (auto* reply = std::get_if<claims::ClaimReply>(&aEnvelope.mBody)) {
    aChannels.mInbox.TryPush(ClaimReplyReceived{ { aEnvelope.mFrom }, std::move(*reply) },
                             kInboxReserve);
  }
}

} // namespace

struct Daemon::State
{
  explicit State(DaemonOptions aOptions)
    : mSockets(MessageOptionsOf(aOptions, mChannels), mChannels.mControlOut)
    , mFront(mChannels, ListenersOf(aOptions), aOptions.mFront)
    , mBackend(mChannels,
               LoadConnectionChart(aOptions.mCharts),
               { aOptions.mBackend, aOptions.mClient })
  {
    if (aOptions.mDecide.mEntry.mAddress.mPort == 0) {
      aOptions.mDecide.mEntry.mAddress = mFront.Address();
    }
    auto state = MakeState(aOptions.mDecide, LoadCharts(aOptions.mCharts));
    mLogThread = std::thread([this] { telemetry::LogThread(mChannels.mLog); });
    mMessageThread = std::thread([this] {
      mSockets.Run(
        [this](wire::Envelope aEnvelope) { DeliverMessage(mChannels, std::move(aEnvelope)); });
    });
    mBackendThread = std::thread([this] { mBackend.Run(); });
    mDecideThread = std::thread([this, state = std::move(state)]() mutable {
      DecideThread(mChannels, std::move(state), [this] { mStopped.set_value(); });
    });
    mFrontThread = std::thread([this] { mFront.Run(); });
  }

  Channels mChannels;
  wire::MessageSockets mSockets;
  Front mFront;
  Backend mBackend;
  std::promise<void> mStopped;
  std::thread mLogThread;
  std::thread mMessageThread;
  std::thread mBackendThread;
  std::thread mDecideThread;
  std::thread mFrontThread;
};

Daemon::Daemon(DaemonOptions aOptions)
  : mState(std::make_unique<State>(WithBudget(std::move(aOptions))))
{
}

Daemon::~Daemon() = default;

Endpoint
Daemon::Address() const
{
  return mState->mFront.Address();
}

void
Daemon::StopAndWait(const StopBudget& aBudget)
{
  while (!mState->mChannels.mInbox.TryPush(Stop{ aBudget })) {
    std::this_thread::sleep_for(Millis(10));
  }
  mState->mStopped.get_future().wait();
  // The decide thread keeps running until the front thread has answered every request that arrived
  // in the meantime.
  mState->mFront.Drain(aBudget);
  mState->mFrontThread.join();
  mState->mChannels.mInbox.Close();
  mState->mDecideThread.join();
  mState->mChannels.mDispatches.Close();
  mState->mBackendThread.join();
  mState->mChannels.mControlOut.Close();
  mState->mMessageThread.join();
  mState->mChannels.mLog.mRing.Close();
  mState->mLogThread.join();
}

} // namespace fighold::entry
