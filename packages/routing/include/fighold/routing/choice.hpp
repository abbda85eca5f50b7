#pragma once

#include "fighold/core/availability.hpp"
#include "fighold/core/decision_record.hpp"
#include "fighold/core/outcome.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Load balancing within a group: choice of a backend server, slow start and outlier ejection.
namespace fighold::routing {

/// Age from which a load report has no weight. The entry's own request counts are always current.
constexpr Millis kMaxReportAge{ 2000 };

/// Slow start: time over which the load of a newly started backend server rises to that of the
/// others.
constexpr Millis kSlowStartWindow{ 5000 };

/// Factor on the cost of a backend server at the beginning of its slow start; it falls to 1 over
/// kSlowStartWindow.
constexpr double kSlowStartCostFactor = 4;

/// Number of consecutive overdue or failed requests after which a backend server is ejected. A
/// single one is most often a straggler.
constexpr std::uint32_t kConsecutiveFailuresToEject = 2;

/// First and longest ejection time; each consecutive ejection lasts twice as long as the previous
/// one.
constexpr Millis kBaseEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 16'000 };

/// At most one in this many backend servers of a group is ejected, to leave enough servers for the
/// load.
constexpr std::size_t kServersPerEjection = 3;

/// Sum of the entries' shares of a server's slots, as a percentage of its slots. With 100, requests
/// of one entry would wait while slots in the shares of other entries are free.
constexpr std::uint32_t kSlotOvercommitPercent = 150;

/// Reason that is recorded if no server was chosen because the request has to wait for a free slot.
inline constexpr std::string_view kNoFreeSlot = "no-free-slot";

/// State of one backend server as seen by an entry.
struct ServerState
{
  Instant mAliveUntil{};                   ///< end of the backend server's lease
  std::uint32_t mOutstanding = 0;          ///< requests of this entry in flight at the server
  Duration mLatency{};                     ///< moving average of the time from dispatch to answer
  std::uint32_t mReportedLoad = 0;         ///< requests of all entries, by its last report
  Instant mReportedAt{};                   ///< time of that report
  Instant mSlowStartSince{};               ///< start of service, if observed; else zero
  std::uint32_t mConsecutiveFailures = 0;  ///< overdue or failed requests
  std::uint32_t mConsecutiveEjections = 0; ///< without an answer in time between them
  Instant mEjectedUntil{};
  Availability mAvailability{}; ///< what its answers to this entry said about further requests

  friend auto operator<=>(const ServerState&, const ServerState&) = default;
};

using ServerStates = std::map<BackendServerId, ServerState>;

/// Outcome of a request that was sent to a backend server.
enum class DispatchOutcome : std::uint8_t
{
  Answered,
  Refused, ///< load shedding by the server, which is not a fault
  Failed,  ///< no connection, or an incomplete answer
  Overdue, ///< still running after the hedge delay
};

/// Properties of a request that the choice depends on.
struct ChoiceRequest
{
  RequestClass mClass = RequestClass::Standard;
  std::set<BackendServerId> mAlreadyTried; ///< not chosen again
  std::uint32_t mSharingEntries = 1;       ///< entries that share the slots of each server
  bool mMayWait = false;                   ///< true: without a free slot no server is chosen

  friend auto operator<=>(const ChoiceRequest&, const ChoiceRequest&) = default;
};

/// The chosen server, the reason of the choice or of its absence, and the rejected servers.
struct Choice
{
  std::optional<Candidate> mCandidate;
  std::string mReason;
  std::vector<Rejected> mRejected;

  friend auto operator<=>(const Choice&, const Choice&) = default;
};

/// @return number of requests that each of aEntries entries may have in flight at a server with
/// aSlots slots
std::uint32_t
SlotsPerEntry(std::uint32_t aSlots, std::uint32_t aEntries);

/// @return estimated number of requests at the server: those of this entry, and those of other
/// entries by the last report, which loses weight with its age
double
EstimatedLoad(const ServerState& aState, Instant aNow);

/// Picks two random servers and chooses the one with the lower cost (power of two choices). Servers
/// that are ejected, were already tried or have an expired lease are left out; servers with a free
/// slot are preferred.
/// @param aCandidates servers of the group
/// @param aStates state of the servers
/// @param aRequest request
/// @param aFirstDraw, aSecondDraw uniform random numbers
/// @param aNow time of the decision
/// @return the choice
Choice
ChooseBackendServer(const std::vector<Candidate>& aCandidates,
                    const ServerStates& aStates,
                    const ChoiceRequest& aRequest,
                    std::uint64_t aFirstDraw,
                    std::uint64_t aSecondDraw,
                    Instant aNow);

/// Updates latency, consecutive failures and ejection after a request.
/// @param aState state of the server before
/// @param aOutcome outcome of the request
/// @param aLatency time since its dispatch
/// @param aNow time of the outcome
/// @return the updated state; mOutstanding is unchanged and maintained by the caller
ServerState
RecordResult(const ServerState& aState, DispatchOutcome aOutcome, Duration aLatency, Instant aNow);

} // namespace fighold::routing
