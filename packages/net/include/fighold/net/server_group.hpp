#pragma once

#include "fighold/core/decision_record.hpp"
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

/// Serves until a stop is due, then stops all servers. Suspends the current fiber.
/// @param aStop becomes ready when the servers are to stop
/// @param aTimeout time limit of the stop
/// @param aOnProgress told of the progress when the servers begin to stop, each second, and at the
/// end; runs on the loop's thread
void
RunServers(const std::vector<std::unique_ptr<HttpServer>>& aServers,
           boost::fibers::future<void> aStop,
           Duration aTimeout,
           const std::function<void(const StopProgress&)>& aOnProgress);

} // namespace fighold::net
