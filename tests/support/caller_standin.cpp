// Stand-in for callers: looks entries up, caches the answer for its time to live, sends a bounded
// number of requests, and checks that each answer is whole and its own. Prints a table; exits with
// 0 only when every check held.

#include "fighold/net/http_client.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

DEFINE_string(entries, "", "entries to ask for look-ups, host:port,...");
DEFINE_string(services, "", "services to call in turn: name[:POST],...");
DEFINE_string(regions, "", "regions of the callers, in turn; empty: by address");
DEFINE_int32(requests, 300, "number of requests");
DEFINE_int32(callers, 10, "callers that send at once");
DEFINE_int32(pause_ms, 0, "pause of a caller between two requests, in ms");
DEFINE_int32(answer_bytes, 2000, "size of an answer");
DEFINE_int32(service_ms, -1, "time that a request runs, in ms; negative: the stand-in's own");
DEFINE_int32(seed, 1, "start of the request numbers, so that keys of two runs differ");
DEFINE_bool(direct, false, "send each request to one of --entries only, in turn, without look-ups");
DEFINE_bool(allow_not_run, false, "accept requests that were answered as not run");

namespace {

using namespace fighold;
namespace json = boost::json;

constexpr std::chrono::seconds kTimeout{ 40 };
constexpr int kMaxEntriesTried = 4;

std::vector<std::string>
SplitText(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

/// Results of one service.
struct Tally
{
  int mRun = 0;
  int mNotRun = 0;
  int mUnknown = 0;
  int mWrong = 0; ///< answers that were not whole, not the caller's own, or had no outcome
  std::vector<double> mMillis;
  std::map<std::string, int> mServers;
};

struct CachedLookup
{
  std::vector<Endpoint> mEntries;
  Instant mUntil{};
};

/// One caller: its connections and cached look-ups.
struct Caller
{
  net::FiberLoop& mLoop;
  std::string mRegion;
  std::map<std::string, CachedLookup> mLookups;
  std::map<Endpoint, std::unique_ptr<net::HttpConnection>> mConnections;

  net::ExchangeResult Send(const Endpoint& aEntry, const net::HttpRequest& aRequest)
  {
    auto& connection = mConnections[aEntry];
    if (!connection || !connection->Reusable()) {
      connection = std::make_unique<net::HttpConnection>(mLoop, aEntry);
    }
    return connection->Exchange(aRequest, std::chrono::steady_clock::now() + kTimeout);
  }

  const std::vector<Endpoint>& LookUp(const std::string& aService,
                                      const std::vector<Endpoint>& aSeeds)
  {
    CachedLookup& cached = mLookups[aService];
    const Instant now = std::chrono::steady_clock::now();
    if (now < cached.mUntil) {
      return cached.mEntries;
    }
    const std::string region = mRegion.empty() ? "" : "&region=" + mRegion;
    for (const Endpoint& it : aSeeds) {
      const auto result =
        Send(it, { "GET", "/v1/lookup?service=" + aService + region, {}, "", {} });
      if (result.mResponse.mStatus == 200 && result.mStage == net::ExchangeStage::Answered) {
        const json::object answer = json::parse(result.mResponse.mBody).as_object();
        cached.mEntries.clear();
        for (const auto& entry : answer.at("entries").as_array()) {
          cached.mEntries.push_back(ParseEndpoint(entry.at("address").as_string().c_str()).value());
        }
        cached.mUntil = now + Millis(answer.at("ttl_ms").as_int64());
        return cached.mEntries;
      }
    }
    return cached.mEntries;
  }
};

net::HttpRequest
MakeRequest(const std::string& aService, bool aPost, int aNumber)
{
  net::HttpRequest request;
  request.mMethod = aPost ? "POST" : "GET";
  request.mTarget = "/s/" + aService + "/item/" + std::to_string(aNumber);
  const std::string nonce = "n" + std::to_string(FLAGS_seed) + "-" + std::to_string(aNumber);
  request.mHeaders = { { "X-Nonce", nonce },
                       { "X-Answer-Bytes", std::to_string(FLAGS_answer_bytes) } };
  if (FLAGS_service_ms >= 0) {
    request.mHeaders.push_back({ "X-Service-Ms", std::to_string(FLAGS_service_ms) });
  }
  if (aPost) {
    request.mHeaders.push_back({ "Idempotency-Key", "key-" + nonce });
    request.mBody = "body of " + nonce;
  }
  return request;
}

/// Prints the first few faults only; the table counts all of them.
void
Complain(int aNumber, const std::string& aText)
{
  static int left = 10;
  if (left-- > 0) {
    std::cerr << "request " << aNumber << ": " << aText << "\n";
  }
}

void
Count(const net::ExchangeResult& aResult,
      const net::HttpRequest& aRequest,
      int aNumber,
      double aMillis,
      Tally& aTally)
{
  const std::string outcome =
    net::FindHeader(aResult.mResponse.mHeaders, "Fighold-Outcome").value_or("");
  if (aResult.mStage != net::ExchangeStage::Answered) {
    ++aTally.mWrong;
    Complain(aNumber, aResult.mError);
  } else if (outcome == "not-run") {
    ++aTally.mNotRun;
    Complain(aNumber, aResult.mResponse.mBody);
  } else if (outcome == "unknown") {
    ++aTally.mUnknown;
    Complain(aNumber, aResult.mResponse.mBody);
  } else {
    const std::string own = aRequest.mMethod + " /item/" + std::to_string(aNumber) + " " +
                            aRequest.mHeaders[0].mValue + "\n";
    const bool whole = static_cast<int>(aResult.mResponse.mBody.size()) >= FLAGS_answer_bytes;
    const bool right =
      outcome == "run" && whole && aResult.mResponse.mBody.find(own) != std::string::npos;
    ++(right ? aTally.mRun : aTally.mWrong);
    aTally.mMillis.push_back(aMillis);
    ++aTally.mServers[net::FindHeader(aResult.mResponse.mHeaders, "Fighold-Backend-Server")
                        .value_or("?")];
  }
}

double
Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[std::min(aValues.size() - 1,
                          static_cast<std::size_t>(aPart * static_cast<double>(aValues.size())))];
}

/// The whole run.
struct Run
{
  net::FiberLoop mLoop;
  std::vector<Endpoint> mSeeds;
  std::vector<std::string> mServices = SplitText(FLAGS_services, ',');
  std::vector<std::string> mRegions = SplitText(FLAGS_regions, ',');
  std::map<std::string, Tally> mTallies;
  int mNext = 0;

