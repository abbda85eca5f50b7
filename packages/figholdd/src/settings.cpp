#include "fighold/figholdd/settings.hpp"

#include "fighold/core/stop_budget.hpp"
#include "fighold/core/text.hpp"
#include "fighold/platform/dialect.hpp"

#include <algorithm>
#include <fstream>
#include <limits>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace fighold::figholdd {
namespace {

constexpr std::int64_t kMaxTimeToLiveMs = 60'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxLeaseMs = 60'000;
constexpr double kMaxRetries = 1e6;
constexpr double kMaxColdBurst = 1e6;
constexpr double kMinStopGraceS = 1;
constexpr double kMaxStopGraceS = 86'400;
constexpr std::int64_t kMaxMessageMemoryMb = 1'000'000;
constexpr unsigned kMegabyteBits = 20;

/// Part of a VM's memory that requests and answers may take. Reading and handing on a message
/// takes up to twice its size for a moment, and the process needs memory of its own.
constexpr std::size_t kMessageMemoryDivisor = 4;

/// Part of a VM's memory that one call with a route set may take: parsed, a list of numbers takes
/// 25 times its size.
constexpr std::size_t kRouteSetDivisor = 128;

constexpr std::size_t kMaxRouteSetBytes = 32U << 20U;

/// @return bytes of memory of this VM
std::size_t
MachineMemory()
{
  const auto pages = ::sysconf(_SC_PHYS_PAGES);
  const auto pageSize = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && pageSize > 0
           ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageSize)
           : kMessageMemoryDivisor * net::kDefaultMessageMemory;
}

/// Collects findings about flags.
struct Checker
{
  Findings mFindings;

  void Fail(const std::string& aFlag, const std::string& aMessage)
  {
    mFindings.push_back({ Place{ "--" + aFlag, 0, 0 }, aMessage });
  }

  void Present(const std::string& aFlag, const std::string& aValue)
  {
    if (aValue.empty()) {
      Fail(aFlag, "must be set");
    }
  }

  /// Names of this process and of places are part of its messages.
  void Name(const std::string& aFlag, const std::string& aValue)
  {
    Present(aFlag, aValue);
    if (!aValue.empty() && !IsIdentifier(aValue)) {
      Fail(aFlag, "must be printable text without spaces, at most 256 bytes");
    }
  }

  void Range(const std::string& aFlag, std::int64_t aValue, std::int64_t aMin, std::int64_t aMax)
  {
    if (aValue < aMin || aValue > aMax) {
      Fail(aFlag,
           "must be from " + std::to_string(aMin) + " to " + std::to_string(aMax) + ", is " +
             std::to_string(aValue));
    }
  }

  Endpoint Address(const std::string& aFlag, const std::string& aValue)
  {
    const auto endpoint = ParseEndpoint(aValue);
    if (!endpoint) {
      Fail(aFlag,
           "expected an IPv4 address and port such as 127.0.0.1:8080, found \"" + aValue + "\"");
      return {};
    }
    return *endpoint;
  }

  std::map<ControlId, Endpoint> Controls(const std::string& aValue)
  {
    std::map<ControlId, Endpoint> controls;
    std::istringstream in(aValue);
    for (std::string part; std::getline(in, part, ',');) {
      const auto n = part.find('=');
      const std::string id = part.substr(0, n);
      if (n == std::string::npos || !IsIdentifier(id)) {
        Fail("controls", "expected id=address:port, found \"" + part + "\"");
        continue;
      }
      if (!controls.emplace(ControlId{ id }, Address("controls", part.substr(n + 1))).second) {
        Fail("controls", "\"" + id + "\" is named twice");
      }
    }
    if (controls.empty()) {
      Fail("controls", "must name the control processes as id=address:port,...");
    }
    return controls;
  }

  /// Control processes that are named by the address of any of their listeners.
  std::map<ControlId, Endpoint> Seeds(const Settings& aSettings)
  {
    std::map<ControlId, Endpoint> controls;
    Range("message_port", aSettings.mMessagePort, 1, kMaxPort);
    for (const Endpoint& it : Addresses("seeds", aSettings.mSeeds)) {
      const Endpoint endpoint{ it.mHost, static_cast<std::uint16_t>(aSettings.mMessagePort) };
      controls[{ ToText(endpoint) }] = endpoint;
    }
    return controls;
  }

