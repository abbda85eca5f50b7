#pragma once

#include "fighold/core/endpoint.hpp"
#include "fighold/core/time.hpp"
#include "fighold/net/http_client.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

/// A deployment of real processes on loopback, for tests.
namespace fighold::testing {

/// Longest time that a test waits for a condition; generous, since the machine may be busy.
constexpr std::chrono::seconds kPatience{ 60 };

/// Output and exit code of a command.
struct CommandResult
{
  int mCode = 0;
  std::string mOutput; ///< standard output and standard error
};

/// Starts, freezes and kills processes. Each cluster has loopback addresses and a folder of its
/// own, so that tests can run side by side. Names: control processes "c1".., entries "e1"..,
/// stand-ins as given.
class Cluster
{
public:
  /// @param aMaxProcesses highest number of a control process or entry; keys are made for all,
  /// since daemons read them at start
  explicit Cluster(int aControls = 3, int aMaxProcesses = 9);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts control process n, from 1. A process that ended can be started again; it finds its data
  /// folder.
  void StartControl(int aNumber);

  /// Starts entry n, from 1.
  void StartEntry(int aNumber, const std::string& aRegion);

  /// Starts a stand-in process with backend servers
  /// "id:service:region:data_centre:slots:connections,...".
  void StartStandin(const std::string& aName,
                    const std::string& aServers,
                    const std::vector<std::string>& aFlags = {});

  /// Sends a signal to a process: SIGKILL, SIGSTOP, SIGCONT, SIGTERM. After SIGSTOP it stands still
  /// when the call returns.
  void Signal(const std::string& aName, int aSignal);

  /// Lets a running process write no file beyond a size, in bytes, as on a full disk. The process
  /// must have been started while SIGXFSZ is ignored.
  void LimitFileSize(const std::string& aName, std::uint64_t aBytes) const;

  /// Waits until a process has ended.
  /// @return its exit code, 128 + signal when a signal ended it, -1 when it did not end in time
  int WaitForExit(const std::string& aName, Duration aLimit = kPatience);

  /// Kills a process with SIGKILL and waits for its end.
  void Kill(const std::string& aName);

  /// Gives a process another list of control processes ("id=host:port,...") at its next start, such
  /// as one that leads through a relay.
  void SetControlList(const std::string& aName, const std::string& aList);

  /// Adds flags to a process at its next start.
  void AddFlags(const std::string& aName, const std::vector<std::string>& aFlags);

  Endpoint ControlHttp(int aNumber) const;
  Endpoint ControlMessages(int aNumber) const;
  Endpoint EntryHttp(int aNumber) const;
  std::string ControlList() const;
  std::filesystem::path Folder() const { return mFolder; }
  std::filesystem::path Data(int aNumber) const;

  /// @return memory of a process without its program and libraries, in KiB; 0 if it has ended
  std::size_t AnonymousMemory(const std::string& aName) const;

  /// @return all that a process printed and logged
  std::string Output(const std::string& aName) const;

  /// Sends one request and waits for the answer.
  static net::ExchangeResult Call(const Endpoint& aTo,
                                  const net::HttpRequest& aRequest,
                                  Duration aTimeout = std::chrono::seconds(30));

  /// Runs figholdctl against some control processes, given by number.
  CommandResult Ctl(const std::vector<int>& aControls,
                    const std::vector<std::string>& aArguments) const;

  /// Writes a sheet file into the cluster's folder.
  /// @return its path
  std::string WriteSheet(const std::string& aName, const std::string& aText) const;

  /// Waits until a condition holds.
  /// @return false when it did not hold in time
  static bool Eventually(const std::function<bool()>& aCondition, Duration aLimit = kPatience);

  /// @return true when an entry says that it is ready
  bool IsReady(int aEntry) const;

  /// @return value of an endpoint line "server ID ADDRESS" that a stand-in printed
  Endpoint StandinAddress(const std::string& aStandin, const std::string& aServer) const;

private:
  void MakeKeys() const;
  std::string KeyFile(const std::string& aName) const;
  std::string Address(int aHost) const;
  std::string ControlListOf(const std::string& aName) const;
  void Start(const std::string& aName, std::vector<std::string> aArguments);

  int mControls;
  int mMaxProcesses;
  std::string mSubnet;
  std::filesystem::path mFolder;
  std::map<std::string, pid_t> mProcesses;
  std::map<std::string, std::string> mControlLists;
  std::map<std::string, std::vector<std::string>> mFlags;
  std::vector<std::string> mEntries;
};

/// @param aNumber plan number
/// @param aExtra further rows, each ending in a line break
/// @return sheet with the regions attiki, makedonia and kriti and the services vardia and
/// antikatastasi
std::string
TestSheet(int aNumber, const std::string& aExtra = "");

} // namespace fighold::testing
