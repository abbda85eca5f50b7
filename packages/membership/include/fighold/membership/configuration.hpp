#pragma once

#include "fighold/core/endpoint.hpp"
#include "fighold/core/id.hpp"
#include "fighold/core/shared_value.hpp"
#include "fighold/plan/plan.hpp"
#include "fighold/routes/route_set.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The replicated configuration: plan, entries, backend servers, drains and shift steps.
namespace fighold::membership {

/// A registered entry process.
struct Entry
{
  Incarnation mIncarnation = 0;
  Endpoint mAddress; ///< address for callers
  RegionId mRegion;
  DataCentreId mDataCentre;
  Version mRegisteredAt = 0; ///< the entry serves only with this version or a later one
  bool mLeaving = false;     ///< planned stop: removed from look-ups, still serving

  friend auto operator<=>(const Entry&, const Entry&) = default;
};

/// An announced backend server.
struct BackendServer
{
  Incarnation mIncarnation = 0;
  ServiceId mService;
  RegionId mRegion;
  DataCentreId mDataCentre;
  Endpoint mAddress;
  std::uint32_t mSlots = 0;       ///< number of requests that it runs concurrently
  std::uint32_t mConnections = 0; ///< maximum number of connections
  bool mLeaving = false;          ///< announced its departure: receives no new requests

  friend auto operator<=>(const BackendServer&, const BackendServer&) = default;
};

/// Split of a service that is in use while it shifts to the plan's split.
struct Shift
{
  std::uint64_t mStep = 0; ///< number of steps since the service was added
  plan::SplitMatrix mInUse;

  friend auto operator<=>(const Shift&, const Shift&) = default;
};

/// Decision on a change.
enum class Verdict : std::uint8_t
{
  Accepted,
  Conflict, ///< another change was applied first
  Refused,  ///< the change is invalid
};

/// First answer to a change; a retry receives it again.
struct ChangeAnswer
{
  Verdict mVerdict = Verdict::Refused;
  Version mVersion = 0;          ///< configuration version after the decision
  std::uint64_t mPlanNumber = 0; ///< number of the plan in use after the decision
  std::string mPlanDigest;
  std::string mMessage;

  friend auto operator<=>(const ChangeAnswer&, const ChangeAnswer&) = default;
};

/// Drains set by operators.
struct Drains
{
  std::set<BackendServerId> mBackendServers;
  std::set<EntryId> mEntries;
  std::set<RegionId> mRegions;
  std::set<DataCentreId> mDataCentres;

  friend auto operator<=>(const Drains&, const Drains&) = default;
};

/// An accepted plan.
struct PlanRecord
{
  std::uint64_t mNumber = 0;
  std::string mDigest;
  Version mVersion = 0; ///< version at which the plan was accepted
  ChangeId mChange;

  friend auto operator<=>(const PlanRecord&, const PlanRecord&) = default;
};

/// The whole configuration at one version. Immutable; a change creates a new one.
struct Configuration
{
  Version mVersion = 0;          ///< log position of the last change that altered what entries see
  SharedValue<plan::Plan> mPlan; ///< number 0: no plan accepted yet
  std::string mPlanDigest;
  SharedValue<routes::RouteSet> mRoutes; ///< number 0: no route set accepted yet
  std::map<EntryId, Entry> mEntries;
  std::map<BackendServerId, BackendServer> mBackendServers;
  std::map<ServiceId, Shift> mShifts;
  Drains mDrains;
  std::map<ChangeId, ChangeAnswer> mAnswers; ///< the newest kMaxAnswers

  /// Incarnations that departed or were replaced; refused until ForgetDeparted.
  std::map<BackendServerId, std::set<Incarnation>> mDeparted;

  /// Servers that were withdrawn: all incarnations up to this one have departed. Refused until
  /// ForgetDeparted. Entries do not need it, since such incarnations are never announced to them.
  std::map<BackendServerId, Incarnation> mWithdrawn;
  std::vector<PlanRecord> mHistory; ///< accepted plans, oldest first; the newest kMaxHistory

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Number of answers kept for retries.
constexpr std::size_t kMaxAnswers = 4096;

/// Maximum size in bytes of the message of a stored answer. The findings of one invalid change can
/// fill as much as the configuration.
constexpr std::size_t kMaxStoredMessage = 512;

/// Number of accepted plans kept as history: three months with one plan a day.
constexpr std::size_t kMaxHistory = 96;

/// @return true if the operator or the plan drains the region
bool
IsDrained(const Configuration& aConfiguration, const RegionId& aId);

/// @return true if the operator drains the data centre
bool
IsDrained(const Configuration& aConfiguration, const DataCentreId& aId);

/// @return true if the operator drains the entry or the entry stops as planned
bool
IsDrained(const Configuration& aConfiguration, const EntryId& aId);

/// @return true if the operator or the plan drains the backend server, or it announced its
/// departure
bool
IsDrained(const Configuration& aConfiguration, const BackendServerId& aId);

/// @return true if the incarnation announced its departure, was withdrawn or was replaced
bool
HasDeparted(const Configuration& aConfiguration,
            const BackendServerId& aId,
            Incarnation aIncarnation);

/// @return true if there is a record that names the incarnation as departed, or as the last one
/// that was withdrawn
bool
IsDepartureRecorded(const Configuration& aConfiguration,
                    const BackendServerId& aId,
                    Incarnation aIncarnation);

} // namespace fighold::membership
