#pragma once

#include "fighold/control/daemon.hpp"
#include "fighold/core/finding.hpp"
#include "fighold/entry/daemon.hpp"

#include <string>
#include <variant>

/// Settings of the daemon, from flags and environment variables.
namespace fighold::figholdd {

/// Values as they are given; a flag NAME is also read from the environment as FLAGS_NAME.
struct Settings
{
  std::string mRole;
  std::string mId;
  std::string mRegion;
  std::string mDataCentre;
  std::string mListen;        ///< HTTP address
  std::string mMessageListen; ///< address for messages between daemons; control role only
  std::string mControls;      ///< "id=host:port,..." of all control processes
  std::string mData;
  std::string mCharts;
  std::string mTokenFile;
  std::string mKeyFile;
  std::string mPeerKeys; ///< folder of the public keys of the other daemons
  bool mInsecure = false;
  std::int64_t mLookupTimeToLiveMs = 5000;
  std::int64_t mMaxConnections = 1024;
  std::string mDialect =
    "native"; ///< "native" or "platform": how callers, backend servers and operators speak
  std::string mAlsoListen; ///< further HTTP addresses, separated by commas
  std::string mSeeds;      ///< addresses of some control processes, in place of mControls
  std::int64_t mMessagePort =
    0;                      ///< port at which every control process takes messages, with mSeeds
  std::string mDataCentres; ///< "data centre=region,..." of the whole deployment
  bool mFirstStart = true;  ///< the deployment starts for the first time
  bool mServeUnleased = false;
  std::int64_t mServerLeaseMs = 2000;
  std::int64_t mLongestDrainMs = 60'000;
  double mRetryRatio = 0.1;
  double mRetrySlack = 20;
  std::int64_t mHeartbeatMs = 500;
  double mColdBurstFactor = 1.5;
  double mColdBurstSlack = 5;
  std::int64_t mMessageMemoryMb = 0; ///< 0: derived from the memory of the VM
  double mStopGraceS = 150;
};

/// Checked settings of either role.
using Checked = std::variant<entry::DaemonOptions, control::DaemonOptions>;

/// Checks all settings.
/// @param aSettings settings
/// @param aIncarnation drawn for this start of the process
/// @return options of the role, or every finding with the flag's name
fighold::Checked<Checked>
CheckSettings(const Settings& aSettings, Incarnation aIncarnation);

} // namespace fighold::figholdd
