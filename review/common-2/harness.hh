// Stand-ins for the platform, upstreams, operators and clients, and the start of the project's programs as the deploy
// file says. Used by the scripts of review/6 to review/10; built by review/build-2.sh.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

constexpr int kHeld = 0;      ///< exit code: the rule held
constexpr int kBroken = 1;    ///< exit code: the rule was broken
constexpr int kCannotRun = 2; ///< exit code: the case could not be set up

/// Thrown where the case could not be set up.
struct CannotRun
{
  std::string mReason;
};

/// False with TROUBLE=0 in the environment.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// record.txt of a case: one line for each event, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(Clock::now())
  {
    if (mFile == nullptr) {
      throw CannotRun{ "cannot write " + aPath };
    }
  }
  ~Record() { std::fclose(mFile); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Seconds(Time aTime) const { return std::chrono::duration<double>(aTime - mStart).count(); }

  __attribute__((format(printf, 2, 3))) void Line(const char* aFormat, ...)
  {
    const std::lock_guard lock(mMutex);
    std::fprintf(mFile, "%9.3f ", Seconds(Clock::now()));
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::FILE* mFile;
  Time mStart;
  std::mutex mMutex;
};

struct Address
{
  std::string mHost;
  int mPort = 0;

  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mHost.c_str(), &out.sin_addr);
  return out;
}

inline int
RemainingMs(Time aUntil)
{
  return static_cast<int>(
    std::max<std::int64_t>(0, std::chrono::ceil<Ms>(aUntil - Clock::now()).count()));
}

/// Head and body of a request or an answer.
struct Message
{
  std::string mFirstLine;
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
  int Status() const { return mFirstLine.size() > 12 ? std::atoi(mFirstLine.c_str() + 9) : 0; }
  std::string Method() const { return mFirstLine.substr(0, mFirstLine.find(' ')); }
  std::string Target() const
  {
    const auto from = mFirstLine.find(' ') + 1;
    return mFirstLine.substr(from, mFirstLine.find(' ', from) - from);
  }
};

/// A TCP connection that carries HTTP messages with a length.
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aFile)
    : mFile(aFile)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open(const Address& aTo, Time aUntil)
  {
    Close();
    mFile = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = ToSockaddr(aTo);
    if (connect(mFile, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
      Close();
      return false;
    }
    pollfd wait{ mFile, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&wait, 1, RemainingMs(aUntil)) != 1 ||
        getsockopt(mFile, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      Close();
      return false;
    }
    const int one = 1;
    setsockopt(mFile, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return true;
  }

  bool Send(const std::string& aBytes, Time aUntil)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t n = send(mFile, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (n > 0) {
        done += static_cast<std::size_t>(n);
        continue;
      }
      pollfd wait{ mFile, POLLOUT, 0 };
      if ((n < 0 && errno != EAGAIN && errno != EINTR) || poll(&wait, 1, RemainingMs(aUntil)) != 1) {
        return false;
      }
    }
    return true;
  }

  /// @return the next message; nothing when the connection ended or the time was over
  std::optional<Message> Read(Time aUntil)
  {
    mTimedOut = false;
    while (true) {
      if (auto message = Parse()) {
        return message;
      }
      pollfd wait{ mFile, POLLIN, 0 };
      if (poll(&wait, 1, RemainingMs(aUntil)) != 1) {
        mTimedOut = true;
        return std::nullopt;
      }
      char buffer[65536];
      const ssize_t n = recv(mFile, buffer, sizeof(buffer), 0);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        return std::nullopt;
      }
      mBytes.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, n)));
    }
  }

  bool TimedOut() const { return mTimedOut; }
  bool IsOpen() const { return mFile >= 0; }
  int File() const { return mFile; }

  void Close()
  {
    if (mFile >= 0) {
      close(mFile);
      mFile = -1;
    }
    mBytes.clear();
  }

private:
  std::optional<Message> Parse()
  {
    const auto end = mBytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    Message message;
    std::istringstream in(mBytes.substr(0, end + 2));
    for (std::string line; std::getline(in, line);) {
      line.pop_back();
      if (message.mFirstLine.empty()) {
        message.mFirstLine = line;
        continue;
      }
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    const std::string length = message.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (mBytes.size() < end + 4 + size) {
      return std::nullopt;
    }
    message.mBody = mBytes.substr(end + 4, size);
    mBytes.erase(0, end + 4 + size);
    return message;
  }

  int mFile = -1;
  std::string mBytes;
  bool mTimedOut = false;
};

