#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/core/time.hpp"
#include "fighold/net/http.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Commands of the operator's tool.
namespace fighold::ctl {

/// Exit codes.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;   ///< refused, in conflict, or not known to be done
constexpr int kExitBadUsage = 2; ///< wrong arguments or a sheet with findings

/// What a command needs from outside.
struct Environment
{
  /// Sends a request to the first control process that answers; nothing when none does.
  std::function<std::optional<net::HttpResponse>(const net::HttpRequest&)> mCall;
  std::function<std::optional<std::string>(const std::string&)> mReadFile;
  std::function<std::string()> mNewChangeId;
  std::function<Findings(const std::string&)> mNewKeys; ///< makes key files
  std::function<void(const std::string&)> mPrint;       ///< standard output
  std::function<void(const std::string&)> mError;       ///< standard error
  std::function<void(Millis)> mWait;
};

/// Options that are given as flags.
struct Options
{
  std::string mChange; ///< identifier of the change; a resend carries the same one
  std::string mBase;   ///< digest of the plan that is replaced; empty: the plan in use
  std::string mToken;
};

/// Runs one command.
/// @param aArguments command and its arguments, such as {"plan", "submit", "sheet.csv"}
/// @return exit code
int
RunCommand(const std::vector<std::string>& aArguments,
           const Options& aOptions,
           const Environment& aEnvironment);

/// @return description of all commands
std::string
Usage();

} // namespace fighold::ctl
