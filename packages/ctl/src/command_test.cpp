#include "fighold/ctl/command.hpp"

#include <catch2/catch.hpp>

namespace fighold::ctl {
namespace {

struct CommandFixture
{
  std::vector<net::HttpRequest> mRequests;
  std::vector<net::HttpResponse> mResponses; ///< taken from the front; none left: nobody answers
  std::string mSheet = "item,service\n";
  std::string mOutput;
  std::string mErrors;
  int mWaits = 0;

  int Run(const std::vector<std::string>& aArguments, const Options& aOptions = {})
  {
    Environment environment;
    environment.mCall =
      [this](const net::HttpRequest& aRequest) -> std::optional<net::HttpResponse> {
      mRequests.push_back(aRequest);
      if (mResponses.empty()) {
        return std::nullopt;
      }
      auto response = mResponses.front();
      mResponses.erase(mResponses.begin());
      return response;
    };
    environment.mReadFile = [this](const std::string& aPath) {
      return aPath == "sheet.csv" ? std::optional<std::string>(mSheet) : std::nullopt;
    };
    environment.mNewChangeId = [] { return std::string("new-id"); };
    environment.mPrint = [this](const std::string& aText) { mOutput += aText + "\n"; };
    environment.mError = [this](const std::string& aText) { mErrors += aText + "\n"; };
    environment.mWait = [this](Millis) { ++mWaits; };
    return RunCommand(aArguments, aOptions, environment);
  }
};

TEST_CASE_METHOD(CommandFixture,
                 "RunCommand, unknown command, prints the usage and exits 2",
                 "[ctl]")
{
  CHECK(Run({ "plan", "destroy" }) == kExitBadUsage);
  CHECK(mErrors.find("plan submit SHEET") != std::string::npos);
}

// Guards against a command that takes one log file only.
TEST_CASE_METHOD(CommandFixture, "explain, several files, marks the line that decided", "[ctl]")
{
  mSheet =
    "time=1.0 decision=answer subject=9c41 outcome=not-run status=503 reason=no-room-in-time "
    "elapsed_ms=0 sends=0\n";
  CHECK(Run({ "explain", "9c41", "sheet.csv", "sheet.csv" }) == kExitDone);
  CHECK(mOutput.find("> sheet.csv: time=1.0 decision=answer") != std::string::npos);
  CHECK(mOutput.find("outcome: not run, answered 503 after 0 ms: no-room-in-time") !=
        std::string::npos);
  CHECK(Run({ "explain", "0000", "sheet.csv" }) == kExitFailed);
  CHECK(Run({ "explain", "9c41", "none.log" }) == kExitBadUsage);
  CHECK(Run({ "explain", "9c41" }) == kExitBadUsage);
}

TEST_CASE_METHOD(CommandFixture,
                 "plan check, sheet with findings, prints them and exits 2",
                 "[ctl]")
{
  CHECK(Run({ "plan", "check", "sheet.csv" }) == kExitBadUsage);
  CHECK(mErrors.find("sheet.csv:1:1: the header must be") != std::string::npos);
  CHECK(mRequests.empty());
}

// Guards against an operator who loses the answer and does not know how to repeat the change
// safely.
TEST_CASE_METHOD(CommandFixture,
                 "drain, nobody answers, names the change identifier for a resend",
                 "[ctl]")
{
  CHECK(Run({ "drain", "on", "region", "kriti" }) == kExitFailed);
  CHECK(mErrors.find("--change=new-id") != std::string::npos);
}

TEST_CASE_METHOD(CommandFixture, "drain, conflict, names the plan in use and exits 1", "[ctl]")
{
  mResponses = { net::JsonResponse(
    409, R"({"decided":true,"verdict":"conflict","message":"m","plan":7,"digest":"d"})") };
  CHECK(Run({ "drain", "on", "region", "kriti" }, { "mine", "", "secret" }) == kExitFailed);
  CHECK(mErrors.find("conflict: m (in use: plan 7, digest d)") != std::string::npos);
  CHECK(mRequests[0].mTarget.find("change=mine") != std::string::npos);
  CHECK(net::FindHeader(mRequests[0].mHeaders, "Authorization") == "Bearer secret");
}

TEST_CASE_METHOD(CommandFixture,
                 "drain, accepted but not in force, names the entries and exits 1",
                 "[ctl]")
{
  mResponses = { net::JsonResponse(
    202, R"({"decided":true,"verdict":"accepted","in_force":false,"not_yet":["e7"]})") };
  CHECK(Run({ "drain", "on", "region", "kriti" }) == kExitFailed);
  CHECK(mErrors.find("not yet in force at: e7") != std::string::npos);
}

constexpr auto kAccepted =
  R"({"decided":true,"verdict":"accepted","version":9,"plan":7,"digest":"d","in_force":true})";

// Guards against a drain that is reported as done while requests still run there.
TEST_CASE_METHOD(CommandFixture,
                 "drain, requests in flight, shows them until nothing is left",
                 "[ctl]")
{
  const auto status = [](int aCount) {
    return net::JsonResponse(200,
                             R"({"backend_servers":[{"id":"s1","alive":true,"in_flight":)" +
                               std::to_string(aCount) +
                               R"(},{"id":"s2","alive":true,"in_flight":5}]})");
  };
  mResponses = { net::JsonResponse(200, kAccepted),
                 status(3),
                 status(0),
                 status(1),
                 status(0),
                 status(0),
                 status(0) };
  CHECK(Run({ "drain", "on", "backend-server", "s1" }) == kExitDone);
  CHECK(mOutput.find("3 in flight\n0 in flight\n1 in flight\n0 in flight\ndrained") !=
        std::string::npos);
  CHECK(mResponses.empty());
}

TEST_CASE_METHOD(CommandFixture,
                 "drain, control processes vanish during the wait, exits 1",
                 "[ctl]")
{
  mResponses = { net::JsonResponse(200, kAccepted) };
  CHECK(Run({ "drain", "on", "entry", "e1" }) == kExitFailed);
  CHECK(mOutput.find("drained") == std::string::npos);
}

TEST_CASE_METHOD(CommandFixture,
                 "plan watch, one entry behind, names it until the plan is in force",
                 "[ctl]")
{
  mResponses = { net::JsonResponse(200, R"({"plan":7,"version":9,"in_force":8,"entries":[
      {"id":"e1","version":9,"current":true},{"id":"e2","version":8,"current":false}]})"),
                 net::JsonResponse(200, R"({"plan":7,"version":9,"in_force":9})") };
  CHECK(Run({ "plan", "watch" }) == kExitDone);
  CHECK(mOutput == "version 9 is not yet in force at: e2 (version 8, cut off)\n"
                   "plan 7, version 9: in force everywhere\n");
  CHECK(mWaits == 1);
}

