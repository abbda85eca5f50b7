#pragma once

#include "fighold/agreement/storage.hpp"
#include "fighold/control/front_codec.hpp"
#include "fighold/control/state.hpp"
#include "fighold/net/http_server.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "fighold/telemetry/log.hpp"
#include "fighold/telemetry/metrics.hpp"
#include "fighold/wire/message_thread.hpp"

#include <functional>
#include <memory>

/// The duty threads of a control process, and the rings between them.
namespace fighold::control {

/// Places of the inbox that operators' calls and messages leave free for results of the storage.
constexpr std::size_t kInboxReserve = 1024;

/// Rings and shared sinks of one control process.
struct Channels
{
  ring::BoundedRing<Event> mInbox{ 8192 };
  ring::BoundedRing<agreement::Write> mWrites{ 1024 };
  ring::BoundedRing<AnswerCall> mAnswers{ 1024 };
  wire::OutboundRing mMessagesOut{ 4096 };
  telemetry::LogQueue mLog;
  telemetry::Metrics mMetrics;
};

/// Settings of the front.
struct FrontOptions
{
  std::vector<net::ServerOptions> mListeners; ///< one server each
  std::string mToken;                         ///< operators' token; empty: none is needed
  FrontCodec mCodec = NativeFrontCodec();
};

/// HTTP towards operators and the platform. Ends after Drain, when every call has been answered.
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

  /// Body of the thread.
  void Run();

  /// Stops accepting and answers what runs; from any thread.
  void Drain();

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// Body of the storage thread: writes and syncs until the ring is closed and empty.
/// @param aOnFatal called when a write or sync failed; the thread ends
void
StorageThread(Channels& aChannels,
              agreement::Storage aStorage,
              const std::function<void(const std::string&)>& aOnFatal);

/// Body of the decide thread: handles events until the inbox is closed and empty.
void
DecideThread(Channels& aChannels, State aState);

} // namespace fighold::control
