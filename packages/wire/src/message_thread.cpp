#include "fighold/wire/message_thread.hpp"

#include "authentication.hpp"
#include "fighold/wire/codec.hpp"

#include <zmq.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace fighold::wire {
namespace {

constexpr int kHighWaterMark = 4096;
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1500;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 300;

/// Time after which a connection attempt, or bytes that nobody acknowledges, show that the path is
/// cut; several round trips between regions fit in.
constexpr int kCutMs = 1500;

/// Maximum number of connections opened to addresses when first used; several times the control
/// processes of the largest deployment (36).
constexpr std::size_t kMaxOnDemandDealers = 128;
constexpr std::int64_t kMaxMessageBytes = 256LL << 20U;

/// File descriptor that wakes zmq_poll when the ring turns from empty to not empty.
class WakeupDescriptor
{
public:
  WakeupDescriptor()
    : mFile(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  {
    if (mFile < 0) {
      throw std::runtime_error("cannot create an event descriptor");
    }
  }
  ~WakeupDescriptor() { ::close(mFile); }
  WakeupDescriptor(const WakeupDescriptor&) = delete;
  WakeupDescriptor& operator=(const WakeupDescriptor&) = delete;

  void Signal() const
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = ::write(mFile, &one, sizeof(one));
  }

  void Clear() const
  {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t n = ::read(mFile, &count, sizeof(count));
  }

  int Descriptor() const { return mFile; }

private:
  int mFile;
};

void
SetCommonOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  aSocket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  aSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  aSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  aSocket.set(zmq::sockopt::connect_timeout, kCutMs);
  aSocket.set(zmq::sockopt::tcp_maxrt, kCutMs);
}

Endpoint
LastEndpoint(const zmq::socket_t& aSocket)
{
  const std::string text = aSocket.get(zmq::sockopt::last_endpoint);
  const std::string prefix = "tcp://";
  return ParseEndpoint(text.substr(std::min(text.size(), prefix.size()))).value_or(Endpoint{});
}

} // namespace

struct MessageSockets::State
{
  State(MessageOptions aOptions, OutboundRing& aOut)
    : mOptions(std::move(aOptions))
    , mOut(aOut)
    , mContext(1, mOptions.mMaxSockets)
  {
  }

  MessageOptions mOptions;
  OutboundRing& mOut;
  zmq::context_t mContext;
  std::optional<zmq::socket_t> mAuthenticator;
  std::optional<zmq::socket_t> mRouter;
  std::map<std::string, zmq::socket_t> mDealers;
  std::list<std::string> mOnDemand; ///< dealers opened when first used, latest use first
  std::size_t mDealerChanges = 0;   ///< dealers opened or closed so far
  WakeupDescriptor mWakeup;

  void OpenRouter()
  {
    mRouter.emplace(mContext, zmq::socket_type::router);
    SetCommonOptions(*mRouter);
    // A restarted process connects again under its old identity before the old connection is gone.
    mRouter->set(zmq::sockopt::router_handover, 1);
    if (mOptions.mKeys) {
      mAuthenticator.emplace(detail::OpenAuthenticator(mContext));
      detail::SetServerKeys(*mRouter, *mOptions.mKeys);
    }
    try {
      mRouter->bind("tcp://" + ToText(*mOptions.mBind));
    } catch (const zmq::error_t& error) {
      throw std::runtime_error("cannot listen on " + ToText(*mOptions.mBind) + ": " + error.what());
    }
  }

  void OpenDealer(const std::string& aId, const Endpoint& aEndpoint)
  {
    zmq::socket_t dealer(mContext, zmq::socket_type::dealer);
    SetCommonOptions(dealer);
    dealer.set(zmq::sockopt::routing_id, mOptions.mSelf);
    // Without a connection a send fails at once instead of queueing a message that would arrive
    // late.
    dealer.set(zmq::sockopt::immediate, 1);
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    if (mOptions.mKeys) {
      detail::SetClientKeys(dealer, *mOptions.mKeys, aId);
    }
    dealer.connect("tcp://" + ToText(aEndpoint));
    mDealers.emplace(aId, std::move(dealer));
    ++mDealerChanges;
  }

  /// Makes room for another dealer. Any sender may name an address that is answered, while the
  /// library ends an opening with an exception once all its sockets are in use.
  void CloseUnusedDealer()
  {
    if (mOnDemand.size() >= kMaxOnDemandDealers) {
      mDealers.erase(mOnDemand.back());
      mOnDemand.pop_back();
      ++mDealerChanges;
    }
  }

  /// Opens a dealer to a sender's address. Closed sockets are freed by a thread of the library, so
  /// that all may be in use when many are opened in a row; the message is dropped then.
  /// @return the dealer, or the end
  std::map<std::string, zmq::socket_t>::iterator OpenDealerOnDemand(const std::string& aId,
                                                                    const Endpoint& aEndpoint)
  {
    CloseUnusedDealer();
    try {
      OpenDealer(aId, aEndpoint);
    } catch (const zmq::error_t&) {
      if (mOptions.mTraffic != nullptr) {
        mOptions.mTraffic->CountUnsent();
      }
      return mDealers.end();
    }
    mOnDemand.push_front(aId);
    return mDealers.find(aId);
  }

