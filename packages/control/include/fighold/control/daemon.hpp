#pragma once

#include "fighold/control/front_codec.hpp"
#include "fighold/control/state.hpp"
#include "fighold/core/endpoint.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/net/http_server.hpp"
#include "fighold/wire/key_file.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// The control role of the daemon.
namespace fighold::control {

/// Settings of the control role.
struct DaemonOptions
{
  ControlId mSelf;
  Incarnation mIncarnation = 0;
  Endpoint mMessageBind;                   ///< address for entries and other control processes
  std::map<ControlId, Endpoint> mControls; ///< all control processes, this one included
  net::ServerOptions mServer;
  std::vector<Endpoint> mAlsoListen; ///< further HTTP addresses, with listener numbers from 1
  FrontCodec mFront = NativeFrontCodec();
  Options mDecide;
  bool mMayBootstrap = true; ///< with an empty data folder, the process may bootstrap a group
  std::filesystem::path mData;
  std::filesystem::path mCharts;
  std::optional<wire::Keys> mKeys; ///< keys that authenticate messages between daemons
  std::string mToken;              ///< operators' token; empty: none is required
  /// Bytes of the calls and answers that are held at the same time.
  std::size_t mMessageMemory = net::kDefaultMessageMemory;
  std::function<void(const std::string&)>
    mOnFatal; ///< called with the error if the storage fails or holds a record that cannot be used;
              ///< must end the process
};

/// A running control process.
class Daemon
{
public:
  /// Recovers the state from the data folder and starts all threads.
  /// @throws FindingsError for invalid charts
  /// @throws agreement::StorageError for corrupt files
  /// @throws RecordError if the snapshot cannot be used
  /// @throws std::runtime_error if an address cannot be bound
  explicit Daemon(const DaemonOptions& aOptions);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @return address of the first HTTP listener, with the port in use
  Endpoint Address() const;

  /// Answers the calls in progress within the limits of the budget, then stops all threads.
  void StopAndWait(const StopBudget& aBudget = {});

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::control
