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

} // namespace
} // namespace fighold::ctl
