// An upstream starts and is taken away again at once. Its first heartbeat is late on its way; its DELETE is acknowledged
// before. The late heartbeat must not bring it back: later than DrainPeriodMs after the acknowledgement it gets nothing.
#include "harness.hh"

using namespace review;

namespace {

const Zone kFirst{ "attiki-a", "attiki" };
const Zone kSecond{ "makedonia-a", "makedonia" };

constexpr Ms kLate{ 1500 };        // how late the heartbeat arrives
constexpr Ms kBeforeDelete{ 200 }; // from its sending to the DELETE
constexpr Ms kDrainPeriod{ 2500 }; // DrainPeriodMs
constexpr Ms kServes{ 10'000 };    // the upstream goes on serving for so long after the acknowledgement

struct Sent
{
  std::string mId;
  Time mAt;
};

int
RunCase(Record& aRecord)
{
  Deployment deployment(aRecord, { kFirst, kSecond }, 3);
  for (int n = 1; n <= 3; ++n) {
    deployment.StartControl(n, true);
  }
  deployment.StartEntry(1, kFirst);
  deployment.StartEntry(2, kSecond);
  Deployment::Require("no configuration was acknowledged", [&] {
    return Call(deployment.ControlAdmin(1), "PUT", "/config", Config(1, 0)) == 200;
  });
  const auto make = [&](int aNumber, bool aBeats) {
    return std::make_unique<Upstream>(aRecord,
                                      deployment,
                                      "i-" + std::to_string(aNumber),
                                      "svc1",
                                      kFirst.mName,
                                      Address{ deployment.Ip(200 + aNumber), 8080 },
                                      Ms(10),
                                      aBeats);
  };
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int n = 1; n <= 2; ++n) {
    upstreams.push_back(make(n, true));
  }
  for (const auto& it : upstreams) {
    Deployment::Require("an upstream is not registered", [&] { return it->Registered(); });
  }
  for (int n = 1; n <= 2; ++n) {
    Deployment::Require("an entry is not ready",
                        [&] { return Call(deployment.Readiness(n), "GET", "/ready") == 200; });
  }
  std::mutex mutex;
  std::vector<Sent> sent;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (int n = 0; n < 8; ++n) {
    clients.emplace_back([&, n] {
      for (int turn = 1; !stop; ++turn) {
        const std::string id = "q" + std::to_string(n) + "-" + std::to_string(turn);
        const Time until = Clock::now() + Ms(2000);
        Connection connection;
        int status = 0;
        if (connection.Open(deployment.Frontend(1 + n % 2), until)) {
          {
            const std::lock_guard lock(mutex);
            sent.push_back({ id, Clock::now() });
          }
          connection.Send(
            RequestBytes("GET",
                         "/look/x",
                         "app.example",
                         { { "X-Fighold-Request-Id", id }, { "X-Fighold-Deadline-Ms", "2000" } },
                         ""),
            until);
          const auto answer = connection.Read(until);
          status = answer ? answer->Status() : 0;
        }
        aRecord.Line("request %s answered %d", id.c_str(), status);
        std::this_thread::sleep_for(Ms(50));
      }
    });
  }
  std::this_thread::sleep_for(Ms(6000)); // ContactMs and more: all machines are in touch

  const auto leaving = make(3, false);
  const Time start = Clock::now();
  const std::string path = "/instances/i-3";
  const std::string heartbeat = leaving->Heartbeat(1);
  std::thread late;
  if (HasTrouble()) {
    late = std::thread([&] {
      Connection connection;
      const bool open = connection.Open(deployment.ControlAdmin(1), Clock::now() + Ms(1000));
      std::this_thread::sleep_until(start + kLate);
      if (open) {
        connection.Send(
          RequestBytes("PUT", path, deployment.ControlAdmin(1).Text(), {}, heartbeat), Clock::now() + Ms(1000));
        aRecord.Line("the heartbeat of i-3 arrives, %lld ms late", static_cast<long long>(kLate.count()));
        // Nobody waits for the answer any more.
        connection.Read(Clock::now() + Ms(500));
      }
    });
  } else {
    aRecord.Line("heartbeat of i-3: %d", Call(deployment.ControlAdmin(1), "PUT", path, heartbeat));
  }
  std::this_thread::sleep_until(start + kBeforeDelete);
  const int status = Call(deployment.ControlAdmin(2), "DELETE", path);
  const Time acknowledged = Clock::now();
  aRecord.Line("DELETE of i-3: %d", status);
  std::this_thread::sleep_until(acknowledged + kServes);
  stop = true;
  for (auto& it : clients) {
    it.join();
  }
  if (late.joinable()) {
    late.join();
  }
  if (status != 200) {
    throw CannotRun{ "the DELETE was not acknowledged" };
  }
  // Requests that clients sent, and that reached the upstream, later than DrainPeriodMs after the acknowledgement.
  std::set<std::string> lateIds;
  for (const Sent& it : sent) {
    if (it.mAt > acknowledged + kDrainPeriod) {
      lateIds.insert(it.mId);
    }
  }
  int broken = 0;
  for (const auto& it : leaving->Runs()) {
    broken += it.mAt > acknowledged + kDrainPeriod && lateIds.count(it.mId) > 0 ? 1 : 0;
  }
  aRecord.Line("DRAIN: %d requests reached i-3 later than %lld ms after its DELETE was acknowledged",
               broken,
               static_cast<long long>(kDrainPeriod.count()));
  std::printf("DRAIN: %d requests reached the upstream that had left\n", broken);
  return broken > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  return Main(aArgc, aArgv, RunCase);
}
