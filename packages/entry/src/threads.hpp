#pragma once

#include "connection_pool.hpp"
#include "fighold/entry/daemon.hpp"
#include "fighold/entry/event.hpp"
#include "fighold/net/fiber_loop.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"
#include "fighold/wire/message_thread.hpp"

#include <functional>
#include <future>

/// The duty threads of an entry, and the rings between them.
namespace fighold::entry {

/// Places of the inbox that the front leaves free for results of running requests and for control
/// messages.
constexpr std::size_t kInboxReserve = 2048;

/// Settings of the backend thread.
struct BackendOptions
{
  BackendCodec mCodec = NativeBackendCodec();
  net::ClientOptions mClient;
};

/// What the front thread is told.
using FrontCommand = std::variant<Reply, SetCallerLimits>;

/// What the backend thread is told.
using BackendCommand = std::variant<Dispatch, CancelDispatch>;

/// Rings and shared sinks of one entry process.
struct Channels
{
  ring::BoundedRing<Event> mInbox{ 8192 };
  ring::BoundedRing<BackendCommand> mDispatches{ 2048 };
  ring::BoundedRing<FrontCommand> mReplies{ 4096 };
  wire::OutboundRing mControlOut{ 1024 };
  telemetry::LogQueue mLog;
  telemetry::Metrics mMetrics;
};

/// HTTP towards callers, backend servers and the platform. Ends after Drain, when every request has
/// been answered.
class Front
{
public:
  /// @param aListeners one server each
  /// @throws std::runtime_error when an address cannot be bound
  Front(Channels& aChannels, const std::vector<net::ServerOptions>& aListeners, FrontCodec aCodec);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// @return address of the first listener, with the port in use
  Endpoint Address() const;

  /// Body of the thread.
  void Run();

  /// Stops accepting and answers what runs; from any thread.
  void Drain();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// HTTP to backend servers. Ends when the ring of dispatches is closed and nothing runs.
class Backend
{
public:
  Backend(Channels& aChannels,
          chart::BoundChart<ConnectionScope> aChart,
          BackendOptions aOptions = {});
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /// Body of the thread.
  void Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Body of the decide thread: handles events until the inbox is closed and empty.
/// @param aOnStopped called once when a planned stop is complete
void
DecideThread(Channels& aChannels, State aState, const std::function<void()>& aOnStopped);

} // namespace fighold::entry
