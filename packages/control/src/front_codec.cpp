#include "fighold/control/front_codec.hpp"

#include "fighold/control/route_json.hpp"
#include "fighold/core/text.hpp"
#include "fighold/plan/sheet.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace fighold::control {
namespace {

namespace json = boost::json;

net::HttpResponse
ErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  return net::JsonResponse(aStatus, json::serialize(json::object{ { "error", aMessage } }));
}

json::array
ToJson(const Findings& aFindings)
{
  json::array out;
  for (const Finding& it : aFindings) {
    out.push_back(json::object{
      { "row", it.mPlace.mLine }, { "column", it.mPlace.mColumn }, { "message", it.mMessage } });
  }
  return out;
}

net::HttpResponse
FindingsResponse(const Findings& aFindings)
{
  return net::JsonResponse(422, json::serialize(json::object{ { "findings", ToJson(aFindings) } }));
}

ParsedRequest
ParseCheck(const net::HttpRequest& aRequest)
{
  const auto checked = plan::ParseSheet(aRequest.mBody.Text(), "sheet");
  if (!checked.mValue) {
    return FindingsResponse(checked.mFindings);
  }
  const json::object body{ { "plan", checked.mValue->mNumber },
                           { "digest", plan::Digest(*checked.mValue) } };
  return net::JsonResponse(200, json::serialize(body));
}

std::string
ParameterOr(const boost::urls::url_view& aUrl, std::string_view aName, const std::string& aDefault)
{
  for (const auto& it : aUrl.params()) {
    if (std::string_view(it.key) == aName) {
      return std::string(it.value);
    }
  }
  return aDefault;
}

constexpr std::size_t kMaxChangeIdLength = 128;

/// @return error message for an invalid change identifier, or nothing
std::optional<std::string>
CheckChangeId(const std::string& aId)
{
  if (aId.empty() || aId.size() > kMaxChangeIdLength || !IsPrintable(aId)) {
    return "the parameter change must be 1 to 128 printable characters; a resend carries the same "
           "one";
  }
  return std::nullopt;
}

ParsedRequest
ParseSubmit(CallId aId, const net::HttpRequest& aRequest, const boost::urls::url_view& aUrl)
{
  const std::string change = ParameterOr(aUrl, "change", "");
  if (const auto error = CheckChangeId(change)) {
    return ErrorResponse(400, *error);
  }
  const std::string base = ParameterOr(aUrl, "base", "");
  if (!IsPrintable(base)) {
    return ErrorResponse(400, "the parameter base must be the digest of a plan");
  }
  auto checked = plan::ParseSheet(aRequest.mBody.Text(), "sheet");
  if (!checked.mValue) {
    return FindingsResponse(checked.mFindings);
  }
  ChangeCall call;
  call.mId = aId;
  call.mChange = { { change },
                   membership::SubmitPlan{ base, SharedValue(std::move(*checked.mValue)) } };
  return call;
}

/// Converts a call that changes the route set.
template<typename Body>
ParsedRequest
ParseRoutes(CallId aId, const boost::urls::url_view& aUrl, Checked<Body> aChecked)
{
  const std::string change = ParameterOr(aUrl, "change", "");
  if (const auto error = CheckChangeId(change)) {
    return ErrorResponse(400, *error);
  }
  if (!aChecked.mValue) {
    return ErrorResponse(422, FormatFindings(aChecked.mFindings));
  }
  ChangeCall call;
  call.mId = aId;
  call.mChange = { { change }, std::move(*aChecked.mValue) };
  return call;
}

std::optional<membership::DrainKind>
ParseDrainKind(const std::string& aText)
{
  if (aText == "backend-server") {
    return membership::DrainKind::BackendServer;
  }
  if (aText == "entry") {
    return membership::DrainKind::Entry;
  }
  if (aText == "region") {
    return membership::DrainKind::Region;
  }
  if (aText == "data-centre") {
    return membership::DrainKind::DataCentre;
  }
  return std::nullopt;
}

ParsedRequest
ParseDrain(CallId aId, const boost::urls::url_view& aUrl)
{
  const std::string change = ParameterOr(aUrl, "change", "");
  const auto kind = ParseDrainKind(ParameterOr(aUrl, "kind", ""));
  const std::string name = ParameterOr(aUrl, "name", "");
  const std::string state = ParameterOr(aUrl, "state", "on");
  if (const auto error = CheckChangeId(change)) {
    return ErrorResponse(400, *error);
  }
  if (!kind || !IsIdentifier(name) || (state != "on" && state != "off")) {
    return ErrorResponse(
      400, "expected kind=backend-server|entry|region|data-centre, name=..., state=on|off");
  }
  ChangeCall call;
  call.mId = aId;
  call.mChange = { { change }, membership::SetDrain{ *kind, name, state == "on" } };
  return call;
}

