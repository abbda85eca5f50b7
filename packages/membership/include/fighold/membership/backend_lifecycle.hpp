#pragma once

#include "fighold/chart/bound_chart.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>
#include <filesystem>
#include <string>

/// Life of a backend server as a control process sees it (charts/backend_lease.scxml).
namespace fighold::membership {

/// Time after the announcement during which a backend server counts as cold.
constexpr Millis kWarmUp{ 5000 };

/// Time for which a backend server that left or expired stays in the configuration, so that a
/// short loss of contact costs no log entry.
constexpr Millis kRemoveBackendServerAfter{ 30'000 };

/// Time for which an incarnation that departed or was replaced is refused. It is far longer than
/// any entry keeps an announcement (3 s) or any connection keeps a message.
constexpr std::chrono::minutes kRefuseDepartedFor{ 10 };

/// States of charts/backend_lease.scxml, in the order of the registry.
enum class BackendStage : std::uint8_t
{
  Announced,
  Warming,
  Serving,
  Leaving,
  Expired,
  Gone,
};

/// Events of the chart, in the order of the registry.
enum class BackendEvent : std::uint8_t
{
  Renewed,
  Departed,
  Tick,
};

/// What is known of one incarnation of a backend server.
struct BackendLifecycle
{
  Incarnation mIncarnation = 0;
  BackendStage mStage = BackendStage::Announced;
  Instant mFirstSeen{};  ///< first heard of here
  Instant mAliveUntil{}; ///< end of its lease, by renewals only
  Instant mEndedAt{};    ///< left or expired
  std::uint32_t mInFlight = 0;

  friend auto operator<=>(const BackendLifecycle&, const BackendLifecycle&) = default;
};

/// Working copy of one step.
struct BackendScope
{
  BackendLifecycle& mLifecycle;
  Instant mNow;
  Instant mUntil{};            ///< with Renewed: end of the renewed lease
  std::uint32_t mInFlight = 0; ///< with Renewed: load that was reported
};

using BackendChart = chart::BoundChart<BackendScope>;

/// @param aFolder folder of the chart files
/// @return bound chart
/// @throws FindingsError with every finding
BackendChart
LoadBackendChart(const std::filesystem::path& aFolder);

/// @param aIncarnation incarnation that was announced
/// @param aNow time of the first news of it
/// @return life at its start; it has no lease until a renewal is heard, since the announcement may
/// be late
BackendLifecycle
StartLifecycle(Incarnation aIncarnation, Instant aNow);

/// @param aUntil end of the renewed lease; an older renewal changes nothing
/// @return life after a renewal
BackendLifecycle
AfterRenewal(const BackendChart& aChart,
             BackendLifecycle aLifecycle,
             Instant aUntil,
             std::uint32_t aInFlight,
             Instant aNow);

/// @return life after the departure was committed
BackendLifecycle
AfterDeparture(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow);

/// @return life after time passed
BackendLifecycle
AfterTick(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow);

/// @return true while the backend server may receive new work
bool
IsAlive(const BackendLifecycle& aLifecycle, Instant aNow);

/// @return name of a stage, as in the chart
std::string
StageName(BackendStage aStage);

} // namespace fighold::membership
