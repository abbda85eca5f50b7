#include "fatal.hpp"
#include "fighold/core/stop_budget.hpp"
#include "fighold/figholdd/settings.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <string>
#include <vector>

DEFINE_string(role, "", "role of this process: entry or control");
DEFINE_string(id, "", "name of this process, unique in the deployment");
DEFINE_string(region, "", "region of this process (entry)");
DEFINE_string(data_centre, "", "data centre of this process (entry)");
DEFINE_string(listen, "127.0.0.1:0", "HTTP address; port 0 takes any free port and prints it");
DEFINE_string(message_listen, "127.0.0.1:0", "address for messages between daemons (control)");
DEFINE_string(controls, "", "all control processes as id=address:port,...");
DEFINE_string(data, "", "data folder (control)");
DEFINE_string(charts, FIGHOLD_DEFAULT_CHARTS, "folder of the state charts");
DEFINE_string(token_file,
              "",
              "file with the operators' token; without it changes need no token (control)");
DEFINE_string(key_file, "", "file with the keys of this process, made by figholdctl keys new");
DEFINE_string(peer_keys, "", "folder with the public keys (NAME.pub) of the other daemons");
DEFINE_bool(insecure, false, "run without keys between daemons");
DEFINE_int64(lookup_ttl_ms, 5000, "time for which callers may cache a look-up, in ms (entry)");
DEFINE_int64(max_connections, 1024, "greatest number of HTTP connections");
DEFINE_string(dialect,
              "native",
              "how callers, backend servers and operators speak: native, platform");
DEFINE_string(also_listen, "", "further HTTP addresses, separated by commas");
DEFINE_string(seeds,
              "",
              "addresses of some control processes, separated by commas; the others are found");
DEFINE_int64(message_port, 0, "port at which all control processes take messages, with --seeds");
DEFINE_string(data_centres, "", "region of each data centre as name=region,... (control)");
DEFINE_bool(first_start,
            true,
            "the deployment starts for the first time, so that a group is formed (control)");
DEFINE_bool(serve_unleased, false, "serve requests of the route set without a lease (entry)");
DEFINE_int64(server_lease_ms,
             2000,
             "time for which a backend server's heartbeat counts, in ms (control)");
DEFINE_int64(longest_drain_ms,
             60'000,
             "time after which a planned stop ends its wait for quiet, in ms (entry)");
DEFINE_double(stop_grace_s,
              150,
              "time from SIGTERM until the process is killed, in s; a planned stop ends before");
DEFINE_double(retry_ratio,
              0.1,
              "second dispatches for one request, of all entries together (entry)");
DEFINE_double(retry_slack,
              20,
              "second dispatches beyond that at once, of all entries together (entry)");
DEFINE_int64(heartbeat_ms, 500, "interval of a backend server's heartbeats, in ms (entry)");
DEFINE_double(cold_burst_factor,
              1.5,
              "within a second, a cold backend server tolerates its rate times this plus "
              "cold_burst_slack requests, of all entries together (entry)");
DEFINE_double(cold_burst_slack,
              5,
              "requests that a cold backend server tolerates beyond its rate (entry)");
DEFINE_int64(message_memory_mb,
             0,
             "memory for all requests and answers in progress, in MB; 0: a quarter of the VM's "
             "memory, for an entry at most 64");