std::string_view
ToText(membership::Verdict aVerdict)
{
  switch (aVerdict) {
    case membership::Verdict::Accepted:
      return "accepted";
    case membership::Verdict::Conflict:
      return "conflict";
    case membership::Verdict::Refused:
      break;
  }
  return "refused";
}

unsigned
StatusOf(const ChangeCallAnswer& aAnswer)
{
  if (!aAnswer.mDecided) {
    return 504;
  }
  switch (aAnswer.mAnswer.mVerdict) {
    case membership::Verdict::Accepted:
      return aAnswer.mInForce ? 200 : 202;
    case membership::Verdict::Conflict:
      return 409;
    case membership::Verdict::Refused:
      break;
  }
  return 422;
}

net::HttpResponse
Convert(const net::HttpRequest& /*aRequest*/, const ChangeCallAnswer& aAnswer)
{
  json::object body{ { "decided", aAnswer.mDecided }, { "in_force", aAnswer.mInForce } };
  if (aAnswer.mDecided) {
    body["verdict"] = ToText(aAnswer.mAnswer.mVerdict);
    body["message"] = aAnswer.mAnswer.mMessage;
    body["version"] = aAnswer.mAnswer.mVersion;
    body["plan"] = aAnswer.mAnswer.mPlanNumber;
    body["digest"] = aAnswer.mAnswer.mPlanDigest;
  }
  json::array unconfirmed;
  for (const EntryId& it : aAnswer.mUnconfirmed) {
    unconfirmed.emplace_back(it.mValue);
  }
  body["not_yet"] = unconfirmed;
  return net::JsonResponse(StatusOf(aAnswer), json::serialize(body));
}

json::array
ToJson(const std::vector<EntryLine>& aLines)
{
  json::array out;
  for (const EntryLine& it : aLines) {
    out.push_back(json::object{ { "id", it.mId.mValue },
                                { "region", it.mEntry.mRegion.mValue },
                                { "data_centre", it.mEntry.mDataCentre.mValue },
                                { "address", ToText(it.mEntry.mAddress) },
                                { "version", it.mHeld },
                                { "current", it.mCurrent },
                                { "draining", it.mDraining },
                                { "leaving", it.mEntry.mLeaving },
                                { "in_flight", it.mInFlight } });
  }
  return out;
}

json::array
ToJson(const std::vector<BackendLine>& aLines)
{
  json::array out;
  for (const BackendLine& it : aLines) {
    out.push_back(json::object{ { "id", it.mId.mValue },
                                { "service", it.mServer.mService.mValue },
                                { "region", it.mServer.mRegion.mValue },
                                { "address", ToText(it.mServer.mAddress) },
                                { "alive", it.mAlive },
                                { "leaving", it.mServer.mLeaving },
                                { "draining", it.mDraining },
                                { "state", it.mStage },
                                { "in_flight", it.mInFlight } });
  }
  return out;
}

json::array
ToJson(const std::vector<membership::PlanRecord>& aHistory)
{
  json::array out;
  for (const membership::PlanRecord& it : aHistory) {
    out.push_back(json::object{ { "plan", it.mNumber },
                                { "digest", it.mDigest },
                                { "version", it.mVersion },
                                { "change", it.mChange.mValue } });
  }
  return out;
}

json::array
DrainedRegions(const membership::Configuration& aConfiguration)
{
  json::array out;
  for (const auto& [id, capacity] : aConfiguration.mPlan->mRegions) {
    if (IsDrained(aConfiguration, id)) {
      out.emplace_back(id.mValue);
    }
  }
  return out;
}

