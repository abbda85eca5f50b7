#include "cluster.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <sstream>
#include <thread>

namespace fighold::testing {
namespace {

/// Three control processes, two entries in attiki, and stand-ins in processes of their own.
struct FaultsFixture
{
  Cluster mCluster;

  FaultsFixture()
  {
    for (int n = 1; n <= 3; ++n) {
      mCluster.StartControl(n);
    }
    mCluster.StartEntry(1, "attiki");
    mCluster.StartEntry(2, "kriti");
    const std::string sheet = mCluster.WriteSheet("sheet.csv", TestSheet(1));
    REQUIRE(Cluster::Eventually([&] {
      return mCluster.Ctl({ 1, 2, 3 }, { "plan", "submit", sheet }).mCode == 0;
    }));
    mCluster.StartStandin("sa1", "a1:vardia:attiki:attiki-a:6:330");
    mCluster.StartStandin("sa2", "a2:vardia:attiki:attiki-b:6:330");
    mCluster.StartStandin("sk", "k1:vardia:kriti:kriti-a:6:330");
    REQUIRE(Cluster::Eventually([this] { return ServersAlive() == 3 && Served(1) && Served(2); }));
  }

  net::ExchangeResult Get(int aEntry) const
  {
    return Cluster::Call(mCluster.EntryHttp(aEntry), { "GET", "/s/vardia/shift", {}, "", {} });
  }

  bool Served(int aEntry) const { return OutcomeOf(Get(aEntry)) == "run"; }

  /// @return backend servers that control reports as serving
  int ServersAlive() const
  {
    std::istringstream in(mCluster.Ctl({ 1, 2, 3 }, { "status" }).mOutput);
    int alive = 0;
    for (std::string line; std::getline(in, line);) {
      const bool serving = line.size() > 7 && line.substr(line.size() - 7) == "serving";
      alive += serving && line.find("entry") != 0 ? 1 : 0;
    }
    return alive;
  }

  static std::string OutcomeOf(const net::ExchangeResult& aResult)
  {
    return net::FindHeader(aResult.mResponse.mHeaders, "Fighold-Outcome").value_or("");
  }
};

// Guards against requests that hang on connections to a server that no longer answers.
TEST_CASE_METHOD(FaultsFixture,
                 "Faults, backend server frozen, safe requests are answered by another one",
                 "[processes]")
{
  mCluster.Signal("sa1", SIGSTOP);
  std::vector<net::ExchangeResult> results(12);
  std::vector<std::thread> callers;
  callers.reserve(results.size());
  for (auto& it : results) {
    callers.emplace_back([this, &it] { it = Get(1); });
  }
  for (auto& it : callers) {
    it.join();
  }
  for (const auto& it : results) {
    INFO(it.mResponse.mBody << it.mError);
    CHECK(OutcomeOf(it) == "run");
    CHECK(it.mResponse.mBody == "a2 GET /shift \n");
  }
  mCluster.Signal("sa1", SIGCONT);
  CHECK(Cluster::Eventually([this] { return ServersAlive() == 3; }));
  CHECK(Served(1));
}

// Guards against hanging requests, and against "not run" answers of a region that still serves.
TEST_CASE_METHOD(FaultsFixture,
                 "Faults, a region's stand-ins killed, the others serve and it says not run",
                 "[processes]")
{
  mCluster.Kill("sa1");
  mCluster.Kill("sa2");
  for (int n = 0; n < 5; ++n) {
    const auto result = Get(1);
    INFO(result.mResponse.mBody << result.mError);
    CHECK(result.mStage == net::ExchangeStage::Answered);
    CHECK(OutcomeOf(result) == "not-run");
    CHECK(OutcomeOf(Get(2)) == "run");
  }
}

// Guards against work at a backend server for a caller that has gone away.
TEST_CASE_METHOD(FaultsFixture,
                 "Faults, caller closes its connection, backend server sees the end",
                 "[processes]")
{
  const net::HttpRequest request{ "GET", "/s/vardia/slow", { { "X-Service-Ms", "3000" } }, "", {} };
  const auto result = Cluster::Call(mCluster.EntryHttp(2), request, Millis(300));
  CHECK(result.mStage == net::ExchangeStage::NoAnswer);
  CHECK(Cluster::Eventually([this] {
    const auto count =
      Cluster::Call(mCluster.StandinAddress("sk", "k1"), { "GET", "/count", {}, "", {} });
    return count.mResponse.mBody.find("\"gone\":1,") != std::string::npos;
  }));
}

/// What callers with open connections saw.
struct Seen
{
  int mAnswers = 0;
  int mMoved = 0; ///< connections closed by the entry after an answer
  std::vector<std::string> mWrong;
};

/// Sends requests over one connection after another until the entry accepts no more.
void
CallUntilRefused(net::FiberLoop& aLoop, const Endpoint& aEntry, Instant aUntil, Seen& aSeen)
{
  net::HttpConnection connection(aLoop, aEntry);
  const net::HttpRequest request{ "GET", "/s/vardia/shift", { { "X-Service-Ms", "30" } }, "", {} };
  while (std::chrono::steady_clock::now() < aUntil) {
    const auto result = connection.Exchange(request, aUntil + std::chrono::seconds(20));
    if (result.mStage == net::ExchangeStage::NotSent) {
      return;
    }
    if (result.mStage == net::ExchangeStage::NoAnswer || result.mResponse.mStatus != 200) {
      aSeen.mWrong.push_back(result.mError + result.mResponse.mBody);
      return;
    }
    ++aSeen.mAnswers;
    aSeen.mMoved += connection.Reusable() ? 0 : 1;
  }
}

// Guards against a planned stop that cuts off answers, and against callers that are not told to
// move.
TEST_CASE_METHOD(FaultsFixture,
                 "Faults, planned stop of an entry under load, cuts off nothing",
                 "[processes]")
{
  constexpr int kCallers = 8;
  Seen seen;
  std::thread load([&] {
    net::FiberLoop loop;
    loop.Run([&] {
      const Instant until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
      std::vector<boost::fibers::fiber> callers;
      callers.reserve(kCallers);
      for (int n = 0; n < kCallers; ++n) {
        callers.emplace_back([&] { CallUntilRefused(loop, mCluster.EntryHttp(1), until, seen); });
      }
      for (auto& it : callers) {
        it.join();
      }
    });
  });
  std::this_thread::sleep_for(Millis(700));
  mCluster.Signal("e1", SIGTERM);
  CHECK(mCluster.WaitForExit("e1") == 0);
  load.join();
  for (const std::string& it : seen.mWrong) {
    UNSCOPED_INFO(it);
  }
  CHECK(seen.mWrong.empty());
  CHECK(seen.mAnswers > kCallers);
  CHECK(seen.mMoved >= kCallers);
}

} // namespace
} // namespace fighold::testing
