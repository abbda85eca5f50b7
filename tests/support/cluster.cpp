#include "cluster.hpp"

#include "fighold/net/fiber_loop.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace fighold::testing {
namespace {

constexpr int kEntryHostBase = 100;

constexpr Millis kPollInterval{ 50 };

/// Loopback hosts "127.a.b.n": a and b follow from the process id and the number of the cluster
/// within the process.
std::string
NewSubnet()
{
  static std::atomic<int> count{ 0 };
  const int number = (getpid() * 16 + count++ % 16) & 0xffff;
  return "127." + std::to_string(2 + (number >> 8) % 250) + "." + std::to_string(number & 0xff) +
         ".";
}

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

pid_t
Spawn(const std::vector<std::string>& aArguments, const std::filesystem::path& aOutput)
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const std::string& it : aArguments) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + aArguments[0]);
  }
  return pid;
}

int
ExitCode(int aStatus)
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : 128 + WTERMSIG(aStatus);
}

} // namespace

Cluster::Cluster(int aControls, int aMaxProcesses)
  : mControls(aControls)
  , mMaxProcesses(aMaxProcesses)
  , mSubnet(NewSubnet())
{
  std::string name = (std::filesystem::temp_directory_path() / "fighold-test-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for the test");
  }
  mFolder = name;
  MakeKeys();
}

Cluster::~Cluster()
{
  for (const auto& [name, pid] : mProcesses) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  if (std::getenv("KEEP_RUN_DIR") == nullptr) {
    std::filesystem::remove_all(mFolder);
  }
}

void
Cluster::MakeKeys() const
{
  std::filesystem::create_directory(mFolder / "keys");
  for (int n = 1; n <= mMaxProcesses; ++n) {
    Ctl({}, { "keys", "new", KeyFile("c" + std::to_string(n)) });
    Ctl({}, { "keys", "new", KeyFile("e" + std::to_string(n)) });
  }
}

std::string
Cluster::KeyFile(const std::string& aName) const
{
  return (mFolder / "keys" / aName).string();
}

std::string
Cluster::Address(int aHost) const
{
  return mSubnet + std::to_string(aHost);
}

Endpoint
Cluster::ControlHttp(int aNumber) const
{
  return { Address(aNumber), 7000 };
}

Endpoint
Cluster::ControlMessages(int aNumber) const
{
  return { Address(aNumber), 7100 };
}

Endpoint
Cluster::EntryHttp(int aNumber) const
{
  return { Address(kEntryHostBase + aNumber), 8080 };
}

std::filesystem::path
Cluster::Data(int aNumber) const
{
  return mFolder / ("data-c" + std::to_string(aNumber));
}

std::string
Cluster::ControlList() const
{
  std::string list;
  for (int n = 1; n <= mControls; ++n) {
    list += (n > 1 ? ",c" : "c") + std::to_string(n) + "=" + ToText(ControlMessages(n));
  }
  return list;
}

std::string
Cluster::ControlListOf(const std::string& aName) const
{
  const auto it = mControlLists.find(aName);
  return it == mControlLists.end() ? ControlList() : it->second;
}

void
Cluster::SetControlList(const std::string& aName, const std::string& aList)
{
  mControlLists[aName] = aList;
}

void
Cluster::AddFlags(const std::string& aName, const std::vector<std::string>& aFlags)
{
  auto& flags = mFlags[aName];
  flags.insert(flags.end(), aFlags.begin(), aFlags.end());
}

void
Cluster::Start(const std::string& aName, std::vector<std::string> aArguments)
{
  const auto& flags = mFlags[aName];
  aArguments.insert(aArguments.end(), flags.begin(), flags.end());
  mProcesses[aName] = Spawn(aArguments, mFolder / (aName + ".out"));
}

void
Cluster::StartControl(int aNumber)
{
  const std::string name = "c" + std::to_string(aNumber);
  Start(name,
        { FIGHOLD_DAEMON,
          "--role=control",
          "--id=" + name,
          "--listen=" + ToText(ControlHttp(aNumber)),
          "--message_listen=" + ToText(ControlMessages(aNumber)),
          "--controls=" + ControlListOf(name),
          "--data=" + Data(aNumber).string(),
          std::string("--charts=") + FIGHOLD_CHARTS_DIR,
          "--key_file=" + KeyFile(name),
          "--peer_keys=" + (mFolder / "keys").string(),
          "--logtostderr" });
}

void
Cluster::StartEntry(int aNumber, const std::string& aRegion)
{
  const std::string name = "e" + std::to_string(aNumber);
  const std::string address = ToText(EntryHttp(aNumber));
  if (std::find(mEntries.begin(), mEntries.end(), address) == mEntries.end()) {
    mEntries.push_back(address);
  }
  Start(name,
        { FIGHOLD_DAEMON,
          "--role=entry",
          "--id=" + name,
          "--region=" + aRegion,
          "--data_centre=" + aRegion + "-a",
          "--listen=" + address,
          "--controls=" + ControlListOf(name),
          std::string("--charts=") + FIGHOLD_CHARTS_DIR,
          "--lookup_ttl_ms=1000",
          "--key_file=" + KeyFile(name),
          "--peer_keys=" + (mFolder / "keys").string(),
          "--logtostderr" });
}

