#pragma once

#include "fighold/control/front_codec.hpp"
#include "fighold/control/state.hpp"
#include "fighold/core/endpoint.hpp"
#include "fighold/core/id.hpp"
#include "fighold/net/http_server.hpp"
#include "fighold/wire/key_file.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// The control role as a running process part.
namespace fighold::control {

/// Settings of the control role.
struct DaemonOptions
{
  ControlId mSelf;
  Incarnation mIncarnation = 0;
  Endpoint mMessageBind;                   ///< where entries and other control processes connect
  std::map<ControlId, Endpoint> mControls; ///< all control processes, this one included
  net::ServerOptions mServer;
  std::vector<Endpoint>
    mAlsoListen; ///< further addresses; requests name them by their place, from 1
  FrontCodec mFront = NativeFrontCodec();
  Options mDecide;
  bool mMayBootstrap = true; ///< with an empty data folder this process may bootstrap the group
  std::filesystem::path mData;
  std::filesystem::path mCharts;
  std::optional<wire::Keys> mKeys; ///< keys for messages between daemons
  std::string mToken;              ///< operators' token; empty: none is needed
  std::function<void(const std::string&)>
    mOnFatal; ///< called when storage failed; the process must end
};

/// A running control process.
class Daemon
{
public:
  /// Recovers the state from the data folder and starts all threads.
  /// @throws FindingsError for damaged charts, agreement::StorageError for damaged files,
  /// std::runtime_error when an
  ///         address cannot be bound
  explicit Daemon(const DaemonOptions& aOptions);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @return address that operators use
  Endpoint Address() const;

  /// Ends all threads after running calls are answered.
  void StopAndWait();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace fighold::control
