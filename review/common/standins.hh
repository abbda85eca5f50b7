// Stand-ins for clients, upstreams, the operator and the platform, and a small cluster of the
// project's own processes on loopback addresses. Shared by the scripts of this review.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline Time
Now()
{
  return Clock::now();
}

inline void
Sleep(int aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

inline long
MsBetween(Time aFrom, Time aTo)
{
  return std::chrono::duration_cast<Ms>(aTo - aFrom).count();
}

/// record.txt: what was sent, answered and run.
class Record
{
public:
  void Open(const std::string& aPath)
  {
    mFile = std::fopen(aPath.c_str(), "w");
    mStart = Now();
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard<std::mutex> lock(mMutex);
    std::FILE* file = mFile ? mFile : stdout;
    std::fprintf(file, "%8.3f ", static_cast<double>(MsBetween(mStart, Now())) / 1000);
    va_list args;
    va_start(args, aFormat);
    std::vfprintf(file, aFormat, args);
    va_end(args);
    std::fputc('\n', file);
    std::fflush(file);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
  Time mStart = Now();
};

inline Record gRecord;

// ---- Sockets and HTTP/1.1 -------------------------------------------------------------------

inline sockaddr_in
Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/// @return listening socket, or -1
inline int
Listen(const std::string& aIp, int aPort, int aReceiveBuffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  const sockaddr_in address = Address(aIp, aPort);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// @return connected blocking socket, or -1
inline int
Connect(const std::string& aIp, int aPort, int aTimeoutMs, int aReceiveBuffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  const sockaddr_in address = Address(aIp, aPort);
  int failed = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (failed != 0 && errno == EINPROGRESS) {
    pollfd item{ fd, POLLOUT, 0 };
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (poll(&item, 1, aTimeoutMs) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    failed = error;
  }
  if (failed != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t n = send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0 && errno != EINTR) {
      return false;
    }
    done += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  return true;
}

/// Appends what arrives until a time.
/// @return bytes read; 0: end of the stream; -1: error; -2: time over
inline int
ReadSome(int aFd, std::string& aBuffer, Time aUntil)
{
  const long left = MsBetween(Now(), aUntil);
  pollfd item{ aFd, POLLIN, 0 };
  const int ready = poll(&item, 1, static_cast<int>(std::max(0L, left)));
  if (ready == 0) {
    return -2;
  }
  char bytes[16384];
  const ssize_t n = recv(aFd, bytes, sizeof(bytes), 0);
  if (n > 0) {
    aBuffer.append(bytes, static_cast<std::size_t>(n));
  }
  return static_cast<int>(n);
}

struct Message
{
  std::string mStart; ///< request or status line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  int Status() const { return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0; }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const auto from = mStart.find(' ') + 1;
    return mStart.substr(from, mStart.find(' ', from) - from);
  }
};

enum class ReadResult
{
  Whole,
  End,  ///< the connection ended before the first byte of a message
  Cut,  ///< the connection ended or broke within a message
  Late, ///< time over
};

/// Reads one message with a Content-Length (all that the project's processes write have one).
inline ReadResult
ReadMessage(int aFd, std::string& aBuffer, Message& aOut, Time aUntil, bool aBodiless = false)
{
  while (true) {
    const auto end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      aOut = {};
      std::istringstream in(aBuffer.substr(0, end));
      std::getline(in, aOut.mStart);
      if (!aOut.mStart.empty() && aOut.mStart.back() == '\r') {
        aOut.mStart.pop_back();
      }
      for (std::string line; std::getline(in, line);) {
        if (!line.empty() && line.back() == '\r') {
          line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
          const auto value = line.find_first_not_of(' ', colon + 1);
          aOut.mHeaders.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
        }
      }
      const std::size_t length =
        aBodiless ? 0 : static_cast<std::size_t>(std::atol(aOut.Header("Content-Length").c_str()));
      if (aBuffer.size() >= end + 4 + length) {
        aOut.mBody = aBuffer.substr(end + 4, length);
        aBuffer.erase(0, end + 4 + length);
        return ReadResult::Whole;
      }
    }
    const int n = ReadSome(aFd, aBuffer, aUntil);
    if (n == -2) {
      return ReadResult::Late;
    }
    if (n <= 0) {
      return aBuffer.empty() && n == 0 ? ReadResult::End : ReadResult::Cut;
    }
  }
}

inline std::string
Format(const std::string& aStart,
       const std::vector<std::pair<std::string, std::string>>& aHeaders,
       const std::string& aBody)
{
  std::string out = aStart + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    out += name + ": " + value + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// One call on a connection of its own. @return status, 0 without an answer
inline int
Call(const std::string& aIp,
     int aPort,
     const std::string& aMethodAndTarget,
     const std::string& aBody,
     Message& aAnswer,
     int aTimeoutMs = 1000)
{
  const Time until = Now() + Ms(aTimeoutMs);
  const int fd = Connect(aIp, aPort, aTimeoutMs);
  if (fd < 0) {
    return 0;
  }
  SendAll(fd,
          Format(aMethodAndTarget + " HTTP/1.1",
                 { { "Host", aIp + ":" + std::to_string(aPort) },
                   { "Content-Type", "application/json" } },
                 aBody));
  std::string buffer;
  const auto result = ReadMessage(fd, buffer, aAnswer, until);
  close(fd);
  return result == ReadResult::Whole ? aAnswer.Status() : 0;
}

// ---- Processes ------------------------------------------------------------------------------

inline std::string
ReadText(const std::string& aPath)
{
  std::ifstream in(aPath);
  return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

inline void
Replace(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (std::size_t n; (n = aText.find(aFrom)) != std::string::npos;) {
    aText.replace(n, aFrom.size(), aTo);
  }
}

struct Node
{
  std::string mName;
  std::string mRole; ///< entry or control
  std::string mIp;
  std::string mZone;
  pid_t mPid = -1;
};

/// Processes of the project, started with the commands and templates of the deploy file.
class Cluster
{
public:
  static constexpr int kAdmin = 8544;
  static constexpr int kDirectory = 8546;
  static constexpr int kFrontend = 8548;
  static constexpr int kReadiness = 8542;
  static constexpr int kInternal = 7540;

  Cluster(int aControls, int aEntries)
  {
    const int pid = getpid();
    mSubnet = "127." + std::to_string((pid >> 7) % 250 + 2) + "." +
              std::to_string((pid % 128) * 2 + 1) + ".";
    char folder[] = "/tmp/fighold-review-XXXXXX";
    mFolder = mkdtemp(folder);
    static const char* const kZones[] = { "attiki-a", "makedonia-a", "kriti-a",
                                          "attiki-b", "makedonia-b", "kriti-b" };
    for (int n = 0; n < aControls; ++n) {
      mNodes.push_back({ "core-" + std::to_string(n + 1), "control", Ip(n + 1), kZones[n], -1 });
    }
    for (int n = 0; n < aEntries; ++n) {
      mNodes.push_back({ "edge-" + std::to_string(n + 1), "entry", Ip(101 + n), kZones[n], -1 });
    }
    mControls = aControls;
    for (Node& it : mNodes) {
      Start(it, true);
    }
  }

  ~Cluster()
  {
    for (Node& it : mNodes) {
      Kill(it);
    }
    const std::string command = "rm -rf '" + mFolder + "'";
    [[maybe_unused]] const int rc = std::system(command.c_str());
  }

  std::string Ip(int aLast) const { return mSubnet + std::to_string(aLast); }
  Node& Control(int aIndex) { return mNodes[static_cast<std::size_t>(aIndex)]; }
  Node& Entry(int aIndex) { return mNodes[static_cast<std::size_t>(mControls + aIndex)]; }
  int Controls() const { return mControls; }
  int Entries() const { return static_cast<int>(mNodes.size()) - mControls; }
  const std::string& Folder() const { return mFolder; }

  void Start(Node& aNode, bool aBootstrap)
  {
    std::string text = ReadText("deploy/" + aNode.mRole + ".flags");
    Replace(text,
            "{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}",
            "attiki-a=attiki,makedonia-a=makedonia,kriti-a=kriti,attiki-b=attiki,"
            "makedonia-b=makedonia,kriti-b=kriti");
    const std::vector<std::pair<std::string, std::string>> values{
      { "NodeName", aNode.mName },
      { "Ip", aNode.mIp },
      { "Zone", aNode.mZone },
      { "Region", aNode.mZone.substr(0, aNode.mZone.find('-')) },
      { "Listen.Admin", aNode.mIp + ":" + std::to_string(kAdmin) },
      { "Listen.Directory", aNode.mIp + ":" + std::to_string(kDirectory) },
      { "Listen.Frontend", aNode.mIp + ":" + std::to_string(kFrontend) },
      { "Listen.Readiness", aNode.mIp + ":" + std::to_string(kReadiness) },
      { "InternalPorts.0", std::to_string(kInternal) },
      { "SeedNodes", Seeds() },
      { "DataDir", mFolder + "/" + aNode.mName },
      { "Bootstrap", aBootstrap ? "true" : "false" },
      { "HeartbeatMs", "1500" },
      { "Bounds.RetryBudgetRatio", "0.2" },
      { "Bounds.RetryBudgetSlack", "56" },
      { "Bounds.WarmupFactor", "1.5" },
      { "Bounds.WarmupSlack", "5" },
    };
    for (const auto& [name, value] : values) {
      Replace(text, "{{#" + name + "}}", "");
      Replace(text, "{{/" + name + "}}", "");
      Replace(text, "{{" + name + "}}", value);
    }
    mkdir((mFolder + "/" + aNode.mName).c_str(), 0700);
    const std::string flags = mFolder + "/" + aNode.mName + ".flags";
    std::ofstream(flags) << text;
    const std::string log = mFolder + "/" + aNode.mName + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      const std::string role = "--role=" + aNode.mRole;
      const std::string file = "--flagfile=" + flags;
      execl("target/packages/figholdd/figholdd",
            "target/packages/figholdd/figholdd",
            role.c_str(),
            "--charts=charts",
            file.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    aNode.mPid = pid;
    gRecord.Line("platform: starts %s (%s) at %s",
                 aNode.mName.c_str(),
                 aNode.mRole.c_str(),
                 aNode.mIp.c_str());
  }

  static void Signal(const Node& aNode, int aSignal)
  {
    gRecord.Line(
      "platform: signal %d (%s) to %s", aSignal, strsignal(aSignal), aNode.mName.c_str());
    if (aNode.mPid > 0) {
      kill(aNode.mPid, aSignal);
    }
  }

  static void Kill(Node& aNode)
  {
    if (aNode.mPid > 0) {
      kill(aNode.mPid, SIGKILL);
      waitpid(aNode.mPid, nullptr, 0);
      aNode.mPid = -1;
    }
  }

  /// @return whether the process has ended; waits until a time
  static bool WaitEnd(Node& aNode, Time aUntil)
  {
    while (aNode.mPid > 0) {
      if (waitpid(aNode.mPid, nullptr, WNOHANG) == aNode.mPid) {
        aNode.mPid = -1;
        break;
      }
      if (Now() >= aUntil) {
        return false;
      }
      Sleep(10);
    }
    return true;
  }

  /// @return whether the readiness address of an entry answers 200
  static bool IsReady(const Node& aNode)
  {
    Message answer;
    return Call(aNode.mIp, kReadiness, "GET /ready", "", answer) == 200;
  }

private:
  std::string Seeds() const
  {
    std::string seeds;
    for (int n = 0; n < std::min(3, mControls); ++n) {
      seeds += (n > 0 ? "," : "") + Ip(n + 1) + ":" + std::to_string(kAdmin);
    }
    return seeds;
  }

  std::string mSubnet;
  std::string mFolder;
  std::vector<Node> mNodes;
  int mControls = 0;
};

/// The operator: sends an order to the control processes in turn until it gets a clear response.
/// @return the response's status, 0 without one
inline int
Order(Cluster& aCluster,
      const std::string& aMethodAndTarget,
      const std::string& aBody,
      int aFirst = 0,
      int aForMs = 15000)
{
  const Time until = Now() + Ms(aForMs);
  for (int n = aFirst; Now() < until; ++n) {
    Node& node = aCluster.Control(n % aCluster.Controls());
    Message answer;
    gRecord.Line("operator: %s to %s", aMethodAndTarget.c_str(), node.mName.c_str());
    const int status = Call(node.mIp, Cluster::kAdmin, aMethodAndTarget, aBody, answer);
    gRecord.Line("operator: %s from %s: %d %s",
                 aMethodAndTarget.c_str(),
                 node.mName.c_str(),
                 status,
                 answer.mBody.substr(0, 100).c_str());
    if (status != 0 && status < 500 && status != 408 && status != 429) {
      return status;
    }
    Sleep(100);
  }
  return 0;
}

// ---- Upstreams ------------------------------------------------------------------------------

/// An upstream: registers, answers health checks and requests.
class Upstream
{
public:
  struct Run
  {
    std::string mId;
    Time mArrived;
    bool mRan = false;
  };

  Upstream(Cluster& aCluster,
           std::string aId,
           std::string aService,
           std::string aZone,
           std::string aIp,
           int aPort,
           int aWorkMs)
    : mCluster(aCluster)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mIp(std::move(aIp))
    , mPort(aPort)
    , mWorkMs(aWorkMs)
    , mBorn(
        std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
  {
    mListener = Listen(mIp, mPort);
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }

  /// Says in its heartbeats that it leaves.
  void Drain() { mDraining = true; }
  void StopBeats() { mBeating = false; }

  std::vector<Run> Runs()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }
  const std::string& Id() const { return mId; }
  const std::string& Ip() const { return mIp; }
  Time DrainAcked() const { return mDrainAcked.load(); }

  std::size_t mBodySize = 1000;
  int mSlots = 32;
  std::atomic<bool> mSaysLeaving{ false }; ///< header Server-Leaving in all answers

private:
  void Beat()
  {
    int sequence = 0;
    for (int n = 0; mBeating; ++n) {
      const bool draining = mDraining;
      const std::string body =
        "{\"Service\":\"" + mService + "\",\"Address\":\"" + mIp + ":" + std::to_string(mPort) +
        "\",\"Zone\":\"" + mZone +
        "\",\"Version\":\"v1\",\"MaxConcurrency\":" + std::to_string(mSlots) + ",\"State\":\"" +
        (draining ? "draining" : "ready") +
        "\",\"WarmupLeftMs\":0,\"Sequence\":" + std::to_string(++sequence) +
        ",\"born\":" + std::to_string(mBorn) + "}";
      bool acked = false;
      for (int it = 0; it < mCluster.Controls() && mBeating && !acked; ++it) {
        const Node& node = mCluster.Control((n + it) % mCluster.Controls());
        Message answer;
        acked = Call(node.mIp, Cluster::kAdmin, "PUT /instances/" + mId, body, answer) == 200;
      }
      if (draining) {
        gRecord.Line("upstream %s: heartbeat draining %s",
                     mId.c_str(),
                     acked ? "acknowledged" : "not acknowledged");
        if (acked && mDrainAcked.load() == Time{}) {
          mDrainAcked = Now();
        }
      }
      for (int it = 0; it < 15 && (draining || !mDraining); ++it) {
        Sleep(100);
      }
    }
  }

  void Accept()
  {
    while (true) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int aFd)
  {
    const int one = 1;
    setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buffer;
    Message request;
    while (ReadMessage(aFd, buffer, request, Now() + Ms(30000)) == ReadResult::Whole) {
      if (!SendAll(aFd, Answer(request))) {
        break;
      }
    }
    close(aFd);
  }

  std::string Answer(const Message& aRequest)
  {
    const std::string load =
      std::to_string(mRunning.load()) + ",0," + std::to_string(mSlots) + ",100";
    std::vector<std::pair<std::string, std::string>> headers{ { "X-Fighold-Server-Load", load } };
    if (mSaysLeaving) {
      headers.emplace_back("Server-Leaving", "1");
    }
    if (aRequest.Target() == "/health") {
      headers.emplace_back("X-Fighold-Instance-Id", mId);
      return Format("HTTP/1.1 200 OK", headers, "");
    }
    const std::string id = aRequest.Header("X-Fighold-Request-Id");
    headers.emplace_back("X-Fighold-Request-Id", id);
    const std::string expected = aRequest.Header("X-Fighold-Expect-Instance");
    if (!expected.empty() && expected != mId) {
      headers.emplace_back("X-Fighold-Not-Executed", "1");
      return Format("HTTP/1.1 421 Misdirected Request", headers, "");
    }
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mRuns.push_back({ id, Now(), true });
    }
    gRecord.Line("upstream %s: runs %s", mId.c_str(), id.c_str());
    ++mRunning;
    Sleep(mWorkMs);
    --mRunning;
    headers.emplace_back("X-Fighold-Server-Signature", mId + "." + id);
    return Format("HTTP/1.1 200 OK", headers, std::string(mBodySize, 'x'));
  }

  Cluster& mCluster;
  std::string mId, mService, mZone, mIp;
  int mPort;
  int mWorkMs;
  long long mBorn;
  int mListener = -1;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mBeating{ true };
  std::atomic<int> mRunning{ 0 };
  std::atomic<Time> mDrainAcked{ Time{} };
  std::mutex mMutex;
  std::vector<Run> mRuns;
};

inline std::string
RouteJson(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aType,
          const std::string& aService,
          int aTimeoutMs)
{
  return "{\"Name\":\"" + aName + "\",\"PathPrefix\":\"" + aPrefix + "\",\"RouteType\":\"" + aType +
         "\",\"TimeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"TargetLatencyMs\":600,\"Priority\":2,\"Service\":\"" + aService +
         "\",\"Attempts\":2,\"SessionAffinity\":false,\"AllowedRegions\":[]}";
}

inline std::string
ServiceJson(const std::string& aName)
{
  return "{\"Name\":\"" + aName +
         "\",\"HealthPath\":\"/health\",\"MaxConnections\":330,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"WarmupS\":3.0,\"WarmupPerS\":5.7}";
}

inline std::string
ConfigJson(const std::string& aVersion,
           const std::string& aBase,
           const std::string& aServices,
           const std::string& aRoutes)
{
  return "{\"Version\":\"" + aVersion + "\",\"Services\":[" + aServices +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"BaseVersion\":\"" +
         aBase + "\",\"VirtualHosts\":[{\"Host\":\"one.example\",\"HostRoutes\":[" + aRoutes +
         "]}]}";
}

/// Waits for a condition. @return whether it came true
inline bool
Eventually(const std::function<bool()>& aCondition, int aForMs)
{
  const Time until = Now() + Ms(aForMs);
  while (Now() < until) {
    if (aCondition()) {
      return true;
    }
    Sleep(50);
  }
  return aCondition();
}

} // namespace review
