#pragma once

#include "fighold/core/endpoint.hpp"

#include <memory>

/// A TCP relay that can go silent without closing a connection, for tests.
namespace fighold::testing {

/// Passes bytes between its callers and one endpoint, on a thread of its own.
class Relay
{
public:
  /// @param aListen address to listen on; port 0 takes a free one
  /// @param aTo endpoint that connections lead to
  Relay(const Endpoint& aListen, const Endpoint& aTo);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  Endpoint Address() const;

  /// Stops or starts passing bytes, in each direction. Connections stay open and new ones are
  /// accepted; bytes that wait are passed on later.
  void SetSilent(bool aTowards, bool aBack);

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::testing
