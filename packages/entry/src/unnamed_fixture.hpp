#pragma once

#include "backend_fixture.hpp"
#include "faulty_server.hpp"

#include <string>

namespace fighold::entry {

/// The backend thread with a dialect whose health requests have no identifier; answers to requests
/// that name none cannot be used.
struct UnnamedHealthFixture : BackendFixture
{
  UnnamedHealthFixture()
    : BackendFixture({}, Codec())
  {
  }

  static BackendCodec Codec()
  {
    BackendCodec codec = NativeBackendCodec();
    codec.mRequestId = [](const Dispatch& aDispatch) {
      return aDispatch.mId == 0 ? std::string() : std::to_string(aDispatch.mId);
    };
    codec.mEncode = [encode = codec.mEncode](const Dispatch& aDispatch, Millis aLeft) {
      net::HttpRequest request = encode(aDispatch, aLeft);
      if (aDispatch.mId == 0) {
        request.mHeaders.clear();
      }
      return request;
    };
    codec.mMatchesDispatch = [](const Dispatch& aDispatch, const net::HttpResponse& aResponse) {
      const auto id = net::FindHeader(aResponse.mHeaders, "Fighold-Request-Id");
      return !id || *id == std::to_string(aDispatch.mId);
    };
    codec.mMeaning = [](const Dispatch& aDispatch, const net::HttpResponse& aResponse, bool) {
      const auto id = net::FindHeader(aResponse.mHeaders, "Fighold-Request-Id");
      return id == std::to_string(aDispatch.mId) ? AnswerMeaning::Result : AnswerMeaning::Unusable;
    };
    return codec;
  }

  DispatchDone Ask(const testing::FaultyServer& aServer, RequestId aId)
  {
    Dispatch dispatch = MakeDispatch(aServer.Address(), kTimeout, kTimeout);
    dispatch.mId = aId;
    Push(dispatch);
    return Pop();
  }
};

} // namespace fighold::entry
