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
ProgressOf(const std::vector<std::unique_ptr<HttpServer>>& aServers,
           const StopBudget& aBudget,
           bool aHasEnded)
{
  StopProgress progress{ std::chrono::steady_clock::now() - aBudget.mBegan, {}, aHasEnded };
  for (const auto& it : aServers) {
    const ConnectionCounts counts = it->Connections();
    progress.mConnections.mOpen += counts.mOpen;
    progress.mConnections.mReading += counts.mReading;
    progress.mConnections.mUnanswered += counts.mUnanswered;
    progress.mConnections.mLingering += counts.mLingering;
  }
  return progress;
}

bool
WaitForAll(const std::vector<std::unique_ptr<HttpServer>>& aServers, Instant aUntil)
{
  bool allEnded = true;
  for (const auto& it : aServers) {
    allEnded = it->WaitUntilEnded(aUntil) && allEnded;
  }
  return allEnded;
}

void
StopServers(const std::vector<std::unique_ptr<HttpServer>>& aServers,
            const StopBudget& aBudget,
            const StopHooks& aHooks)
{
  for (const auto& it : aServers) {
    it->BeginStop(aBudget.mAnswerDeadline);
  }
  if (!WaitForAll(aServers, aBudget.mHandlerDeadline)) {
    aHooks.mEndHandlers();
    WaitForAll(aServers, aBudget.mCloseDeadline);
  }
  for (const auto& it : aServers) {
    it->CloseConnections();
  }
  WaitForAll(aServers, Instant::max());
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
           boost::fibers::future<StopBudget> aStop,
           const StopHooks& aHooks)
{
  std::vector<boost::fibers::fiber> serving;
  serving.reserve(aServers.size());
  for (const auto& it : aServers) {
    serving.emplace_back([&it] { it->Serve(); });
  }
  const StopBudget budget = aStop.get();
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  bool hasEnded = false;
  boost::fibers::fiber report([&] {
    std::unique_lock lock(mutex);
    do {
      aHooks.mOnProgress(ProgressOf(aServers, budget, false));
    } while (!changed.wait_for(lock, kProgressInterval, [&hasEnded] { return hasEnded; }));
  });
  StopServers(aServers, budget, aHooks);
  hasEnded = true;
  changed.notify_all();
  report.join();
  for (auto& it : serving) {
    it.join();
  }
  aHooks.mOnProgress(ProgressOf(aServers, budget, true));
}

} // namespace fighold::net
