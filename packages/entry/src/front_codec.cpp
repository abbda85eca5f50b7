#include "fighold/entry/front_codec.hpp"

#include "fighold/core/text.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace fighold::entry {
namespace {

namespace json = boost::json;
namespace urls = boost::urls;

constexpr std::size_t kMaxKeyLength = 128;

net::HttpResponse
ErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  auto response =
    net::JsonResponse(aStatus, json::serialize(json::object{ { "error", aMessage } }));
  response.mHeaders.push_back({ "Fighold-Outcome", "not-run" });
  return response;
}

std::optional<std::string>
QueryParameter(const urls::url_view& aUrl, std::string_view aName)
{
  for (const auto& it : aUrl.params()) {
    if (std::string_view(it.key) == aName) {
      return std::string(it.value);
    }
  }
  return std::nullopt;
}

ParsedRequest
ParseLookup(RequestId aId, const net::HttpRequest& aRequest, const urls::url_view& aUrl)
{
  Lookup lookup;
  lookup.mId = aId;
  const auto service = QueryParameter(aUrl, "service");
  if (!service) {
    return ErrorResponse(400, "the parameter service is missing");
  }
  lookup.mService = { *service };
  if (const auto region = QueryParameter(aUrl, "region")) {
    lookup.mRegion = RegionId{ *region };
  }
  const auto client = ParseIpv4(QueryParameter(aUrl, "client").value_or(aRequest.mPeer.mHost));
  if (!client) {
    return ErrorResponse(400, "the parameter client is not an IPv4 address");
  }
  lookup.mClient = *client;
  return lookup;
}

/// Reads members of a JSON object and collects findings about them.
struct ObjectReader
{
  const json::object& mObject;
  Findings mFindings;

  std::string Text(std::string_view aName)
  {
    const auto* value = mObject.if_contains(aName);
    std::string text;
    if (value != nullptr && value->is_string()) {
      text.assign(value->as_string().data(), value->as_string().size());
    }
    if (text.empty() || text.size() > kMaxIdentifierBytes || !IsPrintable(text)) {
      AddFinding(aName, "expected a printable text");
      return {};
    }
    return text;
  }

  std::uint64_t Number(std::string_view aName, std::uint64_t aMin, std::uint64_t aMax)
  {
    const auto* value = mObject.if_contains(aName);
    boost::json::error_code ec;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(ec);
    if (value == nullptr || ec || number < aMin || number > aMax) {
      AddFinding(aName,
                 "expected a whole number from " + std::to_string(aMin) + " to " +
                   std::to_string(aMax));
      return aMin;
    }
    return number;
  }

  void AddFinding(std::string_view aName, const std::string& aMessage)
  {
    mFindings.push_back({ Place{ std::string(aName), 0, 0 }, aMessage });
  }
};

constexpr std::uint64_t kMaxSlots = 100'000;
constexpr std::uint64_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kMaxInFlight = std::numeric_limits<std::uint32_t>::max();

ParsedRequest
ParseRenewal(RequestId aId, const std::string& aServer, const std::string& aBody)
{
  boost::json::error_code ec;
  const json::value value = json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    return ErrorResponse(400, "the body is no JSON object");
  }
  ObjectReader reader{ value.as_object(), {} };
  BackendRenewal renewal;
  renewal.mId = aId;
  renewal.mServerId = { aServer };
  renewal.mServer.mIncarnation =
    reader.Number("incarnation", 1, std::numeric_limits<std::int64_t>::max());
  renewal.mServer.mService = { reader.Text("service") };
  renewal.mServer.mRegion = { reader.Text("region") };
  renewal.mServer.mDataCentre = { reader.Text("data_centre") };
  renewal.mServer.mSlots = static_cast<std::uint32_t>(reader.Number("slots", 1, kMaxSlots));
  renewal.mServer.mConnections =
    static_cast<std::uint32_t>(reader.Number("connections", 1, kMaxConnections));
  renewal.mInFlight = static_cast<std::uint32_t>(reader.Number("in_flight", 0, kMaxInFlight));
  const auto address = ParseEndpoint(reader.Text("address"));
  if (address && IsUnicast(*address)) {
    renewal.mServer.mAddress = *address;
  } else {
    reader.AddFinding("address", "expected an IPv4 address and port such as 10.0.0.1:8080");
  }
  if (!reader.mFindings.empty()) {
    return ErrorResponse(400, FormatFindings(reader.mFindings));
  }
  return renewal;
}

ParsedRequest
ParseDeparture(RequestId aId, const std::string& aServer, const urls::url_view& aUrl)
{
  const std::string text = QueryParameter(aUrl, "incarnation").value_or("");
  Incarnation incarnation = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), incarnation);
  if (ec != std::errc{} || end != text.data() + text.size() || incarnation == 0) {
    return ErrorResponse(400, "the parameter incarnation is missing or no number");
  }
  return BackendDeparture{ aId, { aServer }, incarnation };
}

