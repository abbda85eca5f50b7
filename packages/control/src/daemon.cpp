#include "fighold/control/daemon.hpp"

#include "fighold/control/decide.hpp"
#include "fighold/control/wire_codec.hpp"
#include "threads.hpp"

#include <thread>

namespace fighold::control {
namespace {

wire::MessageOptions
MessageOptionsOf(const DaemonOptions& aOptions, Channels& aChannels)
{
  wire::MessageOptions options;
  options.mSelf = aOptions.mSelf.mValue;
  options.mIncarnation = aOptions.mIncarnation;
  options.mBind = aOptions.mMessageBind;
  for (const auto& [id, endpoint] : aOptions.mControls) {
    if (id != aOptions.mSelf) {
      options.mPeers[id.mValue] = endpoint;
    }
  }
  options.mKeys = aOptions.mKeys;
  options.mTraffic = &aChannels.mTraffic;
  return options;
}

/// Passes messages on as events. If the inbox is full, the message is dropped; the sender repeats
/// it.
void
Deliver(Channels& aChannels, wire::Envelope aEnvelope)
{
  const auto push = [&](Event aEvent) {
    aChannels.mInbox.TryPush(std::move(aEvent), kInboxReserve);
  };
  if (auto* renewal = std::get_if<membership::LeaseRenewal>(&aEnvelope.mBody)) {
    push(EntryMessage{ { aEnvelope.mFrom }, std::move(*renewal) });
  } else if (auto* changeRequest = std::get_if<membership::ChangeRequest>(&aEnvelope.mBody)) {
    push(EntryMessage{ { aEnvelope.mFrom }, std::move(*changeRequest) });
  } else if (auto* message = std::get_if<agreement::Message>(&aEnvelope.mBody)) {
    push(ControlMessage{ { aEnvelope.mFrom }, std::move(*message) });
  } else if (auto* controlRenewal =
               std::get_if<membership::ControlLeaseRenewal>(&aEnvelope.mBody)) {
    push(ControlMessage{ { aEnvelope.mFrom }, std::move(*controlRenewal) });
  } else if (auto* controlGrant = std::get_if<membership::ControlLeaseGrant>(&aEnvelope.mBody)) {
    push(ControlMessage{ { aEnvelope.mFrom }, std::move(*controlGrant) });
  } else if (auto* claimRequest = std::get_if<claims::ClaimRequest>(&aEnvelope.mBody)) {
    push(EntryMessage{ { aEnvelope.mFrom }, std::move(*claimRequest) });
  } else if (auto* report = std::get_if<routing::ShareReport>(&aEnvelope.mBody)) {
    push(EntryMessage{ { aEnvelope.mFrom }, std::move(*report) });
  } else if (auto* claimResult = std::get_if<claims::AttemptResult>(&aEnvelope.mBody)) {
    push(EntryMessage{ { aEnvelope.mFrom }, std::move(*claimResult) });
  } else if (auto* copyRequest = std::get_if<claims::CopyRequest>(&aEnvelope.mBody)) {
    push(ControlMessage{ { aEnvelope.mFrom }, std::move(*copyRequest) });
  } else if (auto* copyPage = std::get_if<claims::CopyPage>(&aEnvelope.mBody)) {
    push(ControlMessage{ { aEnvelope.mFrom }, std::move(*copyPage) });
  }
}

std::vector<net::ServerOptions>
ListenersOf(const DaemonOptions& aOptions)
{
  net::ServerOptions first = aOptions.mServer;
  first.mBudget = std::make_shared<net::MemoryBudget>(aOptions.mMessageMemory);
  std::vector<net::ServerOptions> listeners{ first };
  for (const Endpoint& it : aOptions.mAlsoListen) {
    net::ServerOptions options = first;
    options.mBind = it;
    options.mListener = static_cast<std::uint16_t>(listeners.size());
    listeners.push_back(std::move(options));
  }
  return listeners;
}

agreement::Options
AgreementOptionsOf(const DaemonOptions& aOptions)
{
  agreement::Options options;
  options.mSelf = aOptions.mSelf;
  options.mSeed = aOptions.mIncarnation;
  options.mMayBootstrap = aOptions.mMayBootstrap;
  options.mChart = agreement::LoadRoleChart(aOptions.mCharts);
  for (const auto& [id, endpoint] : aOptions.mControls) {
    options.mConfigured.insert(id);
  }
  return options;
}

std::vector<ControlId>
ReplicaIdsOf(const DaemonOptions& aOptions)
{
  std::vector<ControlId> ids;
  for (const auto& [id, endpoint] : aOptions.mControls) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace

struct Daemon::State
{
  explicit State(const DaemonOptions& aOptions)
    : mSockets(MessageOptionsOf(aOptions, mChannels), mChannels.mMessagesOut)
    , mFront(mChannels, { ListenersOf(aOptions), aOptions.mToken, aOptions.mFront })
  {
    auto charts = LoadCharts(aOptions.mCharts);
    auto options = AgreementOptionsOf(aOptions);
    agreement::RecoveredState recovered;
    auto storage = agreement::OpenStorage(
      aOptions.mData, agreement::PosixFileOps(), aOptions.mIncarnation, recovered);
    const bool startedEmpty = recovered.mLog.empty() && recovered.mSnapshot->mIndex == 0;
    auto state = MakeState(agreement::MakeNode(std::move(options), std::move(recovered)),
                           WireCodec(),
                           std::move(charts));
    // A process with an empty data folder may have granted claims before it lost its disk. Only its
    // incarnation among the initial members of the group shows that there are none; see
    // TickClaims().
    const claims::ReplicaOptions replicaOptions{ aOptions.mSelf,
                                                 ReplicaIdsOf(aOptions),
                                                 aOptions.mIncarnation };
    state.mClaims = claims::MakeReplica(replicaOptions, true);
    state.mOptions = aOptions.mDecide;
    state.mStartedEmpty = startedEmpty;
    state.mShifts.mChart = LoadShiftChart(aOptions.mCharts);
    mLogThread = std::thread([this] { telemetry::LogThread(mChannels.mLog); });
    mMessageThread = std::thread([this] {
      mSockets.Run([this](wire::Envelope aEnvelope) { Deliver(mChannels, std::move(aEnvelope)); });
    });
    mStorageThread =
      std::thread([this, storage = std::move(storage), onFatal = aOptions.mOnFatal]() mutable {
        StorageThread(mChannels, std::move(storage), onFatal);
      });
    mDecideThread =
      std::thread([this, state = std::move(state), onFatal = aOptions.mOnFatal]() mutable {
        DecideThread(mChannels, std::move(state), onFatal);
      });
    mFrontThread = std::thread([this] { mFront.Run(); });
  }

  Channels mChannels;
  wire::MessageSockets mSockets;
  Front mFront;
  std::thread mLogThread;
  std::thread mMessageThread;
  std::thread mStorageThread;
  std::thread mDecideThread;
  std::thread mFrontThread;
};

Daemon::Daemon(const DaemonOptions& aOptions)
  : mState(std::make_unique<State>(aOptions))
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
  // The decide thread runs until the front has answered every call.
  mState->mFront.Drain(aBudget);
  mState->mFrontThread.join();
  mState->mChannels.mInbox.Close();
  mState->mDecideThread.join();
  mState->mChannels.mWrites.Close();
  mState->mStorageThread.join();
  mState->mChannels.mMessagesOut.Close();
  mState->mMessageThread.join();
  mState->mChannels.mLog.mRing.Close();
  mState->mLogThread.join();
}

} // namespace fighold::control
