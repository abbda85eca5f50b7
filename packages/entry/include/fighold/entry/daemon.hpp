#pragma once

#include "fighold/core/stop_budget.hpp"
#include "fighold/entry/backend_codec.hpp"
#include "fighold/entry/front_codec.hpp"
#include "fighold/entry/state.hpp"
#include "fighold/net/http_server.hpp"
#include "fighold/wire/key_file.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>

/// The entry role as a part of the process.
namespace fighold::entry {

/// Settings of the entry role.
struct DaemonOptions
{
  Options mDecide; ///< mEntry.mAddress is taken from the listener if its port is 0
  net::ServerOptions mServer;
  std::vector<Endpoint> mAlsoListen; ///< further addresses; requests refer to them by index, from 1
  FrontCodec mFront = NativeFrontCodec();
  BackendCodec mBackend = NativeBackendCodec();
  net::ClientOptions mClient;
  std::map<ControlId, Endpoint> mControls;
  std::filesystem::path mCharts;
  std::optional<wire::Keys> mKeys; ///< keys for messages between daemons
  /// Bytes of the requests and answers that are held at the same time.
  std::size_t mMessageMemory = net::kDefaultMessageMemory;
};

/// A running entry.
class Daemon
{
public:
  /// Starts all threads.
  /// @throws FindingsError for invalid charts, std::runtime_error if an address cannot be bound
  explicit Daemon(DaemonOptions aOptions);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @return address that callers use
  Endpoint Address() const;

  /// Planned stop: waits until lookups cached by callers have expired and no request is in flight,
  /// within the limits of the budget, then stops all threads.
  void StopAndWait(const StopBudget& aBudget = {});

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::entry
