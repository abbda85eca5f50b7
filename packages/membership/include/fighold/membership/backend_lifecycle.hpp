#pragma once

#include "fighold/chart/bound_chart.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>
#include <filesystem>
#include <string>

/// Lifecycle of a backend server as a control process sees it (charts/backend_lease.scxml).
namespace fighold::membership {

/// Time after the announcement during which the caches of a backend server count as cold.
constexpr Millis kWarmUp{ 5000 };

/// Time for which a backend server that departed or expired stays in the configuration. A shorter
/// loss of contact needs no log entry.
constexpr Millis kRemoveBackendServerAfter{ 30'000 };

/// Time for which a departed or replaced incarnation is refused. It is far longer than an entry
/// holds an announcement (3 s) or a connection delays a message.
constexpr std::chrono::minutes kRefuseDepartedFor{ 10 };

/// States of charts/backend_lease.scxml, in the order of the chart registry.
enum class BackendStage : std::uint8_t
{
  Announced,
  Warming,
  Serving,
  Leaving,
  Expired,
  Gone,
};

/// Events of the chart, in the order of the chart registry.
enum class BackendEvent : std::uint8_t
{
  Renewed,
  Departed,
  Tick,
};

/// Lifecycle of one incarnation of a backend server.
struct BackendLifecycle
{
  Incarnation mIncarnation = 0;
  BackendStage mStage = BackendStage::Announced;
  Instant mFirstSeen{};        ///< when this control process first saw it
  Instant mAliveUntil{};       ///< end of its lease; set by renewals only
  Instant mEndedAt{};          ///< when it departed or expired
  std::uint32_t mInFlight = 0; ///< last reported load

  friend auto operator<=>(const BackendLifecycle&, const BackendLifecycle&) = default;
};

/// Data that the guards of the chart read and its actions change during one event.
struct BackendScope
{
  BackendLifecycle& mLifecycle;
  Instant mNow;
  Instant mLeaseEnd{};         ///< with Renewed: end of the renewed lease
  std::uint32_t mInFlight = 0; ///< with Renewed: reported load
};

using BackendChart = chart::BoundChart<BackendScope>;

/// @param aFolder folder of the charts
/// @return chart bound to its functions
/// @throws FindingsError with every finding
BackendChart
LoadBackendChart(const std::filesystem::path& aFolder);

/// @param aIncarnation incarnation that was announced
/// @param aNow time at which it was first seen
/// @return initial lifecycle; it has no lease before the first renewal, since the announcement may
/// be late
BackendLifecycle
StartLifecycle(Incarnation aIncarnation, Instant aNow);

/// @param aLeaseEnd end of the renewed lease; a renewal with an earlier end changes
/// neither lease nor load
/// @return lifecycle after a renewal
BackendLifecycle
AfterRenewal(const BackendChart& aChart,
             BackendLifecycle aLifecycle,
             Instant aLeaseEnd,
             std::uint32_t aInFlight,
             Instant aNow);

/// @return lifecycle after the departure was committed
BackendLifecycle
AfterDeparture(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow);

/// @return lifecycle after the transitions due at aNow
BackendLifecycle
AfterTick(const BackendChart& aChart, BackendLifecycle aLifecycle, Instant aNow);

/// @return true while the backend server may receive new requests
bool
IsAlive(const BackendLifecycle& aLifecycle, Instant aNow);

/// @return name of the state in the chart
std::string
StageName(BackendStage aStage);

} // namespace fighold::membership