namespace {

/// Exit codes of the daemon.
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/// Every flag may also be set by the environment variable FLAGS_<name>; the command line goes
/// first.
constexpr const char* kEnvironmentFlags =
  "role,id,region,data_centre,listen,message_listen,controls,data,charts,token_file,"
  "key_file,peer_keys,insecure,lookup_ttl_ms,max_connections,log_dir,minloglevel,logtostderr,"
  "dialect,also_listen,seeds,message_port,data_centres,first_start,serve_unleased,"
  "server_lease_ms,longest_drain_ms,retry_ratio,retry_slack,heartbeat_ms,cold_burst_factor,"
  "cold_burst_slack,message_memory_mb,stop_grace_s";

fighold::figholdd::Settings
SettingsFromFlags()
{
  return { FLAGS_role,
           FLAGS_id,
           FLAGS_region,
           FLAGS_data_centre,
           FLAGS_listen,
           FLAGS_message_listen,
           FLAGS_controls,
           FLAGS_data,
           FLAGS_charts,
           FLAGS_token_file,
           FLAGS_key_file,
           FLAGS_peer_keys,
           FLAGS_insecure,
           FLAGS_lookup_ttl_ms,
           FLAGS_max_connections,
           FLAGS_dialect,
           FLAGS_also_listen,
           FLAGS_seeds,
           FLAGS_message_port,
           FLAGS_data_centres,
           FLAGS_first_start,
           FLAGS_serve_unleased,
           FLAGS_server_lease_ms,
           FLAGS_longest_drain_ms,
           FLAGS_retry_ratio,
           FLAGS_retry_slack,
           FLAGS_heartbeat_ms,
           FLAGS_cold_burst_factor,
           FLAGS_cold_burst_slack,
           FLAGS_message_memory_mb,
           FLAGS_stop_grace_s };
}

/// Takes --stop_grace_s from the environment, unless the command line sets it. Deploy files that
/// allow only variables in capitals cannot use FLAGS_<name>.
/// @return false if the variable holds no number
bool
ReadStopGrace()
{
  const char* const text = std::getenv("FIGHOLD_STOP_GRACE_S");
  return text == nullptr || *text == '\0' ||
         !gflags::SetCommandLineOption("stop_grace_s", text).empty();
}

/// @return the flags of this daemon with their values; none of them is a secret
std::string
SettingsInForce()
{
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::string text = "version=" FIGHOLD_VERSION;
  for (const auto& it : flags) {
    if (it.filename.find("figholdd_main") != std::string::npos) {
      text += " " + it.name + "=\"" + it.current_value + "\"";
    }
  }
  return text;
}

/// @return log line with the bound of a planned stop, since a process that is killed earlier than
/// it assumes loses the requests that it has sent on
std::string
StopBound()
{
  const bool isDefault = gflags::GetCommandLineFlagInfoOrDie("stop_grace_s").is_default;
  std::string line = "event=stop-bound grace_s=" + std::to_string(FLAGS_stop_grace_s);
  line += isDefault ? " level=WARNING reason=default effect=\"requests are lost if the process is "
                      "killed earlier; set --stop_grace_s to the time until then\""
                    : " reason=set";
  return line;
}

/// Signals are blocked before threads start, so that only WaitForStop receives them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

template<typename Daemon, typename Options>
void
RunUntilStopped(Options aOptions, const sigset_t& aSignals, fighold::Duration aStopGrace)
{
  Daemon daemon(std::move(aOptions));
  std::cout << "listening on " << fighold::ToText(daemon.Address()) << std::endl;
  std::cout << "event=start " << SettingsInForce() << std::endl;
  std::cout << StopBound() << std::endl;
  int signal = 0;
  while (sigwait(&aSignals, &signal) == 0 && signal == SIGHUP) {
    std::cout << "event=reload reason=SIGHUP effect=\"settings are read at the next start\""
              << std::endl;
  }
  const auto budget = fighold::PlanStop(std::chrono::steady_clock::now(), aStopGrace);
  std::cout << "event=stopping signal=" << signal << std::endl;
  daemon.StopAndWait(budget);
  std::cout << "stopped" << std::endl;
}

void
Run(fighold::figholdd::Checked aOptions, const sigset_t& aSignals)
{
  const auto stopGrace = std::chrono::duration_cast<fighold::Duration>(
    std::chrono::duration<double>(FLAGS_stop_grace_s));
  if (auto* entry = std::get_if<fighold::entry::DaemonOptions>(&aOptions)) {
    RunUntilStopped<fighold::entry::Daemon>(std::move(*entry), aSignals, stopGrace);
    return;
  }
  auto& control = std::get<fighold::control::DaemonOptions>(aOptions);
  control.mOnFatal = [](const std::string& aMessage) {
    // Nothing may be assumed about the file after a failed write or sync, or about the state after
    // a record that was not applied, so the process ends at once.
    std::cerr << "figholdd: data folder cannot be used, stopping: " << aMessage << std::endl;
    std::_Exit(kExitFailed);
  };
  RunUntilStopped<fighold::control::Daemon>(std::move(control), aSignals, stopGrace);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::set_terminate(fighold::figholdd::PrintExceptionAndAbort);
  gflags::SetVersionString(FIGHOLD_VERSION);
  gflags::SetUsageMessage(
    "runs an entry or a control process of fighold\n\n"
    "  figholdd --role=control --id=c1 --message_listen=10.0.0.1:7100 --listen=10.0.0.1:7000 \\\n"
    "    --data=/var/lib/fighold --controls=c1=10.0.0.1:7100,c2=10.0.0.2:7100,c3=10.0.0.3:7100\n"
    "  figholdd --role=entry --id=e1 --region=attiki --data_centre=attiki-a \\\n"
    "    --listen=10.0.0.4:8080 --controls=c1=10.0.0.1:7100,c2=10.0.0.2:7100,c3=10.0.0.3:7100\n\n"
    "Flags are also read from the environment as FLAGS_<name>. SIGTERM is a planned stop.");
  gflags::SetCommandLineOption("tryfromenv", kEnvironmentFlags);
  if (!ReadStopGrace()) {
    std::cerr << "figholdd: FIGHOLD_STOP_GRACE_S is no number of seconds" << std::endl;
    return kExitBadSettings;
  }
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  google::InitGoogleLogging(aArgv[0]);
  std::random_device device;
  const fighold::Incarnation incarnation = (fighold::Incarnation{ device() } << 31U) | device();
  const auto checked = fighold::figholdd::CheckSettings(SettingsFromFlags(), incarnation);
  if (!checked.mValue) {
    std::cerr << fighold::FormatFindings(checked.mFindings);
    return kExitBadSettings;
  }
  if (FLAGS_insecure) {
    LOG(WARNING) << "messages between daemons are neither encrypted nor authenticated (--insecure)";
  }
  const sigset_t signals = BlockStopSignals();
  try {
    Run(*checked.mValue, signals);
  } catch (const std::exception& error) {
    std::cerr << "figholdd: " << error.what() << std::endl;
    return kExitFailed;
  }
  return 0;
}
