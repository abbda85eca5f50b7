#include "cluster.hpp"
#include "environment.hpp"
#include "faulty_server.hpp"
#include "odd_requests.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace fighold::testing {
namespace {

/// Seed of runs without FIGHOLD_SEED, and the seconds that CI gives without FIGHOLD_SECONDS.
constexpr std::uint64_t kSeed = 20261205;
constexpr std::uint64_t kSeconds = 8;

/// What an operator reads back.
struct ReadBack
{
  std::string mRoutes;
  std::string mPlan;
  std::string mDrainedRegions; ///< member of the status, as text

  friend auto operator<=>(const ReadBack&, const ReadBack&) = default;
};

/// Three control processes, an entry, and two servers of different services; one answers oddly.
struct OddValuesFixture
{
  Cluster mCluster;
  std::mutex mMutex;
  std::string mAnswer = FaultyConnection::AnswerText("odd");
  FaultyServer mServer;
  int mChanges = 0;
  std::uint64_t mNumber = 1; ///< of the route set in use, read back after each accepted one

  OddValuesFixture()
    : mServer([this](FaultyConnection& aConnection, int) {
      const std::lock_guard lock(mMutex);
      aConnection.Write(mAnswer);
      return false;
    })
  {
    StartControls();
    mCluster.StartEntry(1, "attiki");
    const std::string sheet = mCluster.WriteSheet("sheet.csv", TestSheet(1));
    REQUIRE(Cluster::Eventually([&] {
      return mCluster.Ctl({ 1, 2, 3 }, { "plan", "submit", sheet }).mCode == 0;
    }));
    mCluster.StartStandin("s", "a1:vardia:attiki:attiki-a:6:330");
    REQUIRE(Cluster::Eventually([this] { return IsServed(); }));
    REQUIRE(Cluster::Eventually([this] {
      const int status = Change({ "PUT", "/v1/routes", "", RouteSet(1, 0) });
      return status == 200 || status == 202 || !Read().mRoutes.empty();
    }));
  }

  void StartControls()
  {
    for (int n = 1; n <= 3; ++n) {
      mCluster.StartControl(n);
    }
  }

  /// @return true when a good request gets its answer
  bool IsServed() const
  {
    const auto result =
      Cluster::Call(mCluster.EntryHttp(1), { "GET", "/s/vardia/good", {}, "", {} });
    return result.mResponse.mStatus == 200 && result.mResponse.mBody == "a1 GET /good \n";
  }

  /// Sends a change to each control process until one decides it.
  /// @return the last status
  int Change(OddRequest aRequest)
  {
    const bool first = aRequest.mTarget.find('?') == std::string::npos;
    aRequest.mTarget += (first ? "?change=n" : "&change=n") + std::to_string(++mChanges);
    int status = 0;
    for (int n = 1; n <= 3; ++n) {
      status = StatusOf(SendBytes(mCluster.ControlHttp(n), ToBytes(aRequest), aRequest.mCut));
      if (aRequest.mCut || (status != 503 && status != 504 && status != 307)) {
        break;
      }
    }
    return status;
  }

  /// @return the configuration as the leader reads it back, empty texts without a leader
  ReadBack Read() const
  {
    ReadBack read;
    for (int n = 1; n <= 3; ++n) {
      const auto routes =
        Cluster::Call(mCluster.ControlHttp(n), { "GET", "/v1/routes", {}, "", {} });
      const auto plan = Cluster::Call(mCluster.ControlHttp(n), { "GET", "/v1/plan", {}, "", {} });
      if (routes.mResponse.mStatus == 200 && plan.mResponse.mStatus == 200) {
        const std::string status =
          Cluster::Call(mCluster.ControlHttp(n), { "GET", "/v1/status", {}, "", {} })
            .mResponse.mBody;
        const std::size_t begin = std::min(status.find("\"drained_regions\""), status.size());
        const std::size_t end = std::min(status.find(']', begin), status.size());
        read = { routes.mResponse.mBody, plan.mResponse.mBody, status.substr(begin, end - begin) };
      }
    }
    return read;
  }

  /// @return number of the route set in use
  std::uint64_t RoutesNumber() const
  {
    const std::string text = Read().mRoutes;
    const std::string mark = "\"number\":";
    const std::size_t at = text.find(mark);
    return at == std::string::npos ? 0
                                   : std::strtoull(text.c_str() + at + mark.size(), nullptr, 10);
  }

