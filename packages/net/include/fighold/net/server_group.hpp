#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/net/http_server.hpp"

#include <boost/fiber/future.hpp>

#include <compare>
#include <functional>
#include <memory>
#include <vector>

/// Servers of one process that start and stop together.
namespace fighold::net {

/// What a planned stop still waits for.
struct StopProgress
{
  Duration mElapsed{}; ///< since the stop began
  ConnectionCounts mConnections;
  bool mHasEnded = false; ///< the servers have stopped

  friend auto operator<=>(const StopProgress&, const StopProgress&) = default;
};

/// @return the progress as a line of the log
DecisionRecord
RecordOf(const StopProgress& aProgress);

/// Parts of a planned stop that belong to the owner of the servers. They run on the loop's thread.
struct StopHooks
{
  /// Told of the progress when the servers begin to stop, each second, and at the end.
  std::function<void(const StopProgress&)> mOnProgress;
  /// Called when no reply is waited for any longer: handlers that still run, and those that begin
  /// later, have to return.
  std::function<void()> mEndHandlers;
};

/// Serves until a stop is due, then stops all servers within its budget. Suspends the current
/// fiber.
/// @param aStop becomes ready when the servers are to stop
void
RunServers(const std::vector<std::unique_ptr<HttpServer>>& aServers,
           boost::fibers::future<StopBudget> aStop,
           const StopHooks& aHooks);

} // namespace fighold::net
