#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

namespace fighold::testing {
namespace {

/// Three control processes, an entry in each of two regions, and two backend servers.
struct PathFixture
{
  Cluster mCluster;

  PathFixture()
  {
    for (int n = 1; n <= 3; ++n) {
      mCluster.StartControl(n);
    }
    mCluster.StartEntry(1, "attiki");
    mCluster.StartEntry(2, "kriti");
    REQUIRE(Submit(1).mCode == 0);
    REQUIRE(Cluster::Eventually([this] { return mCluster.IsReady(1) && mCluster.IsReady(2); }));
  }

  CommandResult Submit(int aNumber)
  {
    const std::string sheet = mCluster.WriteSheet("sheet.csv", TestSheet(aNumber));
    CommandResult result;
    Cluster::Eventually([&] {
      result = mCluster.Ctl({ 1, 2, 3 }, { "plan", "submit", sheet });
      return result.mCode == 0;
    });
    INFO(result.mOutput);
    return result;
  }

  void StartServers()
  {
    mCluster.StartStandin("s", "a1:vardia:attiki:attiki-a:6:330,k1:vardia:kriti:kriti-a:6:330");
    REQUIRE(Cluster::Eventually(
      [this] { return Get(1).mResponse.mStatus == 200 && Get(2).mResponse.mStatus == 200; }));
  }

  net::ExchangeResult Get(int aEntry, const std::string& aTarget = "/s/vardia/shift?day=1") const
  {
    return Cluster::Call(mCluster.EntryHttp(aEntry),
                         { "GET", aTarget, { { "X-Nonce", "n7" } }, "", {} });
  }
};

TEST_CASE_METHOD(
  PathFixture,
  "Path, request through either entry, returns the whole answer of the region's server",
  "[processes]")
{
  StartServers();
  const auto first = Get(1);
  CHECK(first.mResponse.mBody == "a1 GET /shift?day=1 n7\n");
  CHECK(net::FindHeader(first.mResponse.mHeaders, "Fighold-Outcome") == "run");
  CHECK(Get(2).mResponse.mBody == "k1 GET /shift?day=1 n7\n");
  CHECK(mCluster.Output("e1").find("decision=route") != std::string::npos);
}

// Guards against an answer "not run" that is a lie, and against a request that waits for servers
// that are not there.
TEST_CASE_METHOD(PathFixture,
                 "Path, no backend server, answers not run with the reason",
                 "[processes]")
{
  const auto result = Get(1);
  CHECK(result.mResponse.mStatus == 503);
  CHECK(net::FindHeader(result.mResponse.mHeaders, "Fighold-Outcome") == "not-run");
  CHECK(result.mResponse.mBody.find("no-backend-server-in-region") != std::string::npos);
}

// Guards against new work for a backend server that announced its departure.
TEST_CASE_METHOD(PathFixture,
                 "Path, backend server leaves, ends cleanly and gets no new work",
                 "[processes]")
{
  StartServers();
  mCluster.Signal("s", SIGTERM);
  CHECK(mCluster.WaitForExit("s") == 0);
  CHECK(mCluster.Output("s").find("not confirmed") == std::string::npos);
  CHECK(net::FindHeader(Get(1).mResponse.mHeaders, "Fighold-Outcome") == "not-run");
}

// Guards against a stop that cuts off a request that is still running.
TEST_CASE_METHOD(PathFixture,
                 "Path, planned stop of an entry during a request, answers it first",
                 "[processes]")
{
  StartServers();
  net::ExchangeResult result;
  std::thread caller([&] {
    result = Cluster::Call(mCluster.EntryHttp(1),
                           { "GET", "/s/vardia/slow", { { "X-Service-Ms", "2500" } }, "", {} });
  });
  std::this_thread::sleep_for(Millis(500));
  mCluster.Signal("e1", SIGTERM);
  CHECK(mCluster.WaitForExit("e1") == 0);
  caller.join();
  CHECK(result.mResponse.mBody == "a1 GET /slow \n");
}

} // namespace
} // namespace fighold::testing
