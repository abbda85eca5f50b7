#include "fighold/ctl/command.hpp"

#include "fighold/plan/sheet.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace fighold::ctl {
namespace {

namespace json = boost::json;

/// Everything that a command works with.
struct Session
{
  const Options& mOptions;
  const Environment& mEnvironment;
};

std::optional<net::HttpResponse>
Call(const Session& aSession,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody)
{
  net::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  if (!aSession.mOptions.mToken.empty()) {
    request.mHeaders.push_back({ "Authorization", "Bearer " + aSession.mOptions.mToken });
  }
  auto response = aSession.mEnvironment.mCall(request);
  if (!response) {
    aSession.mEnvironment.mError("no control process answered");
  }
  return response;
}

json::object
ToObject(const net::HttpResponse& aResponse)
{
  json::error_code ec;
  const json::value value = json::parse(aResponse.mBody, ec);
  return !ec && value.is_object() ? value.as_object() : json::object{};
}

std::string
Text(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->as_string().c_str())
                                                : std::string();
}

std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  json::error_code ec;
  const auto* value = aObject.if_contains(aName);
  const auto number = value != nullptr ? value->to_number<std::uint64_t>(ec) : 0;
  return ec ? 0 : number;
}

bool
Flag(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->as_bool();
}

const json::array&
List(const json::object& aObject, std::string_view aName)
{
  static const json::array empty;
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_array() ? value->as_array() : empty;
}

/// Reads and checks a sheet; prints the findings.
std::optional<plan::Plan>
ReadSheet(const Session& aSession, const std::string& aPath, std::string& aText)
{
  const auto text = aSession.mEnvironment.mReadFile(aPath);
  if (!text) {
    aSession.mEnvironment.mError(aPath + ": cannot be read");
    return std::nullopt;
  }
  aText = *text;
  auto checked = plan::ParseSheet(aText, aPath);
  if (!checked.mValue) {
    aSession.mEnvironment.mError(FormatFindings(checked.mFindings));
  }
  return std::move(checked.mValue);
}

int
CheckPlan(const std::vector<std::string>& aArguments, const Session& aSession)
{
  std::string text;
  const auto plan = ReadSheet(aSession, aArguments[0], text);
  if (!plan) {
    return kExitBadUsage;
  }
  aSession.mEnvironment.mPrint("plan " + std::to_string(plan->mNumber) +
                               " has no findings, digest " + plan::Digest(*plan));
  return kExitDone;
}

int
ReportChange(const net::HttpResponse& aResponse,
             const std::string& aChange,
             const Session& aSession)
{
  const json::object answer = ToObject(aResponse);
  if (!Text(answer, "error").empty()) {
    aSession.mEnvironment.mError(Text(answer, "error"));
    return kExitFailed;
  }
  if (!Flag(answer, "decided")) {
    aSession.mEnvironment.mError(
      "not known whether the change was accepted; repeat it with --change=" + aChange);
    return kExitFailed;
  }
  const std::string plan =
    "plan " + std::to_string(Number(answer, "plan")) + ", digest " + Text(answer, "digest");
  if (Text(answer, "verdict") != "accepted") {
    aSession.mEnvironment.mError(Text(answer, "verdict") + ": " + Text(answer, "message") +
                                 " (in use: " + plan + ")");
    return kExitFailed;
  }
  aSession.mEnvironment.mPrint("accepted at version " + std::to_string(Number(answer, "version")) +
                               " (" + plan + ")");
  if (Flag(answer, "in_force")) {
    aSession.mEnvironment.mPrint("in force everywhere");
    return kExitDone;
  }
  std::string behind;
  for (const auto& it : List(answer, "not_yet")) {
    behind += " " + std::string(it.as_string().c_str());
  }
  aSession.mEnvironment.mError("not yet in force at:" + behind);
  return kExitFailed;
}

std::string
ChangeId(const Session& aSession)
{
  return aSession.mOptions.mChange.empty() ? aSession.mEnvironment.mNewChangeId()
                                           : aSession.mOptions.mChange;
}

int
SubmitPlan(const std::vector<std::string>& aArguments, const Session& aSession)
{
  std::string text;
  if (!ReadSheet(aSession, aArguments[0], text)) {
    return kExitBadUsage;
  }
  std::string base = aSession.mOptions.mBase;
  if (base.empty()) {
    const auto status = Call(aSession, "GET", "/v1/status", "");
    if (!status) {
      return kExitFailed;
    }
    base = Text(ToObject(*status), "digest");
  }
  const std::string change = ChangeId(aSession);
  aSession.mEnvironment.mPrint("submitting as change " + change);
  const auto response = Call(aSession, "POST", "/v1/plan?change=" + change + "&base=" + base, text);
  if (!response) {
    aSession.mEnvironment.mError("repeat it with --change=" + change);
    return kExitFailed;
  }
  return ReportChange(*response, change, aSession);
}

int
ShowPlan(const std::vector<std::string>& /*aArguments*/, const Session& aSession)
{
  const auto response = Call(aSession, "GET", "/v1/plan", "");
  if (!response || response->mStatus != 200) {
    aSession.mEnvironment.mError(response ? Text(ToObject(*response), "error") : "");
    return kExitFailed;
  }
  aSession.mEnvironment.mPrint(response->mBody);
  return kExitDone;
}

