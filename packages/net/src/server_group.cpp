#include "fighold/net/server_group.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>

#include <mutex>

namespace fighold::net {
namespace {

/// Time between two reports of a planned stop.
constexpr Millis kProgressInterval{ 1000 };

StopProgress
ProgressOf(const std::vector<std::unique_ptr<HttpServer>>& aServers, Instant aBegan, bool aHasEnded)
{
  StopProgress progress{ std::chrono::steady_clock::now() - aBegan, {}, aHasEnded };
  for (const auto& it : aServers) {
    const ConnectionCounts counts = it->Connections();
    progress.mConnections.mOpen += counts.mOpen;
    progress.mConnections.mReading += counts.mReading;
    progress.mConnections.mUnanswered += counts.mUnanswered;
    progress.mConnections.mLingering += counts.mLingering;
  }
  return progress;
}

} // namespace

DecisionRecord
RecordOf(const StopProgress& aProgress)
{
  const auto elapsed = std::chrono::duration_cast<Millis>(aProgress.mElapsed);
  const ConnectionCounts& counts = aProgress.mConnections;
  DecisionRecord record{ "stop", "connections", "", aProgress.mHasEnded ? "ended" : "waiting", "",
                         {} };
  record.mFields = { { "elapsed_ms", std::to_string(elapsed.count()) },
                     { "open", std::to_string(counts.mOpen) },
                     { "reading", std::to_string(counts.mReading) },
                     { "unanswered", std::to_string(counts.mUnanswered) },
                     { "lingering", std::to_string(counts.mLingering) } };
  return record;
}

void
RunServers(const std::vector<std::unique_ptr<HttpServer>>& aServers,
           boost::fibers::future<void> aStop,
           Duration aTimeout,
           const std::function<void(const StopProgress&)>& aOnProgress)
{
  std::vector<boost::fibers::fiber> serving;
  for (const auto& it : aServers) {
    serving.emplace_back([&it] { it->Serve(); });
  }
  aStop.wait();
  const Instant began = std::chrono::steady_clock::now();
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  bool hasEnded = false;
  boost::fibers::fiber report([&] {
    std::unique_lock lock(mutex);
    do {
      aOnProgress(ProgressOf(aServers, began, false));
    } while (!changed.wait_for(lock, kProgressInterval, [&hasEnded] { return hasEnded; }));
  });
  for (const auto& it : aServers) {
    it->Stop(began + aTimeout);
  }
  hasEnded = true;
  changed.notify_all();
  report.join();
  for (auto& it : serving) {
    it.join();
  }
  aOnProgress(ProgressOf(aServers, began, true));
}

} // namespace fighold::net