inline std::string
RequestBytes(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aHost,
             const std::vector<std::pair<std::string, std::string>>& aHeaders,
             const std::string& aBody)
{
  std::string out = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    out += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "PUT" || aMethod == "POST" || aMethod == "PATCH") {
    out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return out + "\r\n" + aBody;
}

/// One call on a connection of its own, as the operator and upstreams make them.
/// @return status, or 0 without an answer in time
inline int
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody = "",
     Ms aTimeout = Ms(1000),
     Message* aAnswer = nullptr)
{
  const Time until = Clock::now() + aTimeout;
  Connection connection;
  if (!connection.Open(aTo, until) ||
      !connection.Send(RequestBytes(aMethod,
                                    aTarget,
                                    aTo.Text(),
                                    { { "Content-Type", "application/json" } },
                                    aBody),
                       until)) {
    return 0;
  }
  const auto answer = connection.Read(until);
  if (answer && aAnswer != nullptr) {
    *aAnswer = *answer;
  }
  return answer ? answer->Status() : 0;
}

inline std::string
ReadText(const std::string& aPath)
{
  std::ifstream in(aPath);
  if (!in) {
    throw CannotRun{ "cannot read " + aPath };
  }
  return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

inline void
ReplaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (auto at = aText.find(aFrom); at != std::string::npos; at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

/// A zone and its region.
struct Zone
{
  std::string mName;
  std::string mRegion;
};

/// Control processes and entries on loopback addresses of their own.
class Deployment
{
public:
  static constexpr int kAdminPort = 8544;
  static constexpr int kDirectoryPort = 8545;
  static constexpr int kFrontendPort = 8548;
  static constexpr int kReadinessPort = 8542;
  static constexpr int kMessagePort = 7540;

  Deployment(Record& aRecord, std::vector<Zone> aZones, int aControls)
    : mRecord(aRecord)
    , mZones(std::move(aZones))
    , mControls(aControls)
  {
    const char* root = std::getenv("REVIEW_ROOT");
    mRoot = root == nullptr ? "." : root;
    mDeploy = ReadText(mRoot + "/deploy/system.toml");
    std::string folder = (std::filesystem::temp_directory_path() / "fighold-review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
      throw CannotRun{ "no temporary folder" };
    }
    mFolder = folder;
    ChooseSubnet();
  }

  ~Deployment()
  {
    for (auto& [name, pid] : mProcesses) {
      if (pid > 0) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
      }
    }
    if (std::getenv("REVIEW_KEEP") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(mFolder, ec);
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  std::string Ip(int aHost) const { return mSubnet + std::to_string(aHost); }
  Address ControlAdmin(int aNumber) const { return { Ip(10 + aNumber), kAdminPort }; }
  Address ControlMessages(int aNumber) const { return { Ip(10 + aNumber), kMessagePort }; }
  Address Frontend(int aNumber) const { return { Ip(100 + aNumber), kFrontendPort }; }
  Address Readiness(int aNumber) const { return { Ip(100 + aNumber), kReadinessPort }; }
  std::string DataFolder(int aNumber) const
  {
    return mFolder + "/control-" + std::to_string(aNumber) + "-disk/state";
  }
  int Controls() const { return mControls; }

  void StartControl(int aNumber, bool aBootstrap)
  {
    const std::string name = "control-" + std::to_string(aNumber);
    const std::string disk = mFolder + "/" + name + "-disk";
    std::filesystem::create_directories(disk);
    Start(name,
          "control",
          Render("deploy/control.flags",
                 { { "NodeName", name },
                   { "Ip", Ip(10 + aNumber) },
                   { "Listen.Admin", ControlAdmin(aNumber).Text() },
                   { "Listen.Directory", Ip(10 + aNumber) + ":" + std::to_string(kDirectoryPort) },
                   { "DataDir", disk },
                   { "Bootstrap", aBootstrap ? "true" : "false" } }));
  }

  void StartEntry(int aNumber, const Zone& aZone)
  {
    const std::string name = "entry-" + std::to_string(aNumber);
    Start(name,
          "entry",
          Render("deploy/entry.flags",
                 { { "NodeName", name },
                   { "Ip", Ip(100 + aNumber) },
                   { "Zone", aZone.mName },
                   { "Region", aZone.mRegion },
                   { "Listen.Frontend", Frontend(aNumber).Text() },
                   { "Listen.Readiness", Readiness(aNumber).Text() } }));
  }

  void Signal(const std::string& aName, int aSignal)
  {
    mRecord.Line("signal %d to %s", aSignal, aName.c_str());
    if (mProcesses.at(aName) > 0) {
      kill(mProcesses.at(aName), aSignal);
    }
  }

  pid_t Pid(const std::string& aName) const { return mProcesses.at(aName); }

  /// @return megabytes of its own that a process holds, without those of its program and libraries
  long MemoryMb(const std::string& aName) const
  {
    std::ifstream in("/proc/" + std::to_string(Pid(aName)) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("RssAnon:", 0) == 0) {
        return std::atol(line.c_str() + 8) / 1024;
      }
    }
    return 0;
  }

  /// Kills a process and waits for its end.
  void Kill(const std::string& aName)
  {
    Signal(aName, SIGKILL);
    if (mProcesses.at(aName) > 0) {
      waitpid(mProcesses.at(aName), nullptr, 0);
      mProcesses.at(aName) = 0;
    }
  }

  /// @return how a process ended by itself; nothing while it runs
  std::optional<std::string> Ended(const std::string& aName)
  {
    pid_t& pid = mProcesses.at(aName);
    int status = 0;
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      mEnds[aName] = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                         : "exit code " + std::to_string(WEXITSTATUS(status));
    }
    return pid > 0 ? std::nullopt : std::optional(mEnds[aName]);
  }

  /// @return last lines that a process wrote
  std::string Tail(const std::string& aName, const std::string& aWord) const
  {
    std::ifstream in(mFolder + "/" + aName + ".log");
    std::string found;
    for (std::string line; std::getline(in, line);) {
      found = line.find(aWord) != std::string::npos ? line : found;
    }
    return found;
  }

  static bool Eventually(const std::function<bool()>& aCondition, Ms aLimit = Ms(30'000))
  {
    const Time until = Clock::now() + aLimit;
    while (Clock::now() < until) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(Ms(50));
    }
    return false;
  }

  static void Require(const std::string& aWhat, const std::function<bool()>& aCondition)
  {
    if (!Eventually(aCondition)) {
      throw CannotRun{ aWhat };
    }
  }

  /// @return number of the control process that answers a read of the configuration; 0 if none does
  int Leader() const
  {
    for (int n = 1; n <= mControls; ++n) {
      if (Call(ControlAdmin(n), "GET", "/config") == 200) {
        return n;
      }
    }
    return 0;
  }

private:
  /// Addresses of this run that no other process listens at.
  void ChooseSubnet()
  {
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 50; ++tries) {
      mSubnet = "127." + std::to_string(2 + random() % 250) + "." + std::to_string(random() % 250) + ".";
      bool free = true;
      for (const auto& [host, port] : std::vector<std::pair<int, int>>{
             { 11, kAdminPort }, { 11, kMessagePort }, { 101, kFrontendPort } }) {
        const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = ToSockaddr({ Ip(host), port });
        free = bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && free;
        close(file);
      }
      if (free) {
        return;
      }
    }
    throw CannotRun{ "no free addresses" };
  }

  std::string RunOf(const std::string& aRole) const
  {
    const auto role = mDeploy.find("[roles." + aRole + "]");
    const auto run = mDeploy.find("run = \"", role);
    if (role == std::string::npos || run == std::string::npos) {
      throw CannotRun{ "the deploy file has no role " + aRole };
    }
    const auto from = run + 7;
    return mDeploy.substr(from, mDeploy.find('"', from) - from);
  }

  std::string Render(const std::string& aTemplate, std::map<std::string, std::string> aValues) const
  {
    std::string zones;
    for (const Zone& it : mZones) {
      zones += (zones.empty() ? "" : ",") + it.mName + "=" + it.mRegion;
    }
    std::string seeds;
    for (int n = 1; n <= std::min(3, mControls); ++n) {
      seeds += (seeds.empty() ? "" : ",") + ControlAdmin(n).Text();
    }
    aValues.insert({ { "SeedNodes", seeds },
                     { "InternalPorts.0", std::to_string(kMessagePort) },
                     { "HeartbeatMs", "1500" },
                     { "Bounds.RetryBudgetRatio", "0.2" },
                     { "Bounds.RetryBudgetSlack", "56" },
                     { "Bounds.WarmupFactor", "1.5" },
                     { "Bounds.WarmupSlack", "5" } });
    std::string text = ReadText(mRoot + "/" + aTemplate);
    ReplaceAll(text, "{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}", zones);
    for (const auto& [name, value] : aValues) {
      ReplaceAll(text, "{{#" + name + "}}", "");
      ReplaceAll(text, "{{/" + name + "}}", "");
      ReplaceAll(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
      throw CannotRun{ "unknown field in " + aTemplate + ": " + text.substr(text.find("{{"), 40) };
    }
    return text;
  }

  void Start(const std::string& aName, const std::string& aRole, const std::string& aSettings)
  {
    const std::string settings = mFolder + "/" + aName + ".flags";
    std::ofstream(settings) << aSettings;
    std::string run = RunOf(aRole);
    ReplaceAll(run, "/etc/fighold/boot.toml", settings);
    std::vector<std::string> words;
    std::istringstream in(run);
    for (std::string word; in >> word;) {
      words.push_back(word);
    }
    const std::string log = mFolder + "/" + aName + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing outlives the case
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(file, 1);
      dup2(file, 2);
      if (chdir(mRoot.c_str()) == 0) {
        std::vector<char*> arguments;
        for (std::string& it : words) {
          arguments.push_back(it.data());
        }
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
      }
      _exit(127);
    }
    mProcesses[aName] = pid;
    mRecord.Line("started %s: %s", aName.c_str(), run.c_str());
  }

  Record& mRecord;
  std::vector<Zone> mZones;
  int mControls;
  std::string mRoot;
  std::string mDeploy;
  std::string mFolder;
  std::string mSubnet;
  std::map<std::string, pid_t> mProcesses;
  std::map<std::string, std::string> mEnds;
};

/// A request that an upstream began to work on.
struct Run
{
  std::string mId;
  std::string mUpstream;
  std::string mZone;
  Time mAt;
};

/// An upstream: serves requests and its health path, and registers with heartbeats.
class Upstream
{
public:
  Upstream(Record& aRecord,
           const Deployment& aDeployment,
           std::string aId,
           std::string aService,
           std::string aZone,
           Address aAddress,
           Ms aWork,
           bool aBeats = true)
    : mRecord(aRecord)
    , mDeployment(aDeployment)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mAddress(std::move(aAddress))
    , mWork(aWork)
    , mBorn(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = ToSockaddr(mAddress);
    if (bind(mListener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(mListener, 128) != 0) {
      throw CannotRun{ "cannot listen at " + mAddress.Text() };
    }
    mThreads.emplace_back([this] { Accept(); });
    if (aBeats) {
      mThreads.emplace_back([this] { Beat(); });
    }
  }

  ~Upstream()
  {
    mStop = true;
    shutdown(mListener, SHUT_RDWR);
    for (auto& it : mThreads) {
      it.join();
    }
    for (auto& it : mServing) {
      it.join();
    }
    close(mListener);
  }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// Sets a function that may answer a request in a way of its own. It returns true if it did; the connection ends then.
  /// Call it before the upstream gets requests.
  void SetFault(std::function<bool(Connection&, const Message&)> aFault) { mFault = std::move(aFault); }

  bool Registered() const { return mRegistered; }
  const std::string& ZoneName() const { return mZone; }

  /// @return body of a heartbeat
  std::string Heartbeat(std::int64_t aSequence) const
  {
    return R"({"Service":")" + mService + R"(","Address":")" + mAddress.Text() + R"(","Zone":")" + mZone +
           R"(","Version":"v1","MaxConcurrency":64,"State":"ready","WarmupLeftMs":0,"Sequence":)" +
           std::to_string(aSequence) + R"(,"born":)" + std::to_string(mBorn) + "}";
  }

  std::vector<Run> Runs() const
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }

