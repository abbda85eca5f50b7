#pragma once

#include "fighold/entry/event.hpp"

#include <functional>
#include <optional>

/// Encodes requests to backend servers and decodes their responses, separately from the decisions.
namespace fighold::entry {

/// Functions of one HTTP dialect.
struct BackendCodec
{
  /// Encodes the request to send; the remaining time goes into a header.
  std::function<net::HttpRequest(const Dispatch&, Millis aTimeLeft)> mEncode;
  /// Returns true if a response belongs to the dispatch, false if it is a late response to an
  /// earlier request on the connection.
  std::function<bool(const Dispatch&, const net::HttpResponse&)> mMatchesDispatch;
  /// Classifies a complete response.
  std::function<AnswerMeaning(const Dispatch&, const net::HttpResponse&)> mMeaning;
  /// Reads the load report from a response, if it has one.
  std::function<std::optional<routes::LoadReport>(const net::HttpResponse&)> mLoad;
};

/// @return the dialect of fighold's own interface
BackendCodec
NativeBackendCodec();

} // namespace fighold::entry
