#include "fighold/entry/backend_codec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fighold::entry {
namespace {

/// Lowest limit that is kept to, in requests/s. A server that names a lower one, or 0, still gets a
/// request now and then, whose answer tells when the limit has ended.
constexpr double kMinNamedRate = 0.1;

constexpr std::string_view kOutcomeHeader = "Fighold-Outcome";
constexpr std::string_view kRequestIdHeader = "Fighold-Request-Id";

/// First identifier of health requests, above those of callers' requests.
constexpr std::uint64_t kFirstHealthRequestId = std::uint64_t{ 1 } << 63U;

/// A health request belongs to no request of a caller, so that each is named after its dispatch.
std::string
RequestIdOf(const Dispatch& aDispatch)
{
  return std::to_string(aDispatch.mId != 0 ? aDispatch.mId
                                           : kFirstHealthRequestId + aDispatch.mDispatchId);
}

net::HttpRequest
Encode(const Dispatch& aDispatch, Millis aTimeLeft)
{
  net::HttpRequest request = *aDispatch.mPayload;
  const auto replaced = [](const net::Header& aHeader) {
    return aHeader.mName == "Fighold-Deadline-Ms" || aHeader.mName == kRequestIdHeader;
  };
  auto& headers = request.mHeaders;
  headers.erase(std::remove_if(headers.begin(), headers.end(), replaced), headers.end());
  headers.push_back({ std::string(kRequestIdHeader), RequestIdOf(aDispatch) });
  headers.push_back({ "Fighold-Deadline-Ms", std::to_string(aTimeLeft.count()) });
  request.mHost.clear();
  return request;
}

/// A backend server need not repeat the identifier of the request; one that does is protected
/// against its late and repeated answers.
bool
MatchesDispatch(const Dispatch& aDispatch, const net::HttpResponse& aResponse)
{
  return !net::FindHeader(aResponse.mHeaders, kRequestIdHeader) ||
         net::HasOnlyValue(aResponse.mHeaders, kRequestIdHeader, RequestIdOf(aDispatch));
}

/// A backend server may report in a header that it did not run the request, for example because of
/// overload. A faulty server may write an earlier refusal once more on a kept connection while it
/// runs the request, so that a refusal there has to name its request.
AnswerMeaning
Meaning(const Dispatch& aDispatch, const net::HttpResponse& aResponse, bool aIsReused)
{
  bool saysNotRun = false;
  bool saysOther = false;
  for (const net::Header& it : aResponse.mHeaders) {
    if (const auto outcome = net::FindHeader({ it }, kOutcomeHeader)) {
      saysNotRun = saysNotRun || *outcome == "not-run";
      saysOther = saysOther || *outcome != "not-run";
    }
  }
  if (!saysNotRun) {
    return AnswerMeaning::Result;
  }
  const bool namesRequest =
    net::HasOnlyValue(aResponse.mHeaders, kRequestIdHeader, RequestIdOf(aDispatch));
  return saysOther || (aIsReused && !namesRequest) ? AnswerMeaning::Unusable
                                                   : AnswerMeaning::NotRun;
}

/// @return the number if the text is one without sign and exponent
std::optional<double>
ParseDecimal(const std::string& aText)
{
  constexpr std::size_t kMaxLength = 32;
  const bool plain = !aText.empty() && aText.size() <= kMaxLength &&
                     aText.find_first_not_of("0123456789.") == std::string::npos;
  double number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number, std::chars_format::fixed);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return plain && whole ? std::optional(number) : std::nullopt;
}

/// @return the time, or nothing if the text is no number of seconds without sign and exponent
std::optional<Millis>
ParsePause(const std::string& aText)
{
  const auto seconds = ParseDecimal(aText);
  constexpr double kMillisPerSecond = 1000;
  // Bounded before the conversion, since a longer text is a number beyond its range.
  const auto bounded = [](double aSeconds) {
    return std::min(aSeconds * kMillisPerSecond, static_cast<double>(kMaxPause.count()));
  };
  return seconds ? std::optional(Millis(static_cast<std::int64_t>(std::ceil(bounded(*seconds)))))
                 : std::nullopt;
}

} // namespace

void
ReadRate(const net::Headers& aHeaders, std::string_view aName, routes::ServerReport& aReport)
{
  std::optional<double> lowest;
  for (const net::Header& it : aHeaders) {
    const auto value = net::FindHeader({ it }, aName);
    const auto rate = value ? ParseDecimal(*value) : std::nullopt;
    aReport.mUnreadableRate = aReport.mUnreadableRate || (value && !rate);
    if (rate) {
      lowest = std::max(kMinNamedRate, std::min(*rate, lowest.value_or(*rate)));
    }
  }
  if (lowest || !aReport.mUnreadableRate) {
    aReport.mRate = routes::RateStatement{ lowest };
  }
}

void
ReadAvailability(const net::HttpResponse& aResponse,
                 std::string_view aLeavingName,
                 routes::ServerReport& aReport)
{
  constexpr unsigned kUnavailable = 503;
  AvailabilityStatement& statement = aReport.mAvailability;
  for (const net::Header& it : aResponse.mHeaders) {
    if (const auto leaving = net::FindHeader({ it }, aLeavingName)) {
      statement.mLeaving = statement.mLeaving || *leaving == "1";
    }
    const auto value =
      aResponse.mStatus == kUnavailable ? net::FindHeader({ it }, "Retry-After") : std::nullopt;
    const auto pause = value ? ParsePause(*value) : std::nullopt;
    aReport.mUnreadableAvailability = aReport.mUnreadableAvailability || (value && !pause);
    if (pause && *pause > Millis(0)) {
      statement.mPause = std::max(*pause, statement.mPause.value_or(*pause));
    }
  }
}

BackendCodec
NativeBackendCodec()
{
  return { Encode,
           RequestIdOf,
           MatchesDispatch,
           [](const net::HttpResponse& aResponse) {
             return net::FindHeader(aResponse.mHeaders, kRequestIdHeader).has_value();
           },
           Meaning,
           [](const Dispatch&, const net::HttpResponse& aResponse) {
             routes::ServerReport report;
             const auto cold = net::FindHeader(aResponse.mHeaders, "Fighold-Cold-Ms");
             std::uint32_t millis = 0;
             if (cold && std::from_chars(cold->data(), cold->data() + cold->size(), millis).ec ==
                           std::errc()) {
               report.mCold = Millis(millis);
             }
             ReadRate(aResponse.mHeaders, "Fighold-Max-Requests-Per-Second", report);
             ReadAvailability(aResponse, "Fighold-Leaving", report);
             return report;
           } };
}

} // namespace fighold::entry
