#pragma once

#include "fighold/net/http.hpp"

#include <functional>
#include <optional>
#include <string>

/// Pages that every daemon has about itself.
namespace fighold::net {

/// @param aRequest request
/// @param aMetrics text of the metrics, called only when they are asked for
/// @return "/healthz" or "/metrics", or nothing for another target
std::optional<HttpResponse>
ProcessPage(const HttpRequest& aRequest, const std::function<std::string()>& aMetrics);

} // namespace fighold::net