private:
  void Accept()
  {
    while (!mStop) {
      const int file = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (file >= 0) {
        const int one = 1;
        setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        mServing.emplace_back([this, file] { Serve(file); });
      }
    }
  }

  void Serve(int aFile)
  {
    Connection connection(aFile);
    while (!mStop) {
      const auto request = connection.Read(Clock::now() + Ms(200));
      if (!request) {
        if (connection.TimedOut()) {
          continue;
        }
        return;
      }
      if (mFault && mFault(connection, *request)) {
        return;
      }
      if (!connection.Send(Answer(*request), Clock::now() + Ms(5000))) {
        return;
      }
    }
  }

  std::string Answer(const Message& aRequest)
  {
    if (aRequest.Target() == "/health") {
      return "HTTP/1.1 200 OK\r\nX-Fighold-Instance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string id = aRequest.Header("X-Fighold-Request-Id");
    const std::string expected = aRequest.Header("X-Fighold-Expect-Instance");
    const std::string idLine = "X-Fighold-Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != mId) {
      return "HTTP/1.1 421 Misdirected Request\r\n" + idLine +
             "X-Fighold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    {
      const std::lock_guard lock(mMutex);
      mRuns.push_back({ id, mId, mZone, Clock::now() });
    }
    mRecord.Line("run %s at %s in %s", id.c_str(), mId.c_str(), mZone.c_str());
    if (aRequest.Target().rfind("/look/quick", 0) != 0) {
      std::this_thread::sleep_for(mWork);
    }
    const std::string body = "done " + id;
    return "HTTP/1.1 200 OK\r\n" + idLine + "X-Fighold-Server-Signature: " + mId +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Beat()
  {
    std::mt19937 random(std::random_device{}());
    int number = 1 + static_cast<int>(random() % static_cast<unsigned>(mDeployment.Controls()));
    Time next = Clock::now();
    std::int64_t sequence = 0;
    while (!mStop) {
      if (Clock::now() < next) {
        std::this_thread::sleep_for(Ms(20));
        continue;
      }
      const int status =
        Call(mDeployment.ControlAdmin(number), "PUT", "/instances/" + mId, Heartbeat(++sequence));
      if (status == 200) {
        mRegistered = true;
        next = Clock::now() + Ms(1500);
      } else {
        number = number % mDeployment.Controls() + 1;
        next = Clock::now() + Ms(100);
      }
    }
  }

  Record& mRecord;
  const Deployment& mDeployment;
  std::string mId;
  std::string mService;
  std::string mZone;
  Address mAddress;
  Ms mWork;
  std::int64_t mBorn;
  std::function<bool(Connection&, const Message&)> mFault;
  int mListener = -1;
  std::atomic<bool> mStop{ false };
  std::atomic<bool> mRegistered{ false };
  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
  std::vector<std::thread> mThreads;
  std::vector<std::thread> mServing;
};