std::optional<std::uint64_t>
ParseNumberHeader(const net::Headers& aHeaders, std::string_view aName, bool& aInvalid)
{
  const auto text = net::FindHeader(aHeaders, aName);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), number);
  aInvalid = ec != std::errc{} || end != text->data() + text->size();
  return number;
}

ParsedRequest
ParseCallerRequest(RequestId aId, const net::HttpRequest& aRequest, std::string_view aRest)
{
  CallerRequest request;
  const auto slash = aRest.find('/');
  request.mId = aId;
  request.mService = { std::string(aRest.substr(0, slash)) };
  request.mSafe = net::IsSafeMethod(aRequest.mMethod);
  request.mKey = net::FindHeader(aRequest.mHeaders, "Idempotency-Key").value_or("");
  request.mClient = ParseIpv4(aRequest.mPeer.mHost).value_or(0);
  bool invalid = false;
  const auto deadline = ParseNumberHeader(aRequest.mHeaders, "Fighold-Deadline-Ms", invalid);
  if (invalid || request.mKey.size() > kMaxKeyLength) {
    return ErrorResponse(
      400, "Fighold-Deadline-Ms is no number or Idempotency-Key is longer than 128 bytes");
  }
  if (deadline) {
    constexpr std::uint64_t kMaxDeadlineMs = 600'000;
    request.mDeadline = Millis(std::min(*deadline, kMaxDeadlineMs));
  }
  net::HttpRequest payload = aRequest;
  payload.mTarget = slash == std::string_view::npos ? "/" : std::string(aRest.substr(slash));
  request.mPayload = SharedValue(std::move(payload));
  return request;
}

ParsedRequest
ParseBackendCall(RequestId aId,
                 const net::HttpRequest& aRequest,
                 const urls::url_view& aUrl,
                 const std::string& aServer)
{
  constexpr std::size_t kMaxServerName = 64;
  if (!IsIdentifier(aServer) || aServer.size() > kMaxServerName ||
      aServer.find('/') != std::string::npos) {
    return ErrorResponse(400,
                         "a backend server name is 1 to 64 printable characters without spaces");
  }
  if (aRequest.mBody.Size() > kMaxCallBytes) {
    return ErrorResponse(413, "a call of a backend server has at most 64 KiB");
  }
  if (aRequest.mMethod == "PUT") {
    return ParseRenewal(aId, aServer, aRequest.mBody.Text());
  }
  if (aRequest.mMethod == "DELETE") {
    return ParseDeparture(aId, aServer, aUrl);
  }
  return ErrorResponse(405, "use PUT or DELETE");
}

/// @return the response of a backend server without an outcome of its own, which the caller would
/// read beside that of the entry
net::HttpResponse
WithoutOutcome(net::HttpResponse aResponse)
{
  auto& headers = aResponse.mHeaders;
  headers.erase(std::remove_if(headers.begin(),
                               headers.end(),
                               [](const net::Header& aHeader) {
                                 return net::FindHeader({ aHeader }, "Fighold-Outcome").has_value();
                               }),
                headers.end());
  return aResponse;
}

net::HttpResponse
ToHttpResponse(RequestId aId, const CallerAnswer& aAnswer)
{
  net::HttpResponse response;
  switch (aAnswer.mOutcome) {
    case Outcome::Run:
      response = WithoutOutcome(aAnswer.mResponse);
      break;
    case Outcome::NotRun:
      response = NotRunResponse(aAnswer.mReason, aAnswer.mStatus);
      break;
    case Outcome::Unknown:
      response = net::JsonResponse(
        504,
        json::serialize(json::object{ { "outcome", "unknown" }, { "reason", aAnswer.mReason } }));
      break;
  }
  if (aAnswer.mOutcome != Outcome::NotRun) {
    response.mHeaders.push_back({ "Fighold-Outcome", std::string(ToText(aAnswer.mOutcome)) });
  }
  response.mHeaders.push_back({ "Fighold-Request-Id", std::to_string(aId) });
  if (!aAnswer.mServerId.mValue.empty()) {
    response.mHeaders.push_back({ "Fighold-Backend-Server", aAnswer.mServerId.mValue });
  }
  return response;
}

net::HttpResponse
ToHttpResponse(RequestId /*aId*/, const LookupAnswer& aAnswer)
{
  if (!aAnswer.mError.empty()) {
    return ErrorResponse(aAnswer.mError == "unknown-service" ? 404 : 503, aAnswer.mError);
  }
  json::array entries;
  for (const LookupEntry& it : aAnswer.mEntries) {
    entries.push_back(json::object{ { "id", it.mId.mValue },
                                    { "address", ToText(it.mAddress) },
                                    { "region", it.mRegion.mValue } });
  }
  const json::object body{ { "entries", entries },
                           { "ttl_ms", aAnswer.mTimeToLive.count() },
                           { "version", aAnswer.mVersion } };
  return net::JsonResponse(200, json::serialize(body));
}

