#include "fighold/ctl/command.hpp"

#include "fighold/plan/sheet.hpp"

#include "explain.hpp"
#include "progress.hpp"
#include "session.hpp"

#include <algorithm>

namespace fighold::ctl {
namespace {

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
  const int code = ReportChange(*response, change, aSession);
  return code == kExitDone && aArguments[0] == "on"
           ? AwaitDrain(aArguments[1], aArguments[2], aSession)
           : code;
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

int
ExplainRequest(const std::vector<std::string>& aArguments, const Session& aSession)
{
  std::vector<LogFile> files;
  for (auto it = aArguments.begin() + 1; it != aArguments.end(); ++it) {
    auto text = aSession.mEnvironment.mReadFile(*it);
    if (!text) {
      aSession.mEnvironment.mError(*it + ": cannot be read");
      return kExitBadUsage;
    }
    files.push_back({ *it, std::move(*text) });
  }
  const Explanation explanation = Explain(aArguments[0], files);
  if (explanation.mLines.empty()) {
    aSession.mEnvironment.mError("no line names request " + aArguments[0]);
    return kExitFailed;
  }
  for (std::size_t n = 0; n < explanation.mLines.size(); ++n) {
    const ExplainedLine& line = explanation.mLines[n];
    aSession.mEnvironment.mPrint((n == explanation.mDeciding ? "> " : "  ") + line.mFile + ": " +
                                 line.mText);
  }
  for (const std::string& it : explanation.mMissing) {
    aSession.mEnvironment.mPrint("missing: " + it);
  }
  aSession.mEnvironment.mPrint(
    "outcome: " + (explanation.mVerdict.empty() ? "not in these logs" : explanation.mVerdict));
  return kExitDone;
}

/// A command with its words and arguments. A last argument that ends with "..." may be repeated.
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
    { { "plan", "history" }, {}, "print the plans that were accepted", ShowHistory },
    { { "plan", "watch" },
      {},
      "print where the plan is not in force yet, until it is everywhere",
      WatchPlan },
    { { "status" }, {}, "print plan, leader, entries and backend servers", ShowStatus },
    { { "drain" },
      { "on|off", "backend-server|entry|region", "NAME" },
      "start or end a drain; a start waits until nothing is in flight",
      Drain },
    { { "explain" },
      { "ID", "FILE..." },
      "print the log lines of one request in order and the one that decided it",
      ExplainRequest },
    { { "keys", "new" }, { "FILE" }, "make the keys of a daemon: FILE and FILE.pub", NewKeys },
  };
  return commands;
}

bool
Matches(const Command& aCommand, const std::vector<std::string>& aArguments)
{
  const std::size_t least = aCommand.mWords.size() + aCommand.mArguments.size();
  const bool repeats =
    !aCommand.mArguments.empty() && aCommand.mArguments.back().find("...") != std::string::npos;
  return (aArguments.size() == least || (repeats && aArguments.size() > least)) &&
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