std::string
Padded(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aText.size(), aWidth), ' ');
  return aText + " ";
}

int
ShowStatus(const std::vector<std::string>& /*aArguments*/, const Session& aSession)
{
  const auto response = Call(aSession, "GET", "/v1/status", "");
  if (!response) {
    return kExitFailed;
  }
  const json::object status = ToObject(*response);
  const auto& print = aSession.mEnvironment.mPrint;
  print("control " + Text(status, "self") +
        (Flag(status, "current") ? "" : " (cut off or behind)") + ", leader " +
        Text(status, "leader"));
  print("plan " + std::to_string(Number(status, "plan")) + ", digest " + Text(status, "digest"));
  print("version " + std::to_string(Number(status, "version")) +
        ", in force everywhere: " + std::to_string(Number(status, "in_force")));
  for (const auto& it : List(status, "entries")) {
    const json::object& entry = it.as_object();
    print("entry   " + Padded(Text(entry, "id"), 24) + Padded(Text(entry, "region"), 12) +
          Padded(Text(entry, "address"), 21) + "version " +
          std::to_string(Number(entry, "version")) + (Flag(entry, "current") ? "" : " cut off"));
  }
  for (const auto& it : List(status, "backend_servers")) {
    const json::object& server = it.as_object();
    const std::string state = Flag(server, "leaving") ? "leaving"
                              : Flag(server, "alive") ? "serving"
                                                      : "lost";
    print("server  " + Padded(Text(server, "id"), 24) + Padded(Text(server, "region"), 12) +
          Padded(Text(server, "service"), 21) + state);
  }
  return kExitDone;
}

int
Drain(const std::vector<std::string>& aArguments, const Session& aSession)
{
  const std::string change = ChangeId(aSession);
  const auto response = Call(aSession,
                             "POST",
                             "/v1/drains?change=" + change + "&kind=" + aArguments[1] +
                               "&name=" + aArguments[2] + "&state=" + aArguments[0],
                             "");
  if (!response) {
    aSession.mEnvironment.mError("repeat it with --change=" + change);
    return kExitFailed;
  }
  return ReportChange(*response, change, aSession);
}

int
NewKeys(const std::vector<std::string>& aArguments, const Session& aSession)
{
  const Findings findings = aSession.mEnvironment.mNewKeys(aArguments[0]);
  if (!findings.empty()) {
    aSession.mEnvironment.mError(FormatFindings(findings));
    return kExitFailed;
  }
  aSession.mEnvironment.mPrint("wrote " + aArguments[0] + " (keep it on its VM) and " +
                               aArguments[0] + ".pub (copy it to the other daemons)");
  return kExitDone;
}

/// A command with its words and arguments.
struct Command
{
  std::vector<std::string> mWords;
  std::vector<std::string> mArguments;
  std::string mHelp;
  int (*mRun)(const std::vector<std::string>&, const Session&);
};

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> commands{
    { { "plan", "check" },
      { "SHEET" },
      "check a sheet and print every finding with row and column",
      CheckPlan },
    { { "plan", "submit" },
      { "SHEET" },
      "submit a sheet and wait until it is in force everywhere",
      SubmitPlan },
    { { "plan", "show" }, {}, "print the plan in use as a sheet", ShowPlan },
    { { "status" }, {}, "print plan, leader, entries and backend servers", ShowStatus },
    { { "drain" },
      { "on|off", "backend-server|entry|region", "NAME" },
      "start or end a drain",
      Drain },
    { { "keys", "new" }, { "FILE" }, "make the keys of a daemon: FILE and FILE.pub", NewKeys },
  };
  return commands;
}

bool
Matches(const Command& aCommand, const std::vector<std::string>& aArguments)
{
  return aArguments.size() == aCommand.mWords.size() + aCommand.mArguments.size() &&
         std::equal(aCommand.mWords.begin(), aCommand.mWords.end(), aArguments.begin());
}

} // namespace

std::string
Usage()
{
  std::string out = "figholdctl --controls=host:port,... COMMAND\n\n";
  for (const Command& it : Commands()) {
    std::string line = "  ";
    for (const std::string& word : it.mWords) {
      line += word + " ";
    }
    for (const std::string& argument : it.mArguments) {
      line += argument + " ";
    }
    out += Padded(line, 56) + it.mHelp + "\n";
  }
  return out;
}

int
RunCommand(const std::vector<std::string>& aArguments,
           const Options& aOptions,
           const Environment& aEnvironment)
{
  const Session session{ aOptions, aEnvironment };
  for (const Command& it : Commands()) {
    if (Matches(it, aArguments)) {
      const auto first = aArguments.begin() + static_cast<std::ptrdiff_t>(it.mWords.size());
      return it.mRun({ first, aArguments.end() }, session);
    }
  }
  aEnvironment.mError("unknown command or wrong number of arguments\n" + Usage());
  return kExitBadUsage;
}

} // namespace fighold::ctl