  void CheckProcesses()
  {
    for (const std::string name : { "c1", "c2", "c3", "e1", "s" }) {
      INFO(name << ": " << Printable(mCluster.Output(name).substr(0, 300)));
      CHECK(mCluster.WaitForExit(name, Duration::zero()) == -1);
    }
  }

  /// Kills all control processes; the configuration must be the same afterwards.
  void CheckRestart()
  {
    ReadBack before;
    REQUIRE(Cluster::Eventually([&] { return before = Read(), !before.mRoutes.empty(); }));
    for (int n = 1; n <= 3; ++n) {
      mCluster.Kill("c" + std::to_string(n));
    }
    StartControls();
    ReadBack after;
    CHECK(Cluster::Eventually([&] { return after = Read(), !after.mRoutes.empty(); }));
    CHECK(after == before);
    CHECK(Cluster::Eventually([this] { return IsServed(); }));
    CheckProcesses();
  }

  OddRequest OddHeartbeat(OddValues& aValues) const
  {
    const std::string id = Below(aValues, 2) == 0 ? "o1" : PercentEncode(OddText(aValues));
    if (Below(aValues, 4) == 0) {
      const std::string incarnation = PercentEncode(OddText(aValues));
      return { "DELETE", "/v1/backend-servers/" + id + "?incarnation=" + incarnation, "", "" };
    }
    const std::string body = OddBody(aValues, kHeartbeat);
    return { "PUT", "/v1/backend-servers/" + id, "", body, Below(aValues, 10) == 0 };
  }

  OddRequest OddRoutes(OddValues& aValues) const
  {
    const std::uint64_t base = mNumber;
    const bool patch = Below(aValues, 2) == 0;
    const std::string body = patch ? RoutePatch(base + 1, base) : RouteSet(base + 1, base);
    const std::string method = patch ? "PATCH" : "PUT";
    return { method, "/v1/routes", "", OddBody(aValues, body), Below(aValues, 10) == 0 };
  }

  /// A plan with one odd cell; it stays away from the rows of the good requests.
  static OddRequest OddPlan(OddValues& aValues)
  {
    std::string sheet = TestSheet(2);
    const std::string cell = Pick(aValues, { ",10000,", "standard", "kriti", "plan", "number" });
    sheet.replace(sheet.find(cell), cell.size(), OddText(aValues));
    return { "POST", "/v1/plan?base=" + PercentEncode(OddText(aValues)), "", sheet };
  }

  static OddRequest OddDrain(OddValues& aValues)
  {
    const std::string kind = Pick(aValues, { "entry", "region", "backend-server", "data-centre" });
    const std::string name = Below(aValues, 4) == 0 ? "kriti" : PercentEncode(OddText(aValues));
    return { "POST",
             "/v1/drains?kind=" + kind + "&name=" + name +
               "&state=" + Pick(aValues, { "on", "off", "%FF", "" }),
             "",
             "" };
  }

  static OddRequest OddRouted(OddValues& aValues)
  {
    const std::string name = Pick(aValues,
                                  { "X-Odd",
                                    "Idempotency-Key",
                                    "Fighold-Deadline-Ms",
                                    "Fighold-Affinity-Key",
                                    "Fighold-Request-Id" });
    const std::string path = Pick(aValues, { "/s/antikatastasi/", "/offers/", "/s/", "/" });
    return { Pick(aValues, { "GET", "POST", "PUT", "PATCH" }),
             path + PercentEncode(OddText(aValues)),
             name + ": " + OddText(aValues) + "\r\n",
             RandomBytes(aValues, Below(aValues, 100)) };
  }

  /// Sends a request to an entry whose server answers oddly.
  std::string CallOddServer(OddValues& aValues)
  {
    {
      const std::lock_guard lock(mMutex);
      mAnswer = OddAnswer(aValues);
    }
    std::string body = kHeartbeat;
    body.replace(body.find("127.0.0.1:9"), 11, ToText(mServer.Address()));
    body.replace(body.find("\"kriti\""), 7, "\"attiki\"");
    SendBytes(
      mCluster.EntryHttp(1), ToBytes({ "PUT", "/v1/backend-servers/odd", "", body }), false);
    return SendBytes(
      mCluster.EntryHttp(1), ToBytes({ "GET", "/s/antikatastasi/x", "", "" }), false);
  }