  std::vector<Endpoint> Addresses(const std::string& aFlag, const std::string& aValue)
  {
    std::vector<Endpoint> addresses;
    std::istringstream in(aValue);
    for (std::string part; std::getline(in, part, ',');) {
      addresses.push_back(Address(aFlag, part));
    }
    return addresses;
  }

  platform::Regions DataCentres(const std::string& aValue)
  {
    platform::Regions regions;
    std::istringstream in(aValue);
    for (std::string part; std::getline(in, part, ',');) {
      const auto n = part.find('=');
      if (n == std::string::npos || !IsIdentifier(part.substr(0, n)) ||
          !IsIdentifier(part.substr(n + 1))) {
        Fail("data_centres", "expected data-centre=region, found \"" + part + "\"");
        continue;
      }
      regions[{ part.substr(0, n) }] = { part.substr(n + 1) };
    }
    return regions;
  }

  /// @return true for the platform's dialect
  bool IsPlatform(const std::string& aDialect)
  {
    if (aDialect != "native" && aDialect != "platform") {
      Fail("dialect", "must be native or platform, is \"" + aDialect + "\"");
    }
    return aDialect == "platform";
  }

  void Number(const std::string& aFlag, double aValue, double aMin, double aMax)
  {
    if (!(aValue >= aMin && aValue <= aMax)) {
      Fail(aFlag,
           "must be from " + std::to_string(aMin) + " to " + std::to_string(aMax) + ", is " +
             std::to_string(aValue));
    }
  }

  void Retries(const std::string& aFlag, double aValue)
  {
    if (!(aValue >= 0 && aValue <= kMaxRetries)) {
      Fail(aFlag, "must be from 0 to " + std::to_string(kMaxRetries));
    }
  }

  template<typename T>
  std::optional<T> Take(const std::string& aFlag, fighold::Checked<T> aChecked)
  {
    for (const Finding& it : aChecked.mFindings) {
      Fail(aFlag, it.mPlace.mSource + ": " + it.mMessage);
    }
    return std::move(aChecked.mValue);
  }

  std::optional<wire::Keys> Keys(const Settings& aSettings)
  {
    if (aSettings.mInsecure) {
      if (!aSettings.mKeyFile.empty() || !aSettings.mPeerKeys.empty()) {
        Fail("insecure", "excludes --key_file and --peer_keys");
      }
      return std::nullopt;
    }
    if (aSettings.mKeyFile.empty() || aSettings.mPeerKeys.empty()) {
      Fail("key_file",
           "must be set together with --peer_keys (make keys with figholdctl keys new), or set "
           "--insecure to run without keys");
      return std::nullopt;
    }
    auto own = Take("key_file", wire::ReadKeyFile(aSettings.mKeyFile));
    auto peers = Take("peer_keys", wire::ReadPeerKeys(aSettings.mPeerKeys));
    return own && peers ? std::optional(wire::Keys{ *own, *peers }) : std::nullopt;
  }

  /// A process that this one connects to must have a known key.
  void KnownKeys(const std::optional<wire::Keys>& aKeys,
                 const std::map<ControlId, Endpoint>& aControls)
  {
    for (const auto& [id, endpoint] : aControls) {
      if (aKeys && aKeys->mPeers.count(id.mValue) == 0) {
        Fail("peer_keys",
             "holds no " + id.mValue + ".pub for the control process \"" + id.mValue + "\"");
      }
    }
  }

  std::string Token(const std::string& aPath)
  {
    if (aPath.empty()) {
      return {};
    }
    struct stat info = {};
    std::ifstream file(aPath);
    std::string token;
    if (!file || ::stat(aPath.c_str(), &info) != 0 || !std::getline(file, token) || token.empty()) {
      Fail("token_file", "cannot read a token from the first line of \"" + aPath + "\"");
    } else if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
      Fail("token_file", "\"" + aPath + "\" may be read by its owner only (chmod 600)");
    }
    return token;
  }
};

