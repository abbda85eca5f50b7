#include "fighold/net/process_pages.hpp"

namespace fighold::net {

std::optional<HttpResponse>
ProcessPage(const HttpRequest& aRequest, const std::function<std::string()>& aMetrics)
{
  if (aRequest.mTarget == "/healthz") {
    return HttpResponse{ 200, { { "Content-Type", "text/plain" } }, "alive\n" };
  }
  if (aRequest.mTarget == "/metrics") {
    return HttpResponse{ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, aMetrics() };
  }
  return std::nullopt;
}

} // namespace fighold::net
