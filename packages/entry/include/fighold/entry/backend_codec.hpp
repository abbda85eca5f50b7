#pragma once

#include "fighold/entry/event.hpp"

#include <functional>
#include <optional>

/// How requests to backend servers and their answers are written, apart from the decisions about
/// them.
namespace fighold::entry {

/// Functions of one dialect.
struct BackendCodec
{
  /// Makes the request that is sent; the time left goes into a header.
  std::function<net::HttpRequest(const Dispatch&, Millis aLeft)> mEncode;
  /// Tells whether an answer is that of the dispatch, and not a late one of an earlier request.
  std::function<bool(const Dispatch&, const net::HttpResponse&)> mMatchesDispatch;
  /// Tells what an answer means.
  std::function<AnswerMeaning(const Dispatch&, const net::HttpResponse&)> mMeaning;
  /// Reads the load that came with an answer.
  std::function<std::optional<routes::LoadReport>(const net::HttpResponse&)> mLoad;
};

/// @return the dialect of fighold's own interface
BackendCodec
NativeBackendCodec();

} // namespace fighold::entry
