#include "fighold/core/stop_budget.hpp"

namespace fighold {
namespace {

Duration
Part(Duration aTime, double aShare)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aTime) * aShare);
}

} // namespace

StopBudget
PlanStop(Instant aBegan, Duration aGracePeriod)
{
  return { aBegan,
           aBegan + Part(aGracePeriod, kArrivalFraction),
           aBegan + Part(aGracePeriod, kAnswerFraction),
           aBegan + Part(aGracePeriod, kHandlerFraction),
           aBegan + Part(aGracePeriod, kCloseFraction) };
}

} // namespace fighold