/// The drain has to end while requests are still taken.
void
CheckDrain(const Settings& aSettings, Checker& aChecker)
{
  aChecker.Range("longest_drain_ms", aSettings.mLongestDrainMs, 1, kMaxTimeToLiveMs);
  const double longest = kArrivalFraction * aSettings.mStopGraceS * 1000;
  if (static_cast<double>(aSettings.mLongestDrainMs) > longest) {
    aChecker.Fail("longest_drain_ms",
                  "must be at most 0.4 of --stop_grace_s, is " +
                    std::to_string(aSettings.mLongestDrainMs));
  }
}

/// @return bytes for the requests and answers that are held at the same time
std::size_t
MessageMemoryOf(const Settings& aSettings, std::size_t aMaxDefault, Checker& aChecker)
{
  aChecker.Range("message_memory_mb", aSettings.mMessageMemoryMb, 0, kMaxMessageMemoryMb);
  return aSettings.mMessageMemoryMb > 0
           ? static_cast<std::size_t>(aSettings.mMessageMemoryMb) << kMegabyteBits
           : std::min(aMaxDefault, MachineMemory() / kMessageMemoryDivisor);
}

net::ServerOptions
ServerOptionsOf(const Settings& aSettings, Checker& aChecker)
{
  net::ServerOptions options;
  options.mBind = aChecker.Address("listen", aSettings.mListen);
  aChecker.Range("max_connections", aSettings.mMaxConnections, 1, kMaxConnections);
  options.mMaxConnections = static_cast<std::size_t>(aSettings.mMaxConnections);
  return options;
}

std::map<ControlId, Endpoint>
ControlsOf(const Settings& aSettings, Checker& aChecker)
{
  if (!aSettings.mSeeds.empty() && !aSettings.mControls.empty()) {
    aChecker.Fail("seeds", "excludes --controls");
  }
  return aSettings.mSeeds.empty() ? aChecker.Controls(aSettings.mControls)
                                  : aChecker.Seeds(aSettings);
}

entry::DaemonOptions
EntryOptions(const Settings& aSettings, Incarnation aIncarnation, Checker& aChecker)
{
  entry::DaemonOptions options;
  options.mServer = ServerOptionsOf(aSettings, aChecker);
  options.mAlsoListen = aChecker.Addresses("also_listen", aSettings.mAlsoListen);
  options.mControls = ControlsOf(aSettings, aChecker);
  options.mCharts = aSettings.mCharts;
  options.mKeys = aChecker.Keys(aSettings);
  aChecker.KnownKeys(options.mKeys, options.mControls);
  if (aChecker.IsPlatform(aSettings.mDialect)) {
    options.mFront = platform::EntryFront();
    options.mBackend = platform::EntryBackend();
    options.mClient.mUntilClose = true;
  }
  options.mMessageMemory = MessageMemoryOf(aSettings, net::kDefaultMessageMemory, aChecker);
  CheckDrain(aSettings, aChecker);
  aChecker.Retries("retry_ratio", aSettings.mRetryRatio);
  aChecker.Retries("retry_slack", aSettings.mRetrySlack);
  options.mDecide.mLongestDrain = Millis(aSettings.mLongestDrainMs);
  options.mDecide.mServeUnleased = aSettings.mServeUnleased;
  options.mDecide.mRetryRatio = aSettings.mRetryRatio;
  options.mDecide.mRetrySlack = aSettings.mRetrySlack;
  aChecker.Range("heartbeat_ms", aSettings.mHeartbeatMs, 1, kMaxLeaseMs);
  aChecker.Number("cold_burst_factor", aSettings.mColdBurstFactor, 1, kMaxColdBurst);
  aChecker.Number("cold_burst_slack", aSettings.mColdBurstSlack, 0, kMaxColdBurst);
  options.mDecide.mCold.mBurstFactor = aSettings.mColdBurstFactor;
  options.mDecide.mCold.mBurstSlack = aSettings.mColdBurstSlack;
  // A heartbeat reaches an entry with the next grant, and one grant may be late.
  options.mDecide.mCold.mMaxHeartbeatAge =
    Millis(aSettings.mHeartbeatMs) + 2 * membership::kRenewInterval;
  aChecker.Name("region", aSettings.mRegion);
  aChecker.Name("data_centre", aSettings.mDataCentre);
  aChecker.Range("lookup_ttl_ms", aSettings.mLookupTimeToLiveMs, 1, kMaxTimeToLiveMs);
  options.mDecide.mId = { aSettings.mId };
  options.mDecide.mLookupTimeToLive = Millis(aSettings.mLookupTimeToLiveMs);
  options.mDecide.mSeed = aIncarnation;
  options.mDecide.mEntry = {
    aIncarnation, options.mServer.mBind, { aSettings.mRegion }, { aSettings.mDataCentre }, 0
  };
  for (const auto& [id, endpoint] : options.mControls) {
    options.mDecide.mControls.push_back(id);
  }
  return options;
}

