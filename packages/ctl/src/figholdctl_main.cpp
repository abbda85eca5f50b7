#include "fighold/core/finding.hpp"
#include "fighold/ctl/command.hpp"
#include "fighold/net/http_client.hpp"
#include "fighold/wire/key_file.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(controls,
              "",
              "HTTP addresses of control processes, host:port,...; tried in this order");
DEFINE_string(change,
              "",
              "identifier of the change; repeat a change whose answer was lost with the same one");
DEFINE_string(base,
              "",
              "digest of the plan that a submitted sheet replaces; without it, the plan in use");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_int32(timeout_ms, 15000, "time limit for one call, in ms");

namespace {

using fighold::Endpoint;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

std::string
NewChangeId()
{
  std::random_device device;
  std::ostringstream out;
  out << std::hex << device() << device() << device();
  return out.str();
}

std::vector<Endpoint>
ParseControls(fighold::Findings& aFindings)
{
  std::vector<Endpoint> endpoints;
  std::istringstream in(FLAGS_controls);
  for (std::string part; std::getline(in, part, ',');) {
    if (const auto endpoint = fighold::ParseEndpoint(part)) {
      endpoints.push_back(*endpoint);
    } else {
      aFindings.push_back(
        { { "--controls", 0, 0 }, "expected an IPv4 address and port, found \"" + part + "\"" });
    }
  }
  return endpoints;
}

/// A call that was sent may have been carried out, but every change has an identifier, so trying
/// the next is safe.
std::optional<fighold::net::HttpResponse>
CallFirst(fighold::net::FiberLoop& aLoop,
          const std::vector<Endpoint>& aEndpoints,
          const fighold::net::HttpRequest& aRequest)
{
  for (const Endpoint& it : aEndpoints) {
    fighold::net::HttpConnection connection(aLoop, it);
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
    auto result = connection.Exchange(aRequest, until);
    if (result.mStage == fighold::net::ExchangeStage::Answered) {
      return std::move(result.mResponse);
    }
    std::cerr << fighold::ToText(it) << ": " << result.mError << "\n";
  }
  return std::nullopt;
}

std::string
FirstLine(const std::string& aText)
{
  return aText.substr(0, aText.find('\n'));
}

int
Run(const std::vector<std::string>& aArguments, fighold::net::FiberLoop& aLoop)
{
  fighold::Findings findings;
  const auto endpoints = ParseControls(findings);
  fighold::ctl::Options options{ FLAGS_change, FLAGS_base, "" };
  if (!FLAGS_token_file.empty()) {
    const auto token = ReadFile(FLAGS_token_file);
    if (!token) {
      findings.push_back({ { "--token_file", 0, 0 }, "cannot read \"" + FLAGS_token_file + "\"" });
    }
    options.mToken = FirstLine(token.value_or(""));
  }
  if (!findings.empty()) {
    std::cerr << fighold::FormatFindings(findings);
    return fighold::ctl::kExitBadUsage;
  }
  fighold::ctl::Environment environment;
  environment.mCall = [&](const fighold::net::HttpRequest& aRequest) {
    return CallFirst(aLoop, endpoints, aRequest);
  };
  environment.mReadFile = ReadFile;
  environment.mNewChangeId = NewChangeId;
  environment.mNewKeys = [](const std::string& aFile) { return fighold::wire::NewKeyFiles(aFile); };
  environment.mPrint = [](const std::string& aText) { std::cout << aText << "\n"; };
  environment.mError = [](const std::string& aText) { std::cerr << aText << "\n"; };
  environment.mWait = [](fighold::Millis aTime) { std::this_thread::sleep_for(aTime); };
  return fighold::ctl::RunCommand(aArguments, options, environment);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::SetVersionString(FIGHOLD_VERSION);
  gflags::SetUsageMessage(fighold::ctl::Usage());
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  fighold::net::FiberLoop loop;
  int code = fighold::ctl::kExitFailed;
  loop.Run([&] { code = Run(arguments, loop); });
  return code;
}