net::HttpResponse
ToHttpResponse(RequestId /*aId*/, const BackendAnswer& aAnswer)
{
  switch (aAnswer.mCallStatus) {
    case BackendCallStatus::Refused:
      return ErrorResponse(409, aAnswer.mMessage);
    case BackendCallStatus::Busy:
      return ErrorResponse(503, aAnswer.mMessage);
    case BackendCallStatus::Accepted:
      break;
  }
  const json::object body{ { "lease_ms", membership::kBackendServerLease.count() },
                           { "renew_ms", membership::kRenewInterval.count() } };
  return net::JsonResponse(200, json::serialize(body));
}

net::HttpResponse
ToHttpResponse(RequestId /*aId*/, const StatusAnswer& aAnswer)
{
  const json::object body{ { "ready", aAnswer.mReady },
                           { "state", aAnswer.mState },
                           { "version", aAnswer.mVersion },
                           { "plan", aAnswer.mPlanNumber },
                           { "in_flight", aAnswer.mInFlight } };
  return net::JsonResponse(aAnswer.mReady ? 200 : 503, json::serialize(body));
}

net::HttpResponse
ToHttpResponse(RequestId /*aId*/, const ForwardAnswer& aAnswer)
{
  if (aAnswer.mOutcome == Outcome::Run) {
    net::HttpResponse response = WithoutOutcome(aAnswer.mResponse);
    response.mHeaders.push_back({ "Fighold-Outcome", "run" });
    return response;
  }
  auto response = ErrorResponse(aAnswer.mStatus, aAnswer.mReason);
  response.mHeaders.back().mValue = ToText(aAnswer.mOutcome);
  if (aAnswer.mRetryAfter > Millis(0)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aAnswer.mRetryAfter);
    response.mHeaders.push_back({ "Retry-After", std::to_string(seconds.count()) });
  }
  return response;
}

/// Parses a request whose service is found through the route set.
ParsedRequest
ParseForward(RequestId aId, const net::HttpRequest& aRequest)
{
  ForwardRequest forward;
  forward.mId = aId;
  forward.mCallerRequestId =
    net::FindHeader(aRequest.mHeaders, "Fighold-Request-Id").value_or(std::to_string(aId));
  forward.mAffinityKey = net::FindHeader(aRequest.mHeaders, "Fighold-Affinity-Key").value_or("");
  if (const auto deadline = net::FindHeader(aRequest.mHeaders, "Fighold-Deadline-Ms")) {
    std::int64_t millis = 0;
    const auto parsed =
      std::from_chars(deadline->data(), deadline->data() + deadline->size(), millis);
    if (parsed.ec != std::errc() || millis < 0) {
      return ErrorResponse(400, "Fighold-Deadline-Ms is not a number of milliseconds");
    }
    forward.mDeadline = Millis(millis);
  }
  forward.mPayload = SharedValue(aRequest);
  return forward;
}

} // namespace

ParsedRequest
ParseRequest(RequestId aId, const net::HttpRequest& aRequest)
{
  const auto url = urls::parse_origin_form(aRequest.mTarget);
  if (!url) {
    return ErrorResponse(400, "the target is malformed");
  }
  const std::string path = url->path();
  const std::string_view target = aRequest.mTarget;
  constexpr std::string_view kService = "/s/";
  constexpr std::string_view kBackendServers = "/v1/backend-servers/";
  if (target.substr(0, kService.size()) == kService) {
    return ParseCallerRequest(aId, aRequest, target.substr(kService.size()));
  }
  if (path.substr(0, kBackendServers.size()) == kBackendServers) {
    return ParseBackendCall(aId, aRequest, *url, path.substr(kBackendServers.size()));
  }
  if (path == "/v1/lookup" && aRequest.mMethod == "GET") {
    return ParseLookup(aId, aRequest, *url);
  }
  if (path == "/readyz") {
    return StatusRequest{ aId };
  }
  return ParseForward(aId, aRequest);
}

net::HttpResponse
ToResponse(RequestId aId, const Answer& aAnswer)
{
  return std::visit([aId](const auto& aBody) { return ToHttpResponse(aId, aBody); }, aAnswer);
}

FrontCodec
NativeFrontCodec()
{
  return { ParseRequest,
           [](RequestId aId, const net::HttpRequest& /*aRequest*/, const Answer& aAnswer) {
             return ToResponse(aId, aAnswer);
           },
           [](const std::string& aReason) { return NotRunResponse(aReason); } };
}

net::HttpResponse
NotRunResponse(const std::string& aReason, unsigned aStatus)
{
  auto response = net::JsonResponse(
    aStatus, json::serialize(json::object{ { "outcome", "not-run" }, { "reason", aReason } }));
  response.mHeaders.push_back({ "Fighold-Outcome", "not-run" });
  if (aStatus == 503) {
    response.mHeaders.push_back({ "Retry-After", "1" });
  }
  return response;
}

} // namespace fighold::entry
