#include "fighold/entry/backend_codec.hpp"

#include <algorithm>

namespace fighold::entry {
namespace {

net::HttpRequest
Encode(const Dispatch& aDispatch, Millis aTimeLeft)
{
  net::HttpRequest request = *aDispatch.mPayload;
  const auto replaced = [](const net::Header& aHeader) {
    return aHeader.mName == "Fighold-Deadline-Ms" || aHeader.mName == "Fighold-Request-Id";
  };
  auto& headers = request.mHeaders;
  headers.erase(std::remove_if(headers.begin(), headers.end(), replaced), headers.end());
  headers.push_back({ "Fighold-Request-Id", std::to_string(aDispatch.mId) });
  headers.push_back({ "Fighold-Deadline-Ms", std::to_string(aTimeLeft.count()) });
  request.mHost.clear();
  return request;
}

/// A backend server may report in a header that it did not run the request, for example because of
/// overload.
AnswerMeaning
Meaning(const Dispatch& /*aDispatch*/, const net::HttpResponse& aResponse)
{
  return net::FindHeader(aResponse.mHeaders, "Fighold-Outcome") == "not-run"
           ? AnswerMeaning::NotRun
           : AnswerMeaning::Result;
}

} // namespace

BackendCodec
NativeBackendCodec()
{
  return { Encode,
           [](const Dispatch&, const net::HttpResponse&) { return true; },
           Meaning,
           [](const net::HttpResponse&) { return std::optional<routes::LoadReport>(); } };
}

} // namespace fighold::entry
