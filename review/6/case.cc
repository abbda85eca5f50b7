// Two of four upstreams break off one answer each, one byte before its end. Entries that read it must go on serving: the requests that
// other clients have in flight there must be answered.
#include "harness.hh"

using namespace review;

namespace {

const Zone kFirst{ "attiki-a", "attiki" };
const Zone kSecond{ "makedonia-a", "makedonia" };

constexpr int kClients = 16;                      // kept connections to each entry
constexpr Ms kWork{ 1500 };
constexpr Ms kDeadline{ 6000 };
constexpr Ms kPause{ 100 };   // between the parts of the broken answer
constexpr int kQuick = 30;    // answers to each client beforehand
constexpr int kTries = 40;    // at each entry, until it reaches the upstream that breaks off

/// What became of a request on a kept connection.
struct Outcome
{
  std::string mId;
  int mStatus = 0;
  bool mEnded = false; ///< the connection ended without an answer
  int mEntry = 0;      ///< entry that was asked
};

std::string
Request(const std::string& aId, const std::string& aPath)
{
  std::vector<std::pair<std::string, std::string>> headers{
    { "X-Fighold-Request-Id", aId }, { "X-Fighold-Deadline-Ms", std::to_string(kDeadline.count()) }
  };
  const std::string method = aPath == "/book/x" ? "POST" : "GET";
  return RequestBytes(method, aPath, "app.example", headers, method == "POST" ? "swap" : "");
}

Outcome
Ask(Record& aRecord, Connection& aConnection, const std::string& aId, const std::string& aPath)
{
  Outcome outcome;
  outcome.mId = aId;
  const Time until = Clock::now() + kDeadline + Ms(500);
  aRecord.Line("request %s sent", aId.c_str());
  if (aConnection.Send(Request(aId, aPath), until)) {
    const auto answer = aConnection.Read(until);
    outcome.mStatus = answer ? answer->Status() : 0;
  }
  outcome.mEnded = outcome.mStatus == 0 && !aConnection.TimedOut();
  aRecord.Line("request %s: %s", aId.c_str(), outcome.mStatus == 0 ? "no answer" : std::to_string(outcome.mStatus).c_str());
  return outcome;
}

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
  std::atomic<bool> broken[4]{};
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int n = 1; n <= 4; ++n) {
    upstreams.push_back(std::make_unique<Upstream>(aRecord,
                                                   deployment,
                                                   "i-" + std::to_string(n),
                                                   "svc1",
                                                   n <= 2 ? kFirst.mName : kSecond.mName,
                                                   Address{ deployment.Ip(200 + n), 8080 },
                                                   kWork));
  }
  // One upstream of each zone breaks off one answer: it has chunks, no bytes in them, and lacks its last byte.
  for (const int faulty : { 0, 2 }) {
    upstreams[faulty]->SetFault([&aRecord, &broken, faulty](Connection& aConnection, const Message& aRequest) {
      if (aRequest.Target() != "/look/quick-broken" || broken[faulty].exchange(true)) {
        return false;
      }
      const std::string id = aRequest.Header("X-Fighold-Request-Id");
      const std::string head = "HTTP/1.1 200 OK\r\nX-Fighold-Request-Id: " + id + "\r\nX-Fighold-Server-Signature: i-" +
                               std::to_string(faulty + 1) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
      const Time until = Clock::now() + Ms(2000);
      aRecord.Line(
        "run %s at i-%d, which %s", id.c_str(), faulty + 1, HasTrouble() ? "breaks its answer off" : "answers in full");
      aConnection.Send(head + "0\r\n", until);
      std::this_thread::sleep_for(kPause);
      aConnection.Send(HasTrouble() ? "\r" : "\r\n", until);
      std::this_thread::sleep_for(kPause);
      return true;
    });
  }
  for (const auto& it : upstreams) {
    Deployment::Require("an upstream is not registered", [&] { return it->Registered(); });
  }
  for (int n = 1; n <= 2; ++n) {
    Deployment::Require("an entry is not ready",
                        [&] { return Call(deployment.Readiness(n), "GET", "/ready") == 200; });
  }
  std::this_thread::sleep_for(Ms(6000)); // ContactMs and more: all machines are in touch

  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::atomic<int> ready{ 0 };
  std::vector<std::thread> clients;
  for (int n = 0; n < 2 * kClients; ++n) {
    clients.emplace_back([&, n] {
      Connection connection;
      if (!connection.Open(deployment.Frontend(1 + n % 2), Clock::now() + Ms(1000))) {
        return;
      }
      // Quick requests first, then one that lasts, over the same connection; half of the latter may run only once.
      const std::string name = "q" + std::to_string(n) + "-";
      for (int turn = 1; turn <= kQuick; ++turn) {
        Ask(aRecord, connection, name + std::to_string(turn), "/look/quick");
      }
      ++ready;
      while (ready < 2 * kClients) {
        std::this_thread::sleep_for(Ms(1));
      }
      Outcome outcome = Ask(aRecord, connection, name + "long", n % 4 < 2 ? "/look/x" : "/book/x");
      outcome.mEntry = 1 + n % 2;
      const std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
  }
  Deployment::Require("the clients are not ready", [&] { return ready == 2 * kClients; });
  std::this_thread::sleep_for(Ms(200));
  // One client asks for the object at both entries, each time on a new connection.
  for (int n = 1; n <= 2; ++n) {
    for (int turn = 1; turn <= kTries && !deployment.Ended("entry-" + std::to_string(n)); ++turn) {
      Connection connection;
      const std::string id = "broken-" + std::to_string(n) + "-" + std::to_string(turn);
      const Time until = Clock::now() + Ms(1000);
      int status = 0;
      if (connection.Open(deployment.Frontend(n), until) &&
          connection.Send(Request(id, "/look/quick-broken"), until)) {
        const auto answer = connection.Read(until);
        status = answer ? answer->Status() : 0;
      }
      aRecord.Line("request %s: %d", id.c_str(), status);
      if (status == 0) {
        break;
      }
    }
  }
  for (auto& it : clients) {
    it.join();
  }
  // The rule counts for each machine, and requests at sound upstreams only.
  std::set<std::string> run;
  for (const auto& upstream : upstreams) {
    for (const auto& it : upstream->Runs()) {
      if (it.mUpstream != "i-1" && it.mUpstream != "i-3") {
        run.insert(it.mId);
      }
    }
  }
  std::map<int, int> cuts{ { 1, 0 }, { 2, 0 } };
  for (const Outcome& it : outcomes) {
    cuts[it.mEntry] += it.mEnded && run.count(it.mId) > 0 ? 1 : 0;
  }
  const int cut = std::max(cuts[1], cuts[2]);
  int ended = 0;
  for (int n = 1; n <= 2; ++n) {
    const std::string name = "entry-" + std::to_string(n);
    if (const auto how = deployment.Ended(name)) {
      ++ended;
      aRecord.Line("%s ended by itself: %s; %s", name.c_str(), how->c_str(), deployment.Tail(name, "Assertion").c_str());
    }
  }
  aRecord.Line("LOST: %d and %d of %zu requests on kept connections ran and were cut at the entries; %d of these ended",
               cuts[1],
               cuts[2],
               outcomes.size(),
               ended);
  std::printf("LOST: %d and %d requests ran and were cut at the entries; %d of these ended\n", cuts[1], cuts[2], ended);
  if (outcomes.size() != 2 * kClients) {
    throw CannotRun{ "not all clients could ask" };
  }
  return cut > 3 ? kBroken : kHeld;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  return Main(aArgc, aArgv, RunCase);
}
