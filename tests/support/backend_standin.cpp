// Stand-in for backend servers: announces each of its servers, answers requests within their slots,
// counts what it ran.

#include "fighold/net/http_client.hpp"
#include "fighold/net/http_server.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(entries, "", "entries to announce to, host:port,...");
DEFINE_string(servers, "", "servers to run: id:service:region:data_centre:slots:connections,...");
DEFINE_int32(service_ms, 2, "time to run a request that does not say otherwise, in ms");

namespace {

using namespace fighold;
namespace json = boost::json;

constexpr Millis kRenewInterval{ 500 };
constexpr Millis kCallTimeout{ 1000 };
constexpr std::chrono::seconds kStopTimeout{ 30 };

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

Instant
In(Duration aTime)
{
  return std::chrono::steady_clock::now() + aTime;
}

std::string
HeaderOr(const net::HttpRequest& aRequest, const std::string& aName, const std::string& aDefault)
{
  return net::FindHeader(aRequest.mHeaders, aName).value_or(aDefault);
}

/// One backend server.
struct Server
{
  std::string mId;
  std::string mService;
  std::string mRegion;
  std::string mDataCentre;
  int mSlots = 1;
  int mConnections = 1;
  std::uint64_t mIncarnation = 1;
  int mRunning = 0;
  std::uint64_t mRan = 0;
  std::uint64_t mGone = 0; ///< requests whose connection was closed before their answer
  std::map<std::string, int> mRunsByKey;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mFree;
  std::unique_ptr<net::HttpServer> mHttp;
  boost::fibers::fiber mServe;
};

/// The answer names the request, so that the caller can tell that it is its own.
net::HttpResponse
RunRequest(Server& aServer, const net::HttpRequest& aRequest, net::CallerWatch& aWatch)
{
  if (aRequest.mTarget == "/count") {
    json::object runs;
    for (const auto& [key, count] : aServer.mRunsByKey) {
      runs[key] = count;
    }
    return net::JsonResponse(
      200,
      json::serialize(
        json::object{ { "ran", aServer.mRan }, { "gone", aServer.mGone }, { "keys", runs } }));
  }
  aWatch.mOnGone = [&aServer](const std::string& /*aCause*/) { ++aServer.mGone; };
  std::unique_lock lock(aServer.mMutex);
  aServer.mFree.wait(lock, [&aServer] { return aServer.mRunning < aServer.mSlots; });
  ++aServer.mRunning;
  lock.unlock();
  const int time = std::stoi(HeaderOr(aRequest, "X-Service-Ms", std::to_string(FLAGS_service_ms)));
  boost::this_fiber::sleep_for(Millis(time));
  ++aServer.mRan;
  const std::string key = HeaderOr(aRequest, "Idempotency-Key", "");
  if (!key.empty()) {
    ++aServer.mRunsByKey[key];
  }
  --aServer.mRunning;
  aServer.mFree.notify_one();
  const std::size_t size = std::stoul(HeaderOr(aRequest, "X-Answer-Bytes", "0"));
  std::string body = aServer.mId + " " + aRequest.mMethod + " " + aRequest.mTarget + " " +
                     HeaderOr(aRequest, "X-Nonce", "") + "\n";
  body.resize(std::max(size, body.size()), '.');
  return { 200, { { "Content-Type", "text/plain" } }, std::move(body) };
}

std::string
Announcement(const Server& aServer)
{
  return json::serialize(json::object{ { "incarnation", aServer.mIncarnation },
                                       { "service", aServer.mService },
                                       { "region", aServer.mRegion },
                                       { "data_centre", aServer.mDataCentre },
                                       { "address", ToText(aServer.mHttp->Address()) },
                                       { "slots", aServer.mSlots },
                                       { "connections", aServer.mConnections },
                                       { "in_flight", aServer.mRunning } });
}

/// Sends a call to the entries in turn until one accepts it.
bool
CallAnyEntry(net::FiberLoop& aLoop,
             const std::vector<Endpoint>& aEntries,
             std::size_t aFirst,
             const net::HttpRequest& aRequest)
{
  for (std::size_t n = 0; n < aEntries.size(); ++n) {
    net::HttpConnection connection(aLoop, aEntries[(aFirst + n) % aEntries.size()]);
    if (connection.Exchange(aRequest, In(kCallTimeout)).mResponse.mStatus == 200) {
      return true;
    }
  }
  return false;
}

/// The whole stand-in, on one loop.
struct Standin
{
  net::FiberLoop mLoop;
  std::vector<Endpoint> mEntries;
  std::vector<std::unique_ptr<Server>> mServers;
  bool mStopping = false;

  void Open()
  {
    std::random_device device;
    for (const std::string& text : SplitText(FLAGS_servers, ',')) {
      const auto parts = SplitText(text, ':');
      auto server = std::make_unique<Server>();
      server->mId = parts.at(0);
      server->mService = parts.at(1);
      server->mRegion = parts.at(2);
      server->mDataCentre = parts.at(3);
      server->mSlots = std::stoi(parts.at(4));
      server->mConnections = std::stoi(parts.at(5));
      server->mIncarnation = 1U + device();
      Server* pointer = server.get();
      server->mHttp = std::make_unique<net::HttpServer>(
        mLoop,
        net::ServerOptions{ { "127.0.0.1", 0 } },
        net::WatchedHandler([pointer](const net::HttpRequest& aRequest, net::CallerWatch& aWatch) {
          return RunRequest(*pointer, aRequest, aWatch);
        }));
      server->mServe = boost::fibers::fiber([pointer] { pointer->mHttp->Serve(); });
      std::cout << "server " << server->mId << " " << ToText(server->mHttp->Address()) << std::endl;
      mServers.push_back(std::move(server));
    }
  }

  void Renew(Server& aServer, std::size_t aIndex)
  {
    while (!mStopping) {
      CallAnyEntry(mLoop,
                   mEntries,
                   aIndex,
                   { "PUT", "/v1/backend-servers/" + aServer.mId, {}, Announcement(aServer), {} });
      boost::this_fiber::sleep_for(kRenewInterval);
    }
  }

  /// Announces the departure, then answers what still runs.
  void Leave(Server& aServer, std::size_t aIndex)
  {
    const std::string target =
      "/v1/backend-servers/" + aServer.mId + "?incarnation=" + std::to_string(aServer.mIncarnation);
    const bool confirmed = CallAnyEntry(mLoop, mEntries, aIndex, { "DELETE", target, {}, "", {} });
    std::cout << "left " << aServer.mId << (confirmed ? "" : " (not confirmed)") << " after "
              << aServer.mRan << " runs" << std::endl;
    aServer.mHttp->Stop(In(kStopTimeout));
    aServer.mServe.join();
  }

  template<typename Function>
  void ForEachServer(Function aFunction)
  {
    std::vector<boost::fibers::fiber> fibers;
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      fibers.emplace_back([this, n, aFunction] { (this->*aFunction)(*mServers[n], n); });
    }
    for (auto& it : fibers) {
      it.join();
    }
  }

  void Run()
  {
    Open();
    ForEachServer(&Standin::Renew);
    ForEachServer(&Standin::Leave);
  }
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Standin standin;
  for (const std::string& it : SplitText(FLAGS_entries, ',')) {
    standin.mEntries.push_back(ParseEndpoint(it).value());
  }
  std::thread thread([&standin] { standin.mLoop.Run([&standin] { standin.Run(); }); });
  int signal = 0;
  sigwait(&signals, &signal);
  standin.mLoop.Post([&standin] { standin.mStopping = true; });
  thread.join();
  return 0;
}