TEST_CASE_METHOD(CommandFixture, "plan history, two plans, prints both in order", "[ctl]")
{
  mResponses = { net::JsonResponse(200,
                                   R"({"plans":[{"plan":1,"digest":"d1","version":2,"change":"a"},
                      {"plan":2,"digest":"d2","version":5,"change":"b"}]})") };
  CHECK(Run({ "plan", "history" }) == kExitDone);
  CHECK(mOutput == "plan 1        d1 version 2 change a\nplan 2        d2 version 5 change b\n");
}

TEST_CASE_METHOD(CommandFixture, "status, parts cut off, draining and leaving, marks each", "[ctl]")
{
  mResponses = { net::JsonResponse(200, R"({"drained_regions":["kriti"],"entries":[
      {"id":"e1","current":true,"draining":true},{"id":"e2"},
      {"id":"e3","current":true,"leaving":true,"draining":true}],
    "backend_servers":[{"id":"s1","alive":true,"draining":true},{"id":"s2","leaving":true},
      {"id":"s3","alive":true},{"id":"s4"}]})") };
  CHECK(Run({ "status" }) == kExitDone);
  for (const char* it : { "region  kriti draining\n",
                          "version 0 draining\n",
                          "version 0 cut off\n",
                          "version 0 leaving\n",
                          " draining\n",
                          " leaving\n",
                          " serving\n",
                          " lost\n" }) {
    CHECK(mOutput.find(it) != std::string::npos);
  }
}

} // namespace
} // namespace fighold::ctl