net::HttpResponse
Convert(const net::HttpRequest& aRequest, const StatusAnswer& aAnswer)
{
  const membership::Configuration& configuration = *aAnswer.mConfiguration;
  if (aRequest.mTarget.rfind("/v1/plan/history", 0) == 0) {
    return net::JsonResponse(
      200, json::serialize(json::object{ { "plans", ToJson(configuration.mHistory) } }));
  }
  if (aRequest.mTarget.rfind("/v1/plan", 0) == 0) {
    if (configuration.mPlan->mNumber == 0) {
      return ErrorResponse(404, "no plan was accepted yet");
    }
    return { 200, { { "Content-Type", "text/csv" } }, plan::FormatSheet(*configuration.mPlan) };
  }
  if (aRequest.mTarget == "/readyz") {
    return net::JsonResponse(aAnswer.mCurrent ? 200 : 503,
                             json::serialize(json::object{ { "ready", aAnswer.mCurrent } }));
  }
  const json::object body{
    { "self", aAnswer.mSelf.mValue },        { "leader", aAnswer.mLeader },
    { "current", aAnswer.mCurrent },         { "version", configuration.mVersion },
    { "in_force", aAnswer.mInForce },        { "plan", configuration.mPlan->mNumber },
    { "digest", configuration.mPlanDigest }, { "drained_regions", DrainedRegions(configuration) },
    { "entries", ToJson(aAnswer.mEntries) }, { "backend_servers", ToJson(aAnswer.mBackends) }
  };
  return net::JsonResponse(200, json::serialize(body));
}

net::HttpResponse
Convert(const net::HttpRequest& /*aRequest*/, const ServerAnswer& aAnswer)
{
  if (!aAnswer.mDecided) {
    return ErrorResponse(503, aAnswer.mMessage);
  }
  return aAnswer.mAccepted ? net::JsonResponse(200, "{}") : ErrorResponse(409, aAnswer.mMessage);
}

net::HttpResponse
Convert(const net::HttpRequest& /*aRequest*/, const DirectoryAnswer& aAnswer)
{
  if (aAnswer.mEntries.empty()) {
    return ErrorResponse(503, "no entry is known");
  }
  json::array entries;
  for (const Endpoint& it : aAnswer.mEntries) {
    entries.emplace_back(ToText(it));
  }
  return net::JsonResponse(200,
                           json::serialize(json::object{
                             { "entries", entries }, { "ttl_ms", aAnswer.mTimeToLive.count() } }));
}

net::HttpResponse
Convert(const net::HttpRequest& /*aRequest*/, const RoutesAnswer& aAnswer)
{
  if (!aAnswer.mCurrent) {
    return ErrorResponse(503, "not confirmed by a majority; ask the leader");
  }
  return net::JsonResponse(200, WriteRouteSet(*aAnswer.mRoutes, {}));
}

} // namespace

ParsedRequest
ParseRequest(CallId aId, const net::HttpRequest& aRequest, const std::string& aToken)
{
  const auto url = boost::urls::parse_origin_form(aRequest.mTarget);
  if (!url) {
    return ErrorResponse(400, "the target is malformed");
  }
  const std::string path = url->path();
  const bool post = aRequest.mMethod == "POST";
  if (path == "/v1/plan/check" && post) {
    return ParseCheck(aRequest);
  }
  const bool routes =
    path == "/v1/routes" && (aRequest.mMethod == "PUT" || aRequest.mMethod == "PATCH");
  const bool change = routes || ((path == "/v1/plan" || path == "/v1/drains") && post);
  if (change && !aToken.empty() &&
      net::FindHeader(aRequest.mHeaders, "Authorization") != "Bearer " + aToken) {
    return ErrorResponse(401, "this call needs the operator's token");
  }
  if (path == "/v1/plan" && post) {
    return ParseSubmit(aId, aRequest, *url);
  }
  if (path == "/v1/drains" && post) {
    return ParseDrain(aId, *url);
  }
  if (path == "/v1/routes" && aRequest.mMethod == "PUT") {
    return ParseRoutes(aId, *url, ReadRouteSet(aRequest.mBody.Text(), {}));
  }
  if (path == "/v1/routes" && aRequest.mMethod == "PATCH") {
    return ParseRoutes(aId, *url, ReadRoutePatch(aRequest.mBody.Text(), {}));
  }
  if (path == "/v1/routes" && aRequest.mMethod == "GET") {
    return RoutesCall{ aId };
  }
  if (path == "/v1/entries" && aRequest.mMethod == "GET") {
    return DirectoryCall{ aId,
                          { ParameterOr(*url, "region", "") },
                          { ParameterOr(*url, "data_centre", "") } };
  }
  if (path == "/v1/plan" || path == "/v1/plan/history" || path == "/v1/status" ||
      path == "/readyz") {
    return StatusCall{ aId };
  }
  return ErrorResponse(404, "no such resource");
}

net::HttpResponse
ToResponse(const net::HttpRequest& aRequest, const CallAnswer& aAnswer)
{
  return std::visit([&aRequest](const auto& aBody) { return Convert(aRequest, aBody); }, aAnswer);
}

FrontCodec
NativeFrontCodec()
{
  return { ParseRequest, ToResponse };
}

} // namespace fighold::control
