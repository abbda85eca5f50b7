#pragma once

#include "fighold/entry/event.hpp"

#include <functional>
#include <optional>

/// Encodes requests to backend servers and decodes their answers, separately from the decisions.
namespace fighold::entry {

/// Functions of one HTTP dialect.
struct BackendCodec
{
  /// Encodes the request to send; the remaining time goes into a header.
  std::function<net::HttpRequest(const Dispatch&, Millis aLeft)> mEncode;
  /// Tells whether an answer belongs to the dispatch and is not a late one of an earlier request.
  std::function<bool(const Dispatch&, const net::HttpResponse&)> mMatchesDispatch;
  /// Classifies an answer.
  std::function<AnswerMeaning(const Dispatch&, const net::HttpResponse&)> mMeaning;
  /// Reads the load report that came with an answer.
  std::function<std::optional<routes::LoadReport>(const net::HttpResponse&)> mLoad;
};

/// @return the dialect of fighold's own interface
BackendCodec
NativeBackendCodec();

} // namespace fighold::entry
