#include "fighold/net/http_client.hpp"
#include "report.hpp"
#include "subjects.hpp"

#include <boost/fiber/fiber.hpp>
#include <gflags/gflags.h>

#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

DEFINE_string(targets, "", "name=host:port/path,...; each caller goes through them in turn");
DEFINE_int32(requests, 2000, "requests for each target");
DEFINE_int32(callers, 1, "callers that send at once");
DEFINE_string(pids, "", "name=pid,... of processes whose processor time is read");
DEFINE_double(seconds, 10, "time over which processes are watched");

namespace fighold::measure {
namespace {

constexpr std::chrono::seconds kTimeout{ 30 };
constexpr double kMillisInSecond = 1e3;
constexpr double kPercent = 100;

std::vector<std::pair<std::string, std::string>>
ParsePairs(const std::string& aText)
{
  std::vector<std::pair<std::string, std::string>> pairs;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, ',');) {
    const auto n = part.find('=');
    pairs.emplace_back(part.substr(0, n), part.substr(n + 1));
  }
  return pairs;
}

/// What is called, with the times of its answers.
struct Target
{
  std::string mName;
  Endpoint mEndpoint;
  std::string mPath;
  int mFailed = 0;
  std::vector<double> mMillis;
};

std::vector<Target>
ParseTargets()
{
  const auto pairs = ParsePairs(FLAGS_targets);
  std::vector<Target> targets;
  targets.reserve(pairs.size());
  for (const auto& [name, text] : pairs) {
    const auto n = text.find('/');
    targets.push_back({ name, ParseEndpoint(text.substr(0, n)).value(), text.substr(n), 0, {} });
  }
  return targets;
}

/// Calls all targets in turn, so that what happens meanwhile on the machine meets all of them.
void
RunCaller(net::FiberLoop& aLoop, std::vector<Target>& aTargets, int& aLeft)
{
  std::vector<std::unique_ptr<net::HttpConnection>> connections;
  connections.reserve(aTargets.size());
  for (const Target& it : aTargets) {
    connections.push_back(std::make_unique<net::HttpConnection>(aLoop, it.mEndpoint));
  }
  while (aLeft-- > 0) {
    for (std::size_t n = 0; n < aTargets.size(); ++n) {
      const Instant start = std::chrono::steady_clock::now();
      const auto result =
        connections[n]->Exchange({ "GET", aTargets[n].mPath, {}, "", {} }, start + kTimeout);
      aTargets[n].mMillis.push_back(SecondsSince(start) * kMillisInSecond);
      const bool good =
        result.mStage == net::ExchangeStage::Answered && result.mResponse.mStatus == 200;
      aTargets[n].mFailed += good ? 0 : 1;
    }
  }
}

void
RunCallers(net::FiberLoop& aLoop, std::vector<Target>& aTargets)
{
  int left = FLAGS_requests;
  std::vector<boost::fibers::fiber> fibers;
  fibers.reserve(static_cast<std::size_t>(FLAGS_callers));
  for (int n = 0; n < FLAGS_callers; ++n) {
    fibers.emplace_back([&] { RunCaller(aLoop, aTargets, left); });
  }
  for (auto& it : fibers) {
    it.join();
  }
}

std::vector<double>
CpuSecondsOf(const std::vector<std::pair<std::string, std::string>>& aPids)
{
  std::vector<double> seconds;
  seconds.reserve(aPids.size());
  for (const auto& [name, pid] : aPids) {
    seconds.push_back(CpuSeconds(std::stoi(pid)));
  }
  return seconds;
}

} // namespace

void
MeasureLoad()
{
  auto targets = ParseTargets();
  const auto pids = ParsePairs(FLAGS_pids);
  const auto before = CpuSecondsOf(pids);
  net::FiberLoop loop;
  const Instant start = std::chrono::steady_clock::now();
  loop.Run([&] { RunCallers(loop, targets); });
  const double seconds = SecondsSince(start);
  std::size_t answered = 0;
  for (const Target& it : targets) {
    answered += it.mMillis.size();
    Report(it.mName + "_p50_ms", Quantile(it.mMillis, 0.5));
    Report(it.mName + "_p99_ms", Quantile(it.mMillis, 0.99));
    Report(it.mName + "_failed", it.mFailed);
  }
  const std::string name = targets.front().mName;
  Report(name + "_per_second", static_cast<double>(answered) / seconds);
  for (std::size_t n = 0; n < pids.size(); ++n) {
    const double cpu = CpuSeconds(std::stoi(pids[n].second)) - before[n];
    Report(name + "_per_second_and_core_of_" + pids[n].first,
           cpu > 0 ? static_cast<double>(answered) / cpu : 0);
  }
}

void
MeasureProcesses()
{
  const auto pids = ParsePairs(FLAGS_pids);
  const auto before = CpuSecondsOf(pids);
  std::this_thread::sleep_for(std::chrono::duration<double>(FLAGS_seconds));
  for (std::size_t n = 0; n < pids.size(); ++n) {
    const int pid = std::stoi(pids[n].second);
    Report("idle_cpu_percent_" + pids[n].first,
           (CpuSeconds(pid) - before[n]) / FLAGS_seconds * kPercent);
    Report("memory_mib_" + pids[n].first, ResidentMebibytes(pid));
  }
}

} // namespace fighold::measure