  /// @return entries to which a request is sent one after another, until one of them runs it. With
  /// --direct, the requests of each service go round all entries.
  std::vector<Endpoint> Route(Caller& aCaller, const std::string& aService, int aNumber)
  {
    if (!FLAGS_direct || mSeeds.empty()) {
      return aCaller.LookUp(aService, mSeeds);
    }
    const auto number = static_cast<std::size_t>(aNumber);
    return { mSeeds[number / mServices.size() % mSeeds.size()] };
  }

  /// Sends one request; an entry that cannot be reached or did not run it is followed by the next
  /// one of the route.
  void SendOne(Caller& aCaller, int aNumber)
  {
    const auto parts =
      SplitText(mServices[static_cast<std::size_t>(aNumber) % mServices.size()], ':');
    const bool post = parts.size() > 1 && parts[1] == "POST";
    const auto request = MakeRequest(parts[0], post, aNumber);
    const Instant start = std::chrono::steady_clock::now();
    net::ExchangeResult result{ net::ExchangeStage::NotSent, {}, "no entry found" };
    int tried = 0;
    for (const Endpoint& it : Route(aCaller, parts[0], aNumber)) {
      result = aCaller.Send(it, request);
      const bool notRun =
        net::FindHeader(result.mResponse.mHeaders, "Fighold-Outcome") == "not-run";
      if ((result.mStage != net::ExchangeStage::NotSent && !notRun) ||
          ++tried == kMaxEntriesTried) {
        break;
      }
    }
    const double millis =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    Count(result, request, aNumber, millis, mTallies[parts[0]]);
  }

  void RunCaller(std::size_t aIndex)
  {
    Caller caller{ mLoop, mRegions.empty() ? "" : mRegions[aIndex % mRegions.size()], {}, {} };
    while (mNext < FLAGS_requests) {
      SendOne(caller, mNext++);
      if (FLAGS_pause_ms > 0) {
        boost::this_fiber::sleep_for(Millis(FLAGS_pause_ms));
      }
    }
  }

  void RunAll()
  {
    std::vector<boost::fibers::fiber> fibers;
    fibers.reserve(static_cast<std::size_t>(FLAGS_callers));
    for (int n = 0; n < FLAGS_callers; ++n) {
      fibers.emplace_back([this, n] { RunCaller(static_cast<std::size_t>(n)); });
    }
    for (auto& it : fibers) {
      it.join();
    }
  }

  bool Print() const
  {
    bool held = true;
    std::printf("%-16s %7s %7s %7s %7s %9s %9s  %s\n",
                "service",
                "run",
                "not-run",
                "unknown",
                "wrong",
                "p50 ms",
                "p99 ms",
                "backend servers used");
    for (const auto& [service, tally] : mTallies) {
      std::printf("%-16s %7d %7d %7d %7d %9.2f %9.2f  %zu\n",
                  service.c_str(),
                  tally.mRun,
                  tally.mNotRun,
                  tally.mUnknown,
                  tally.mWrong,
                  Quantile(tally.mMillis, 0.5),
                  Quantile(tally.mMillis, 0.99),
                  tally.mServers.size());
      held = held && tally.mWrong == 0 && tally.mUnknown == 0 &&
             (FLAGS_allow_not_run || tally.mNotRun == 0);
    }
    return held;
  }
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  Run run;
  for (const std::string& it : SplitText(FLAGS_entries, ',')) {
    run.mSeeds.push_back(ParseEndpoint(it).value());
  }
  run.mLoop.Run([&run] { run.RunAll(); });
  return run.Print() ? 0 : 1;
}
