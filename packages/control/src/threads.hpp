#pragma once

#include "fighold/agreement/storage.hpp"
#include "fighold/control/front_codec.hpp"
#include "fighold/control/state.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/net/http_server.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"
#include "fighold/wire/message_thread.hpp"

#include <functional>
#include <memory>

/// Threads of a control process, one for each duty, and the rings between them.
namespace fighold::control {

/// Slots of the inbox that the front and message threads leave free for results of the storage.
constexpr std::size_t kInboxReserve = 1024;

/// Rings between the threads of one control process, and the log queue and metrics they share.
struct Channels
{
  ring::BoundedRing<Event> mInbox{ 8192 };
  ring::BoundedRing<agreement::Write> mWrites{ 1024 };
  ring::BoundedRing<AnswerCall> mAnswers{ 1024 };
  wire::OutboundRing mMessagesOut{ 4096 };
  wire::TrafficCounter mTraffic;
  telemetry::LogQueue mLog;
  telemetry::Metrics mMetrics;
};

/// Settings of the front thread.
struct FrontOptions
{
  std::vector<net::ServerOptions> mListeners; ///< an HTTP server is started for each
  std::string mToken;                         ///< operators' token; empty: none is required
  FrontCodec mCodec = NativeFrontCodec();
};

/// Front thread: serves HTTP to operators, backend servers, callers and the platform. Run() returns
/// after Drain(), once every call has been answered or the time of the stop has passed.
class Front
{
public:
  /// @throws std::runtime_error when an address cannot be bound
  Front(Channels& aChannels, const FrontOptions& aOptions);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// @return address of the first listener, with the port in use
  Endpoint Address() const;

  /// Thread function.
  void Run();

  /// Stops accepting calls and lets those in progress finish within the budget. Thread-safe.
  void Drain(const StopBudget& aBudget = {});

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Function of the storage thread: writes and syncs until the ring of writes is closed and empty.
/// @param aOnFatal called with the error if a write or sync fails; the thread then returns
void
StorageThread(Channels& aChannels,
              agreement::Storage aStorage,
              const std::function<void(const std::string&)>& aOnFatal);

/// Function of the decide thread: handles events until the inbox is closed and empty.
/// @param aOnFatal called with the error if a committed record or a snapshot cannot be used; the
/// thread then returns
void
DecideThread(Channels& aChannels,
             State aState,
             const std::function<void(const std::string&)>& aOnFatal);

} // namespace fighold::control
