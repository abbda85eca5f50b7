#include "relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace fighold::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Time between two looks whether a silent direction passes bytes again.
constexpr std::chrono::milliseconds kSilentCheck{ 20 };

tcp::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort };
}

/// One direction of one connection.
struct Pump : std::enable_shared_from_this<Pump>
{
  Pump(std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       const std::atomic<bool>& aSilent)
    : mFrom(std::move(aFrom))
    , mTo(std::move(aTo))
    , mSilent(aSilent)
    , mTimer(mFrom->get_executor())
  {
  }

  void Read()
  {
    mFrom->async_read_some(asio::buffer(mBytes),
                           [self = shared_from_this()](error_code aEc, std::size_t aCount) {
                             if (aEc) {
                               self->Close();
                             } else {
                               self->Write(aCount);
                             }
                           });
  }

  void Write(std::size_t aCount)
  {
    if (mSilent) {
      mTimer.expires_after(kSilentCheck);
      mTimer.async_wait([self = shared_from_this(), aCount](error_code aEc) {
        if (!aEc) {
          self->Write(aCount);
        }
      });
      return;
    }
    asio::async_write(
      *mTo, asio::buffer(mBytes, aCount), [self = shared_from_this()](error_code aEc, std::size_t) {
        if (aEc) {
          self->Close();
        } else {
          self->Read();
        }
      });
  }

  void Close()
  {
    error_code ec;
    mFrom->close(ec);
    mTo->close(ec);
  }

  std::shared_ptr<tcp::socket> mFrom;
  std::shared_ptr<tcp::socket> mTo;
  const std::atomic<bool>& mSilent;
  asio::steady_timer mTimer;
  std::array<char, 16384> mBytes{};
};

} // namespace

struct Relay::State
{
  State(const Endpoint& aListen, const Endpoint& aTo)
    : mAcceptor(mContext, ToAsio(aListen))
    , mTo(ToAsio(aTo))
  {
    Accept();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~State()
  {
    mContext.stop();
    mThread.join();
  }

  void Accept()
  {
    auto caller = std::make_shared<tcp::socket>(mContext);
    mAcceptor.async_accept(*caller, [this, caller](error_code aEc) {
      if (!aEc) {
        Connect(caller);
        Accept();
      }
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& aCaller)
  {
    auto target = std::make_shared<tcp::socket>(mContext);
    target->async_connect(mTo, [this, aCaller, target](error_code aEc) {
      if (!aEc) {
        std::make_shared<Pump>(aCaller, target, mSilentTowards)->Read();
        std::make_shared<Pump>(target, aCaller, mSilentBack)->Read();
      }
    });
  }

  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  tcp::endpoint mTo;
  std::atomic<bool> mSilentTowards{ false };
  std::atomic<bool> mSilentBack{ false };
  std::thread mThread;
};

Relay::Relay(const Endpoint& aListen, const Endpoint& aTo)
  : mState(std::make_unique<State>(aListen, aTo))
{
}

Relay::~Relay() = default;

Endpoint
Relay::Address() const
{
  const auto local = mState->mAcceptor.local_endpoint();
  return { local.address().to_string(), local.port() };
}

void
Relay::SetSilent(bool aTowards, bool aBack)
{
  mState->mSilentTowards = aTowards;
  mState->mSilentBack = aBack;
}

} // namespace fighold::testing
