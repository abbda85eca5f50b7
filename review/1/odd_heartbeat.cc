// One heartbeat of another writer, with an id whose bytes are no text, among those of the
// upstreams. The platform restarts processes that end; the operator reads the configuration back.
#include "../common/standins.hh"

using namespace review;

int
main(int aArgc, char** aArgv)
{
  gRecord.Open(aArgc > 1 ? aArgv[1] : "record.txt");
  const bool trouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  constexpr int kReadForMs = 20000; // ContactMs is 4,000, RecoveryS 15
  int code = 2;
  {
    Cluster cluster(3, 2);
    const int acked = Order(
      cluster,
      "PUT /config",
      ConfigJson(
        "r2", "r0", ServiceJson("lookup"), RouteJson("r-look", "/look/", "safe", "lookup", 1500)));
    Upstream first(cluster, "i-1", "lookup", "attiki-a", cluster.Ip(201), 8080, 50);
    Upstream second(cluster, "i-2", "lookup", "makedonia-a", cluster.Ip(202), 8080, 50);
    const bool ready = Eventually([&] { return Cluster::IsReady(cluster.Entry(0)); }, 15000);
    if (acked == 200 && ready) {
      Sleep(2000);
      // Processes that end by themselves are restarted after a short delay.
      std::atomic<bool> watching{ true };
      int ends = 0;
      std::set<std::string> ended;
      std::mutex mutex;
      std::thread platform([&] {
        while (watching) {
          for (int n = 0; n < cluster.Controls(); ++n) {
            Node& node = cluster.Control(n);
            int status = 0;
            if (node.mPid > 0 && waitpid(node.mPid, &status, WNOHANG) == node.mPid) {
              node.mPid = -1;
              gRecord.Line("platform: %s ended by itself, signal %d, exit code %d",
                           node.mName.c_str(),
                           WIFSIGNALED(status) ? WTERMSIG(status) : 0,
                           WIFEXITED(status) ? WEXITSTATUS(status) : 0);
              {
                std::lock_guard<std::mutex> lock(mutex);
                ++ends;
                ended.insert(node.mName);
              }
              Sleep(500);
              cluster.Start(node, false);
            }
          }
          Sleep(20);
        }
      });
      if (trouble) {
        const std::string body = "{\"Service\":\"other\",\"Address\":\"" + cluster.Ip(203) +
                                 ":8080\",\"Zone\":\"attiki-a\",\"Version\":\"v1\","
                                 "\"MaxConcurrency\":3,\"State\":\"ready\","
                                 "\"WarmupLeftMs\":0,\"Sequence\":1,\"born\":1700000000000}";
        for (int n = 0; n < cluster.Controls(); ++n) {
          Message answer;
          const Node& node = cluster.Control(n);
          gRecord.Line("other writer: PUT /instances/i-%%FF%%FE to %s", node.mName.c_str());
          const int status =
            Call(node.mIp, Cluster::kAdmin, "PUT /instances/i-%FF%FE", body, answer);
          gRecord.Line(
            "other writer: answer of %s: %d %s", node.mName.c_str(), status, answer.mBody.c_str());
          if (status >= 200 && status < 500 && status != 408 && status != 429) {
            break; // acknowledged or refused
          }
        }
      }
      Sleep(5000);
      int whole = 0;
      const Time until = Now() + Ms(kReadForMs);
      for (int n = 0; Now() < until && whole == 0; ++n) {
        Message answer;
        const Node& node = cluster.Control(n % cluster.Controls());
        const int status = Call(node.mIp, Cluster::kAdmin, "GET /config", "", answer);
        gRecord.Line("operator: GET /config from %s: %d %s",
                     node.mName.c_str(),
                     status,
                     answer.mBody.substr(0, 60).c_str());
        whole +=
          status == 200 && answer.mBody.find("\"Version\":\"r2\"") != std::string::npos ? 1 : 0;
        Sleep(300);
      }
      watching = false;
      platform.join();
      gRecord.Line("the acknowledged configuration %s; %d ends of control processes by themselves, "
                   "on %zu of %d machines",
                   whole > 0 ? "was read back" : "never came",
                   ends,
                   ended.size(),
                   cluster.Controls());
      code = whole > 0 ? 0 : 1;
    } else {
      gRecord.Line("could not run: configuration %d, entry ready %d", acked, ready ? 1 : 0);
    }
    first.StopBeats();
    second.StopBeats();
    Sleep(2500);
  }
  std::fflush(nullptr);
  _exit(code);
}
