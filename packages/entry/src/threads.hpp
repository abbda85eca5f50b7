#pragma once

#include "connection_pool.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/entry/daemon.hpp"
#include "fighold/entry/event.hpp"
#include "fighold/net/fiber_loop.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"
#include "fighold/wire/message_thread.hpp"

#include <functional>
#include <future>

/// Threads of an entry, one for each duty, and the rings between them.
namespace fighold::entry {

/// Slots of the inbox that are reserved for the results of running dispatches. Callers' requests
/// and messages from control processes are pushed only while more slots are free.
constexpr std::size_t kInboxReserve = 2048;

/// Slots of the ring of replies. Each request that the front hands over gets one reply, so that the
/// ring never fills while no more than kMaxPendingReplies are due; the rest is for other commands.
constexpr std::size_t kReplySlots = 4096;
constexpr std::size_t kMaxPendingReplies = 4032;

/// Replies due that callers' requests leave to the calls of backend servers and of the platform.
constexpr std::size_t kReservedReplies = 256;

/// Settings of the backend thread.
struct BackendOptions
{
  BackendCodec mCodec = NativeBackendCodec();
  net::ClientOptions mClient;
  /// Time in which the answer to a health request without identifier arrives behind the copy of an
  /// earlier one. Above a round trip within a region, below the interval of health requests.
  Millis mFollowTime{ 20 };
};

/// Command to the front thread.
using FrontCommand = std::variant<Reply, SetCallerLimits>;

/// Command to the backend thread.
using BackendCommand = std::variant<Dispatch, CancelDispatch, HoldServer>;

/// Rings between the threads of one entry process, and the log queue and metrics they share.
struct Channels
{
  ring::BoundedRing<Event> mInbox{ 8192 };
  ring::BoundedRing<BackendCommand> mDispatches{ 2048 };
  ring::BoundedRing<FrontCommand> mReplies{ kReplySlots };
  wire::OutboundRing mControlOut{ 1024 };
  wire::TrafficCounter mTraffic;
  telemetry::LogQueue mLog;
  telemetry::Metrics mMetrics;
};

/// Front thread: serves HTTP to callers, backend servers and the platform. Run() returns after
/// Drain(), once every request has been answered or the time of the stop has passed.
class Front
{
public:
  /// @param aListeners an HTTP server is started for each
  /// @throws std::runtime_error when an address cannot be bound
  Front(Channels& aChannels, const std::vector<net::ServerOptions>& aListeners, FrontCodec aCodec);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// @return address of the first listener, with the port in use
  Endpoint Address() const;

  /// Thread function.
  void Run();

  /// Stops accepting requests and lets those in flight finish within the budget. Thread-safe.
  void Drain(const StopBudget& aBudget = {});

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Backend thread: sends HTTP requests to backend servers. Run() returns once the ring of
/// dispatches is closed and no dispatch is running.
class Backend
{
public:
  Backend(Channels& aChannels,
          chart::BoundChart<ConnectionScope> aChart,
          BackendOptions aOptions = {});
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /// Thread function.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Function of the decide thread: handles events until the inbox is closed and empty.
/// @param aOnStopped called once when a planned stop is complete
void
DecideThread(Channels& aChannels, State aState, const std::function<void()>& aOnStopped);

} // namespace fighold::entry
