#include "cluster.hpp"
#include "environment.hpp"
#include "odd_requests.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>

namespace fighold::testing {
namespace {

constexpr int kControls = 3;
constexpr int kRoutes = 1400;

/// What docs/design.md, section 1.5, allows control for each node, in KiB.
constexpr std::size_t kMaxMemory = 32U << 10U;

/// Three control processes whose memory is watched while an operator changes many routes.
struct MemoryFixture
{
  Cluster mCluster{ kControls };
  std::uint64_t mNumber = 0; ///< of the newest accepted route set
  std::size_t mPeak = 0;     ///< largest memory of a process, in KiB

  MemoryFixture() { StartControls(); }

  void StartControls()
  {
    for (int n = 1; n <= kControls; ++n) {
      mCluster.StartControl(n);
    }
  }

  void Watch()
  {
    for (int n = 1; n <= kControls; ++n) {
      mPeak = std::max(mPeak, mCluster.AnonymousMemory("c" + std::to_string(n)));
    }
  }

  static std::string Route(int aIndex, std::uint64_t aTimeout)
  {
    const std::string name = "route-" + std::to_string(aIndex);
    return R"({"name":")" + name + R"(","path_prefix":"/)" + name +
           R"(/","kind":"repeatable","timeout_ms":)" + std::to_string(aTimeout) +
           R"(,"target_latency_ms":400,"service":"offers","attempts":2,"affinity":false})";
  }

  static std::string Hosts(const std::string& aRoutes)
  {
    return R"("hosts":[{"host":"desk.example","routes":[)" + aRoutes + "]}]";
  }

  /// @return the start of a change that builds on the newest accepted route set
  std::string Begin() const
  {
    return R"({"number":)" + std::to_string(mNumber + 1) + R"(,"base":)" + std::to_string(mNumber) +
           ",";
  }

  std::string WholeSet() const
  {
    std::string routes = Route(0, 1000 + mNumber);
    for (int n = 1; n < kRoutes; ++n) {
      routes += "," + Route(n, 1000);
    }
    return Begin() + R"("services":[{"name":"offers","max_connections":390}],)" + Hosts(routes) +
           "}";
  }

  std::string SmallPatch() const
  {
    return Begin() + R"("upsert":{)" + Hosts(Route(0, 1000 + mNumber)) + R"(},"remove":{}})";
  }

  /// Sends a change until a control process decides it.
  void Change(const std::string& aMethod, const std::string& aBody)
  {
    const std::string target = "/v1/routes?wait=no&change=n" + std::to_string(mNumber + 1);
    int status = 0;
    const bool decided = Cluster::Eventually([&] {
      for (int n = 1; n <= kControls; ++n) {
        Watch();
        const auto result =
          Cluster::Call(mCluster.ControlHttp(n), { aMethod, target, {}, aBody, {} });
        const bool answered = result.mStage == net::ExchangeStage::Answered;
        status = answered ? static_cast<int>(result.mResponse.mStatus) : 0;
        if (status == 200 || status == 202) {
          return true;
        }
      }
      return false;
    });
    INFO("last status " << status);
    REQUIRE(decided);
    ++mNumber;
    Watch();
  }

  /// Kills all control processes at once, starts them again and reads the route set back.
  void Restart()
  {
    for (int n = 1; n <= kControls; ++n) {
      mCluster.Signal("c" + std::to_string(n), SIGKILL);
    }
    for (int n = 1; n <= kControls; ++n) {
      mCluster.WaitForExit("c" + std::to_string(n));
    }
    StartControls();
    const std::string mark = "\"number\":" + std::to_string(mNumber) + ",";
    CHECK(Cluster::Eventually([&] {
      Watch();
      for (int n = 1; n <= kControls; ++n) {
        const auto read =
          Cluster::Call(mCluster.ControlHttp(n), { "GET", "/v1/routes", {}, "", {} });
        if (read.mResponse.mBody.find(mark) != std::string::npos) {
          return true;
        }
      }
      return false;
    }));
  }
};

// Guards against memory that grows with the size of the configuration times the number of changes,
// until the platform kills the control processes, and again after each restart (review/7).
// FIGHOLD_CHANGES sets a longer run.
TEST_CASE_METHOD(
  MemoryFixture,
  "Control, many changes of many routes, stays within its memory and after a restart",
  "[processes]")
{
  const auto changes = static_cast<int>(FromEnvironment("FIGHOLD_CHANGES", 60));
  Change("PUT", WholeSet());
  for (int n = 0; n < changes; ++n) {
    Change("PATCH", SmallPatch());
  }
  for (int n = 0; n < changes; ++n) {
    Change("PUT", WholeSet());
  }
  CHECK(mPeak <= kMaxMemory);
  Restart();
  INFO("route sets: " << mNumber);
  CHECK(mPeak <= kMaxMemory);
  WARN("largest memory of a control process: " << mPeak << " KiB");
}

} // namespace
} // namespace fighold::testing