control::DaemonOptions
ControlOptions(const Settings& aSettings, Incarnation aIncarnation, Checker& aChecker)
{
  control::DaemonOptions options;
  options.mServer = ServerOptionsOf(aSettings, aChecker);
  // A sheet with 3.4 million client blocks is the largest body.
  options.mServer.mMaxBodyBytes = 160U << 20U;
  options.mAlsoListen = aChecker.Addresses("also_listen", aSettings.mAlsoListen);
  options.mControls = ControlsOf(aSettings, aChecker);
  if (aChecker.IsPlatform(aSettings.mDialect)) {
    // Route sets are far smaller, and the VMs have little memory.
    options.mServer.mMaxBodyBytes = std::min(kMaxRouteSetBytes, MachineMemory() / kRouteSetDivisor);
    options.mFront = platform::ControlFront(aChecker.DataCentres(aSettings.mDataCentres));
  }
  options.mMessageMemory =
    MessageMemoryOf(aSettings, std::numeric_limits<std::size_t>::max(), aChecker);
  options.mMayBootstrap = aSettings.mFirstStart;
  aChecker.Range("server_lease_ms", aSettings.mServerLeaseMs, 1, kMaxLeaseMs);
  options.mDecide.mServerLease = Millis(aSettings.mServerLeaseMs);
  aChecker.Range("lookup_ttl_ms", aSettings.mLookupTimeToLiveMs, 1, kMaxTimeToLiveMs);
  options.mDecide.mDirectoryTimeToLive = Millis(aSettings.mLookupTimeToLiveMs);
  options.mSelf = { aSettings.mId };
  options.mIncarnation = aIncarnation;
  options.mMessageBind = aChecker.Address("message_listen", aSettings.mMessageListen);
  options.mData = aSettings.mData;
  options.mCharts = aSettings.mCharts;
  options.mToken = aChecker.Token(aSettings.mTokenFile);
  options.mKeys = aChecker.Keys(aSettings);
  aChecker.KnownKeys(options.mKeys, options.mControls);
  aChecker.Present("data", aSettings.mData);
  if (!aSettings.mSeeds.empty()) {
    // Processes that find each other by address are known by it.
    options.mSelf = { aSettings.mMessageListen };
  } else if (!options.mControls.empty() && options.mControls.count(options.mSelf) == 0) {
    aChecker.Fail("controls", "does not name this process, \"" + aSettings.mId + "\"");
  }
  return options;
}

} // namespace

fighold::Checked<Checked>
CheckSettings(const Settings& aSettings, Incarnation aIncarnation)
{
  Checker checker;
  checker.Name("id", aSettings.mId);
  checker.Present("charts", aSettings.mCharts);
  checker.Number("stop_grace_s", aSettings.mStopGraceS, kMinStopGraceS, kMaxStopGraceS);
  std::optional<Checked> options;
  if (aSettings.mRole == "entry") {
    options = EntryOptions(aSettings, aIncarnation, checker);
  } else if (aSettings.mRole == "control") {
    options = ControlOptions(aSettings, aIncarnation, checker);
  } else {
    checker.Fail("role", "must be entry or control, is \"" + aSettings.mRole + "\"");
  }
  if (!checker.mFindings.empty()) {
    return { std::nullopt, checker.mFindings };
  }
  return { std::move(options), {} };
}

} // namespace fighold::figholdd
