#pragma once

#include "fighold/core/endpoint.hpp"
#include "fighold/ring/bounded_ring.hpp"
#include "fighold/wire/body.hpp"
#include "fighold/wire/key_file.hpp"
#include "fighold/wire/traffic.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// The duty thread for messages between daemons, over ZeroMQ.
namespace fighold::wire {

/// A message to send. A message to a process that is not connected is dropped; the protocols
/// repeat. A name that is an address, such as 10.0.0.1:7100, is connected to when it is first used.
struct Outbound
{
  std::string mTo;
  Body mBody;
};

using OutboundRing = ring::BoundedRing<Outbound>;

/// Settings of the message thread.
struct MessageOptions
{
  std::string mSelf;
  Incarnation mIncarnation = 0;
  std::optional<Endpoint> mBind;          ///< where other processes connect; port 0: any free port
  std::map<std::string, Endpoint> mPeers; ///< processes to connect to
  std::optional<Keys> mKeys;              ///< nothing: messages are neither encrypted nor checked
  TrafficCounter* mTraffic = nullptr;     ///< counts the messages, if set; outlives the sockets
  int mMaxSockets = 1023;                 ///< sockets open at a time
};

/// Sockets of a process. Opened before the thread starts, so that errors are seen at start.
class MessageSockets
{
public:
  /// @param aOptions settings
  /// @param aOut messages to send; writers may start once this constructor has returned
  /// @throws std::runtime_error when an address cannot be bound, or there is no key of a process to
  /// connect to
  MessageSockets(MessageOptions aOptions, OutboundRing& aOut);
  ~MessageSockets();
  MessageSockets(const MessageSockets&) = delete;
  MessageSockets& operator=(const MessageSockets&) = delete;

  /// @return bound address with the port in use
  Endpoint Address() const;

  /// Body of the thread: sends what the ring holds and delivers what arrives, until the ring is
  /// closed and empty.
  /// @param aDeliver called for each decoded message; must not block
  void Run(const std::function<void(Envelope)>& aDeliver);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::wire