  void SendOne(const Outbound& aOutbound)
  {
    const std::string bytes =
      EncodeEnvelope(Envelope{ mOptions.mSelf, mOptions.mIncarnation, aOutbound.mBody });
    if (mOptions.mTraffic != nullptr) {
      mOptions.mTraffic->CountSent(KindOf(aOutbound.mBody), bytes.size());
    }
    auto dealer = mDealers.find(aOutbound.mTo);
    if (dealer == mDealers.end() && !mOptions.mKeys && aOutbound.mTo != mOptions.mSelf) {
      const auto endpoint = ParseEndpoint(aOutbound.mTo);
      if (endpoint && IsUnicast(*endpoint)) {
        dealer = OpenDealerOnDemand(aOutbound.mTo, *endpoint);
      }
    } else if (const auto it = std::find(mOnDemand.begin(), mOnDemand.end(), aOutbound.mTo);
               it != mOnDemand.end()) {
      mOnDemand.splice(mOnDemand.begin(), mOnDemand, it);
    }
    if (dealer != mDealers.end()) {
      dealer->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
      return;
    }
    if (mRouter) {
      mRouter->send(zmq::buffer(aOutbound.mTo),
                    zmq::send_flags::sndmore | zmq::send_flags::dontwait);
      mRouter->send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }
  }

  std::vector<zmq::pollitem_t> PollItems()
  {
    std::vector<zmq::pollitem_t> items;
    items.push_back({ nullptr, mWakeup.Descriptor(), ZMQ_POLLIN, 0 });
    if (mRouter) {
      items.push_back({ mRouter->handle(), 0, ZMQ_POLLIN, 0 });
    }
    for (auto& [id, dealer] : mDealers) {
      items.push_back({ dealer.handle(), 0, ZMQ_POLLIN, 0 });
    }
    if (mAuthenticator) {
      items.push_back({ mAuthenticator->handle(), 0, ZMQ_POLLIN, 0 });
    }
    return items;
  }

  void SendAll()
  {
    while (const auto outbound = mOut.TryPop()) {
      SendOne(*outbound);
    }
  }

  /// @return true when the message came over a connection of that process's key, or no keys are
  /// used
  bool IsFromKeyOf(zmq::message_t& aPart, const std::string& aSender) const
  {
    if (!mOptions.mKeys) {
      return true;
    }
    const char* user = ::zmq_msg_gets(aPart.handle(), "User-Id");
    return user != nullptr && aSender == user;
  }

  void ReceiveFromRouter(const std::function<void(Envelope)>& aDeliver)
  {
    while (true) {
      zmq::message_t part;
      if (!mRouter->recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
      // Messages begin with the sender's identity.
      const std::string identity = part.to_string();
      if (!part.more() || !mRouter->recv(part, zmq::recv_flags::dontwait)) {
        continue;
      }
      const bool own = IsFromKeyOf(part, identity);
      Receive(*mRouter, part, own ? identity : std::string(), aDeliver);
    }
  }

  void ReceiveFromDealer(const std::string& aId,
                         zmq::socket_t& aSocket,
                         const std::function<void(Envelope)>& aDeliver) const
  {
    zmq::message_t part;
    while (aSocket.recv(part, zmq::recv_flags::dontwait)) {
      Receive(aSocket, part, aId, aDeliver);
    }
  }

  /// Takes the rest of a message and delivers it. A sender may not speak for another one.
  void Receive(zmq::socket_t& aSocket,
               zmq::message_t& aPart,
               const std::string& aSender,
               const std::function<void(Envelope)>& aDeliver) const
  {
    const std::size_t size = aPart.size();
    auto envelope = DecodeEnvelope(aPart.to_string_view());
    if (!envelope && mOptions.mTraffic != nullptr) {
      mOptions.mTraffic->CountUnreadable();
    }
    while (aPart.more() && aSocket.recv(aPart, zmq::recv_flags::dontwait)) {
      envelope.reset();
    }
    if (envelope && !aSender.empty() && envelope->mFrom == aSender) {
      if (mOptions.mTraffic != nullptr) {
        mOptions.mTraffic->CountReceived(KindOf(envelope->mBody), size);
      }
      aDeliver(std::move(*envelope));
    }
  }
};

MessageSockets::MessageSockets(MessageOptions aOptions, OutboundRing& aOut)
  : mState(std::make_unique<State>(std::move(aOptions), aOut))
{
  aOut.SetWakeup([state = mState.get()] { state->mWakeup.Signal(); });
  if (mState->mOptions.mBind) {
    mState->OpenRouter();
  }
  for (const auto& [id, endpoint] : mState->mOptions.mPeers) {
    mState->OpenDealer(id, endpoint);
  }
}

MessageSockets::~MessageSockets() = default;

Endpoint
MessageSockets::Address() const
{
  return mState->mRouter ? LastEndpoint(*mState->mRouter) : Endpoint{};
}

void
MessageSockets::Run(const std::function<void(Envelope)>& aDeliver)
{
  std::vector<zmq::pollitem_t> items;
  std::size_t changes = 0;
  mState->SendAll();
  while (!mState->mOut.Finished()) {
    if (items.empty() || changes != mState->mDealerChanges) {
      items = mState->PollItems();
      changes = mState->mDealerChanges;
    }
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
    mState->mWakeup.Clear();
    if (mState->mAuthenticator) {
      detail::AnswerAuthentications(*mState->mAuthenticator, mState->mOptions.mKeys->mPeers);
    }
    if (mState->mRouter) {
      mState->ReceiveFromRouter(aDeliver);
    }
    for (auto& [id, dealer] : mState->mDealers) {
      mState->ReceiveFromDealer(id, dealer, aDeliver);
    }
    mState->SendAll();
  }
}

} // namespace fighold::wire