/// A configuration with one service, and one route of each kind.
inline std::string
Config(int aVersion, int aBase, std::int64_t aMaxHeaderBytes = 16384)
{
  const auto route = [](const std::string& aName, const std::string& aPath, const std::string& aKind) {
    return R"({"Name":")" + aName + R"(","PathPrefix":")" + aPath + R"(","RouteType":")" + aKind +
           R"(","TimeoutMs":6000,"TargetLatencyMs":800,"Priority":1,"Service":"svc1",)"
           R"("Attempts":2,"SessionAffinity":false,"AllowedRegions":[]})";
  };
  return R"({"Version":"r)" + std::to_string(aVersion) + R"(","BaseVersion":"r)" + std::to_string(aBase) +
         R"(","Services":[{"Name":"svc1","HealthPath":"/health","MaxConnections":330,"Protocol":"h1",)"
         R"("Tls":false,"WarmupS":0.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":)" +
         std::to_string(aMaxHeaderBytes) +
         R"(,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
         R"("VirtualHosts":[{"Host":"app.example","HostRoutes":[)" +
         route("look", "/look/", "safe") + "," + route("book", "/book/", "unsafe") + "]}]}";
}

/// Runs a case.
/// @return its exit code
inline int
Main(int aArgc, char** aArgv, const std::function<int(Record&)>& aCase)
{
  const std::string path = aArgc > 1 ? aArgv[1] : "record.txt";
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record record(path);
    int code = kCannotRun;
    try {
      code = aCase(record);
    } catch (const CannotRun& reason) {
      record.Line("could not run: %s", reason.mReason.c_str());
      std::fprintf(stderr, "could not run: %s\n", reason.mReason.c_str());
    }
    record.Line("exit code %d", code);
    return code;
  } catch (const CannotRun& reason) {
    std::fprintf(stderr, "could not run: %s\n", reason.mReason.c_str());
    return kCannotRun;
  }
}

} // namespace review
