#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <random>
#include <regex>
#include <thread>

namespace fighold::testing {
namespace {

/// Three control processes, an entry in each of two regions, and a backend server in each.
struct ClaimsFixture
{
  Cluster mCluster;

  ClaimsFixture()
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
    mCluster.StartStandin(
      "s", "a1:antikatastasi:attiki:attiki-a:3:330,k1:antikatastasi:kriti:kriti-a:3:330");
    REQUIRE(Cluster::Eventually([this] { return Serves(1) && Serves(2); }));
  }

  bool Serves(int aEntry) const
  {
    return Call(aEntry, { "GET", "/s/antikatastasi/", {}, "", {} }).mResponse.mStatus == 200;
  }

  net::ExchangeResult Call(int aEntry, const net::HttpRequest& aRequest) const
  {
    return Cluster::Call(mCluster.EntryHttp(aEntry), aRequest);
  }

  net::ExchangeResult Post(int aEntry,
                           const std::string& aKey,
                           int aServiceMs = 2,
                           const std::string& aBody = "swap") const
  {
    return Call(aEntry,
                { "POST",
                  "/s/antikatastasi/swap",
                  { { "Idempotency-Key", aKey }, { "X-Service-Ms", std::to_string(aServiceMs) } },
                  aBody,
                  {} });
  }

  /// @return runs of a key at all backend servers
  int Runs(const std::string& aKey) const
  {
    int runs = 0;
    for (const std::string server : { "a1", "k1" }) {
      const auto result =
        Cluster::Call(mCluster.StandinAddress("s", server), { "GET", "/count", {}, "", {} });
      std::smatch match;
      if (std::regex_search(
            result.mResponse.mBody, match, std::regex("\"" + aKey + "\":([0-9]+)"))) {
        runs += std::stoi(match[1]);
      }
    }
    return runs;
  }

  static std::string OutcomeOf(const net::ExchangeResult& aResult)
  {
    return net::FindHeader(aResult.mResponse.mHeaders, "Fighold-Outcome").value_or("");
  }
};

// Guards against a second run when the first entry died and the caller resends.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, entry killed while a POST runs, resend is told unknown",
                 "[processes]")
{
  std::thread caller([this] { Post(1, "k1", 1500); });
  std::this_thread::sleep_for(Millis(500));
  mCluster.Kill("e1");
  caller.join();
  const auto resend = Post(2, "k1", 1500);
  CHECK(resend.mResponse.mStatus == 504);
  CHECK(OutcomeOf(resend) == "unknown");
  CHECK(Cluster::Eventually([this] { return Runs("k1") >= 1; }));
  std::this_thread::sleep_for(Millis(2000));
  CHECK(Runs("k1") == 1);
}

// Guards against a second run when the entry dies at any other moment: before, between or after
// claim and dispatch. Seed 20.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, entry killed at random moments, resends run at most once",
                 "[processes]")
{
  std::mt19937 random(20);
  for (int n = 0; n < 6; ++n) {
    const std::string key = "r" + std::to_string(n);
    std::thread caller([this, key] { Post(1, key, 3); });
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 12'000));
    mCluster.Kill("e1");
    caller.join();
    for (int resend = 0; resend < 2; ++resend) {
      const auto result = Post(2, key, 3);
      INFO(key << ": " << result.mResponse.mBody << result.mError);
      CHECK((OutcomeOf(result) == "run" || OutcomeOf(result) == "unknown"));
    }
    std::this_thread::sleep_for(Millis(300));
    INFO(key);
    CHECK(Runs(key) <= 1);
    mCluster.StartEntry(1, "attiki");
    REQUIRE(Cluster::Eventually([this] { return Serves(1); }));
  }
}

// Guards against a second run when an entry is frozen at any moment, its request is resent, and the
// entry goes on. Seed 21.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, entry frozen at random moments, resends run at most once",
                 "[processes]")
{
  std::mt19937 random(21);
  for (int n = 0; n < 8; ++n) {
    const std::string key = "z" + std::to_string(n);
    net::ExchangeResult first;
    std::thread caller([&] { first = Post(1, key, 3); });
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 12'000));
    mCluster.Signal("e1", SIGSTOP);
    const auto resend = Post(2, key, 3);
    mCluster.Signal("e1", SIGCONT);
    caller.join();
    INFO(key << ": " << first.mResponse.mBody << resend.mResponse.mBody);
    CHECK(Runs(key) <= 1);
    CHECK((OutcomeOf(resend) == "run" || OutcomeOf(resend) == "unknown"));
    if (OutcomeOf(first) == "run" && OutcomeOf(resend) == "run") {
      CHECK(first.mResponse.mBody == resend.mResponse.mBody);
    }
  }
}

TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, resend after the answer, gets the first answer",
                 "[processes]")
{
  const auto first = Post(1, "k1");
  const auto resend = Post(2, "k1");
  CHECK(OutcomeOf(first) == "run");
  CHECK(OutcomeOf(resend) == "run");
  CHECK(first.mResponse.mBody == "a1 POST /swap \n");
  CHECK(resend.mResponse.mBody == first.mResponse.mBody);
  CHECK(Runs("k1") == 1);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, no key or the key of another body, is refused as not run",
                 "[processes]")
{
  Post(1, "k1");
  const auto other = Post(2, "k1", 2, "another swap");
  CHECK(other.mResponse.mStatus == 422);
  CHECK(OutcomeOf(other) == "not-run");
  const auto missing = Call(1, { "POST", "/s/antikatastasi/swap", {}, "swap", {} });
  CHECK(missing.mResponse.mStatus == 400);
  CHECK(OutcomeOf(missing) == "not-run");
  CHECK(Runs("k1") == 1);
}

// Guards against a dispatch on the word of one holder.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, no majority of holders, answers not run and runs nothing",
                 "[processes]")
{
  mCluster.Signal("c2", SIGSTOP);
  mCluster.Signal("c3", SIGSTOP);
  const auto result = Post(1, "k1");
  CHECK(OutcomeOf(result) == "not-run");
  CHECK(Runs("k1") == 0);
  mCluster.Signal("c2", SIGCONT);
  mCluster.Signal("c3", SIGCONT);
  CHECK(Cluster::Eventually([this] { return OutcomeOf(Post(1, "k1")) == "run"; }));
  CHECK(Runs("k1") == 1);
}

// Guards against a restarted holder that grants what it granted before, and against one that never
// takes part again.
TEST_CASE_METHOD(ClaimsFixture,
                 "Claims, holder restarted, copies from the others and takes part again",
                 "[processes]")
{
  std::thread caller([this] { Post(1, "k1", 700); });
  std::this_thread::sleep_for(Millis(300));
  mCluster.Kill("e1");
  caller.join();
  mCluster.Kill("c3");
  mCluster.StartControl(3);
  REQUIRE(Cluster::Eventually(
    [this] { return mCluster.Output("c3").find("copied-from-majority") != std::string::npos; }));
  mCluster.Kill("c2");
  CHECK(Cluster::Eventually([this] { return OutcomeOf(Post(2, "k2")) == "run"; }));
  const auto resend = Post(2, "k1");
  CHECK(OutcomeOf(resend) == "unknown");
  CHECK(Runs("k1") == 1);
}

} // namespace
} // namespace fighold::testing