void
Cluster::StartStandin(const std::string& aName,
                      const std::string& aServers,
                      const std::vector<std::string>& aFlags)
{
  std::string entries;
  for (const std::string& it : mEntries) {
    entries += (entries.empty() ? "" : ",") + it;
  }
  std::vector<std::string> arguments{ FIGHOLD_STANDIN,
                                      "--entries=" + entries,
                                      "--servers=" + aServers };
  arguments.insert(arguments.end(), aFlags.begin(), aFlags.end());
  Start(aName, arguments);
}

void
Cluster::Signal(const std::string& aName, int aSignal)
{
  const pid_t pid = mProcesses.at(aName);
  kill(pid, aSignal);
  if (aSignal == SIGSTOP) {
    // A thread of the process has to run before the others stop, which takes a while on a busy
    // machine.
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(pid), &info, WSTOPPED);
  }
}

void
Cluster::LimitFileSize(const std::string& aName, std::uint64_t aBytes) const
{
  const rlimit limit{ aBytes, RLIM_INFINITY };
  if (prlimit(mProcesses.at(aName), RLIMIT_FSIZE, &limit, nullptr) != 0) {
    throw std::runtime_error("cannot limit the file size of " + aName);
  }
}

int
Cluster::WaitForExit(const std::string& aName, Duration aLimit)
{
  const pid_t pid = mProcesses.at(aName);
  int status = 0;
  if (!Eventually([&] { return waitpid(pid, &status, WNOHANG) == pid; }, aLimit)) {
    return -1;
  }
  mProcesses.erase(aName);
  return ExitCode(status);
}

void
Cluster::Kill(const std::string& aName)
{
  Signal(aName, SIGKILL);
  WaitForExit(aName);
}

std::size_t
Cluster::AnonymousMemory(const std::string& aName) const
{
  const auto process = mProcesses.find(aName);
  if (process == mProcesses.end()) {
    return 0;
  }
  const std::string status = ReadFile("/proc/" + std::to_string(process->second) + "/status");
  const std::string mark = "RssAnon:";
  const std::size_t at = status.find(mark);
  return at == std::string::npos ? 0 : std::stoul(status.substr(at + mark.size()));
}

std::string
Cluster::Output(const std::string& aName) const
{
  return ReadFile(mFolder / (aName + ".out"));
}

net::ExchangeResult
Cluster::Call(const Endpoint& aTo, const net::HttpRequest& aRequest, Duration aTimeout)
{
  net::ExchangeResult result;
  std::thread thread([&] {
    net::FiberLoop loop;
    loop.Run([&] {
      net::HttpConnection connection(loop, aTo);
      result = connection.Exchange(aRequest, std::chrono::steady_clock::now() + aTimeout);
    });
  });
  thread.join();
  return result;
}

CommandResult
Cluster::Ctl(const std::vector<int>& aControls, const std::vector<std::string>& aArguments) const
{
  static std::atomic<int> count{ 0 };
  std::string controls;
  for (const int it : aControls) {
    controls += (controls.empty() ? "" : ",") + ToText(ControlHttp(it));
  }
  std::vector<std::string> arguments{ FIGHOLD_CTL, "--controls=" + controls };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  const auto output = mFolder / ("ctl-" + std::to_string(count++) + ".out");
  const pid_t pid = Spawn(arguments, output);
  int status = 0;
  waitpid(pid, &status, 0);
  return { ExitCode(status), ReadFile(output) };
}

std::string
Cluster::WriteSheet(const std::string& aName, const std::string& aText) const
{
  const auto path = mFolder / aName;
  std::ofstream(path, std::ios::binary) << aText;
  return path.string();
}

bool
Cluster::Eventually(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Instant until = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool
Cluster::IsReady(int aEntry) const
{
  const auto result =
    Call(EntryHttp(aEntry), { "GET", "/readyz", {}, "", {} }, std::chrono::seconds(2));
  return result.mStage == net::ExchangeStage::Answered && result.mResponse.mStatus == 200;
}

Endpoint
Cluster::StandinAddress(const std::string& aStandin, const std::string& aServer) const
{
  std::istringstream in(Output(aStandin));
  for (std::string word, id, address; in >> word;) {
    if (word == "server" && in >> id >> address && id == aServer) {
      return ParseEndpoint(address).value_or(Endpoint{});
    }
  }
  return {};
}

std::string
TestSheet(int aNumber, const std::string& aExtra)
{
  std::string text = "item,service,region,target,value,unit\n"
                     "plan,,,," +
                     std::to_string(aNumber) +
                     ",number\n"
                     "shift_cap,,,,10,percent\n"
                     "shift_interval,,,,30,s\n"
                     "max_entries,,,,6,entries\n";
  for (const std::string region : { "attiki", "makedonia", "kriti" }) {
    text += "region_capacity,," + region + ",,60,requests\n";
  }
  text += "service_class,vardia,,,urgent,class\n"
          "service_deadline,vardia,,,5000,ms\n"
          "service_class,antikatastasi,,,standard,class\n"
          "service_deadline,antikatastasi,,,10000,ms\n";
  return text + aExtra;
}

} // namespace fighold::testing