  /// Sends one odd value to one side.
  void SendOdd(OddValues& aValues)
  {
    OddRequest request;
    int status = 0;
    const std::size_t side = Below(aValues, 7);
    if (side == 0 || side == 4) {
      request = side == 0 ? OddHeartbeat(aValues) : OddRouted(aValues);
      status = StatusOf(SendBytes(mCluster.EntryHttp(1), ToBytes(request), request.mCut));
    } else if (side <= 3) {
      request = side == 1 ? OddRoutes(aValues) : side == 2 ? OddPlan(aValues) : OddDrain(aValues);
      status = Change(request);
      mNumber = side == 1 && status / 100 == 2 ? RoutesNumber() : mNumber;
    } else if (side == 5) {
      status = StatusOf(CallOddServer(aValues));
    } else {
      const int control = 1 + static_cast<int>(Below(aValues, 3));
      const std::string start = Pick(aValues, { "", kMessageGreeting });
      const std::string bytes = start + RandomBytes(aValues, 1 + Below(aValues, 6000));
      SendBytes(mCluster.ControlMessages(control), bytes, true);
      return;
    }
    INFO("side " << side << ": " << Printable(ToBytes(request)));
    CHECK((status != 0 || request.mCut));
  }
};

/// Requests to an entry that once ended processes.
const std::vector<NamedRequest> kEntryRequests{
  { "incident 5: identifier that is not UTF-8",
    { "PUT", "/v1/backend-servers/i-%FF%FE", "", kHeartbeat } },
  { "incident 6: address with leading zeros",
    { "PUT",
      "/v1/backend-servers/z1",
      "",
      R"({"incarnation":1,"service":"antikatastasi","region":"attiki","data_centre":"attiki-a",)"
      R"("address":"127.0.0.0230:8080","slots":6,"connections":330,"in_flight":0})" } },
};

/// Values of incident 8 that were confirmed with another value than was sent.
const std::vector<std::pair<std::string, std::string>> kRouteValues{
  { "\"timeout_ms\":1200", "\"timeout_ms\":null" },
  { "\"timeout_ms\":1200", "\"timeout_ms\":1.5" },
  { "\"timeout_ms\":1200", "\"timeout_ms\":0" },
  { "\"attempts\":2", "\"attempts\":1.5" },
  { "\"attempts\":2", "\"attempts\":null" },
  { "\"max_connections\":390", "\"max_connections\":1e400" },
  { "\"max_header_bytes\":8192", "\"max_header_bytes\":1" },
  { "\"health_path\":\"/health\"", "\"health_path\":\"/a b\"" },
  { "\"name\":\"offers\"", "\"name\":\"o\\u0001\"" },
};

// Guards against values that ended processes or were confirmed as others: incidents 5, 6 and 8.
TEST_CASE_METHOD(OddValuesFixture,
                 "Odd values, each value that once failed, is refused and nothing ends",
                 "[processes]")
{
  for (const NamedRequest& it : kEntryRequests) {
    INFO(it.mName);
    CHECK(StatusOf(SendBytes(mCluster.EntryHttp(1), ToBytes(it.mRequest), false)) == 400);
  }
  for (const auto& [good, odd] : kRouteValues) {
    INFO(odd);
    std::string body = RouteSet(2, 1);
    body.replace(body.find(good), good.size(), odd);
    CHECK(Change({ "PUT", "/v1/routes", "", body }) / 100 == 4);
  }
  CHECK(RoutesNumber() == 1);
  CheckProcesses();
  CheckRestart();
}

// Guards against an outside value that ends a process, goes without an answer, keeps good requests
// from being served or cannot be read back after a restart.
TEST_CASE_METHOD(OddValuesFixture,
                 "Odd values, random ones on every side, are answered and nothing is lost",
                 "[processes]")
{
  const std::uint64_t seed = FromEnvironment("FIGHOLD_SEED", kSeed);
  const std::chrono::seconds time(FromEnvironment("FIGHOLD_SECONDS", kSeconds));
  INFO("FIGHOLD_SEED=" << seed);
  OddValues values{ std::mt19937_64(seed) };
  const Instant until = std::chrono::steady_clock::now() + time;
  int sent = 0;
  while (std::chrono::steady_clock::now() < until) {
    SendOdd(values);
    if (++sent % 10 == 0) {
      CHECK(IsServed());
      CheckProcesses();
    }
  }
  CheckProcesses();
  CheckRestart();
  WARN("seed " << seed << ": " << sent << " odd values, " << mServer.Requests()
               << " odd answers, route set " << RoutesNumber());
}

} // namespace
} // namespace fighold::testing
