#include "progress.hpp"

namespace fighold::ctl {
namespace {

/// Time between two looks at the status; entries renew as often.
constexpr Millis kPollInterval{ 500 };

/// Looks after which a command gives up: five minutes.
constexpr int kMaxPolls = 600;

/// Looks in a row that must find nothing in flight, since reports lag by a renewal.
constexpr int kQuietPolls = 3;

std::optional<json::object>
Status(const Session& aSession)
{
  const auto response = Call(aSession, "GET", "/v1/status", "");
  return response ? std::optional<json::object>(ToObject(*response)) : std::nullopt;
}

std::string
EntryState(const json::object& aEntry)
{
  std::string state;
  if (!Flag(aEntry, "current")) {
    state += " cut off";
  }
  if (Flag(aEntry, "leaving")) {
    state += " leaving";
  } else if (Flag(aEntry, "draining")) {
    state += " draining";
  }
  return state;
}

std::string
ServerState(const json::object& aServer)
{
  if (Flag(aServer, "leaving")) {
    return "leaving";
  }
  if (!Flag(aServer, "alive")) {
    return "lost";
  }
  return Flag(aServer, "draining") ? "draining" : "serving";
}

/// @return entries that do not hold the version, with what they hold
std::string
EntriesBehind(const json::object& aStatus)
{
  std::string behind;
  for (const auto& it : List(aStatus, "entries")) {
    const json::object& entry = it.as_object();
    if (Number(entry, "version") < Number(aStatus, "version")) {
      behind += " " + Text(entry, "id") + " (version " + std::to_string(Number(entry, "version")) +
                (Flag(entry, "current") ? ")" : ", cut off)");
    }
  }
  return behind;
}

/// @return requests in flight at a drained part
std::uint64_t
InFlight(const json::object& aStatus, const std::string& aKind, const std::string& aName)
{
  std::uint64_t count = 0;
  for (const auto& it : List(aStatus, aKind == "entry" ? "entries" : "backend_servers")) {
    const json::object& part = it.as_object();
    const bool counts = Text(part, aKind == "region" ? "region" : "id") == aName;
    const bool lives = aKind == "entry" ? Flag(part, "current") : Flag(part, "alive");
    count += counts && lives ? Number(part, "in_flight") : 0;
  }
  return count;
}

} // namespace

int
ShowStatus(const std::vector<std::string>& /*aArguments*/, const Session& aSession)
{
  const auto status = Status(aSession);
  if (!status) {
    return kExitFailed;
  }
  const auto& print = aSession.mEnvironment.mPrint;
  print("control " + Text(*status, "self") +
        (Flag(*status, "current") ? "" : " (cut off or behind)") + ", leader " +
        Text(*status, "leader"));
  print("plan " + std::to_string(Number(*status, "plan")) + ", digest " + Text(*status, "digest"));
  print("version " + std::to_string(Number(*status, "version")) +
        ", in force everywhere: " + std::to_string(Number(*status, "in_force")));
  for (const auto& it : List(*status, "drained_regions")) {
    print("region  " + std::string(it.as_string().c_str()) + " draining");
  }
  for (const auto& it : List(*status, "entries")) {
    const json::object& entry = it.as_object();
    print("entry   " + Padded(Text(entry, "id"), 24) + Padded(Text(entry, "region"), 12) +
          Padded(Text(entry, "address"), 21) + "version " +
          std::to_string(Number(entry, "version")) + EntryState(entry));
  }
  for (const auto& it : List(*status, "backend_servers")) {
    const json::object& server = it.as_object();
    print("server  " + Padded(Text(server, "id"), 24) + Padded(Text(server, "region"), 12) +
          Padded(Text(server, "service"), 21) + ServerState(server));
  }
  return kExitDone;
}

int
ShowHistory(const std::vector<std::string>& /*aArguments*/, const Session& aSession)
{
  const auto response = Call(aSession, "GET", "/v1/plan/history", "");
  if (!response) {
    return kExitFailed;
  }
  const json::object history = ToObject(*response);
  for (const auto& it : List(history, "plans")) {
    const json::object& plan = it.as_object();
    aSession.mEnvironment.mPrint(
      "plan " + Padded(std::to_string(Number(plan, "plan")), 8) + Text(plan, "digest") +
      " version " + std::to_string(Number(plan, "version")) + " change " + Text(plan, "change"));
  }
  return kExitDone;
}

int
WatchPlan(const std::vector<std::string>& /*aArguments*/, const Session& aSession)
{
  std::string last;
  for (int n = 0; n < kMaxPolls; ++n) {
    const auto status = Status(aSession);
    if (!status) {
      return kExitFailed;
    }
    const std::string version = std::to_string(Number(*status, "version"));
    if (Number(*status, "in_force") >= Number(*status, "version")) {
      aSession.mEnvironment.mPrint("plan " + std::to_string(Number(*status, "plan")) +
                                   ", version " + version + ": in force everywhere");
      return kExitDone;
    }
    const std::string line =
      "version " + version + " is not yet in force at:" + EntriesBehind(*status);
    if (line != last) {
      aSession.mEnvironment.mPrint(line);
      last = line;
    }
    aSession.mEnvironment.mWait(kPollInterval);
  }
  aSession.mEnvironment.mError("not in force everywhere after 5 minutes");
  return kExitFailed;
}

int
AwaitDrain(const std::string& aKind, const std::string& aName, const Session& aSession)
{
  int quiet = 0;
  std::optional<std::uint64_t> last;
  for (int n = 0; n < kMaxPolls; ++n) {
    const auto status = Status(aSession);
    if (!status) {
      return kExitFailed;
    }
    const std::uint64_t count = InFlight(*status, aKind, aName);
    if (count != last) {
      aSession.mEnvironment.mPrint(std::to_string(count) + " in flight");
      last = count;
    }
    quiet = count == 0 ? quiet + 1 : 0;
    if (quiet == kQuietPolls) {
      aSession.mEnvironment.mPrint("drained");
      return kExitDone;
    }
    aSession.mEnvironment.mWait(kPollInterval);
  }
  aSession.mEnvironment.mError("still " + std::to_string(*last) +
                               " in flight after 5 minutes; the drain goes on");
  return kExitFailed;
}

} // namespace fighold::ctl
