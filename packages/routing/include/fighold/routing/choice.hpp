#pragma once

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

/// The choice of a backend server within a group.
namespace fighold::routing {

/// Age at which a load report no longer counts; own counts are always current.
constexpr Millis kMaxReportAge{ 2000 };

/// Time over which the load of a cold-started backend server rises to that of the others.
constexpr Millis kSlowStartWindow{ 5000 };

/// How many times costlier a backend server seems at its cold start.
constexpr double kSlowStartCostFactor = 4;

/// Overdue or failed requests in a row after which a backend server is ejected. One alone is most
/// often a straggler.
constexpr std::uint32_t kEjectionThreshold = 2;

/// First and longest time of an ejection; each one in a row is twice as long as the one before.
constexpr Millis kBaseEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 16'000 };

/// At most one in kServersPerEjection backend servers of a group is ejected.
constexpr std::size_t kServersPerEjection = 3;

/// Sum of the entries' shares of a server's slots, in percent of its slots. With 100, an entry has
/// to wait while slots of the others' shares are free.
constexpr std::uint32_t kSlotOvercommitPercent = 150;

/// Reason of a choice that has to wait for a slot.
inline constexpr std::string_view kNoFreeSlot = "no-free-slot";

/// What an entry knows of one backend server.
struct ServerState
{
  Instant mAliveUntil{};                   ///< end of the backend server's lease
  std::uint32_t mOutstanding = 0;          ///< requests of this entry that run there
  Duration mLatency{};                     ///< decayed mean time from dispatch to answer
  std::uint32_t mReportedLoad = 0;         ///< load in its last report, requests of all entries
  Instant mReportedAt{};                   ///< when it made the report
  Instant mSlowStartSince{};               ///< when it began to serve, if it was seen to begin
  std::uint32_t mConsecutiveFailures = 0;  ///< overdue or failed requests in a row
  std::uint32_t mConsecutiveEjections = 0; ///< in a row, without a good answer between them
  Instant mEjectedUntil{};

  friend auto operator<=>(const ServerState&, const ServerState&) = default;
};

using ServerStates = std::map<BackendServerId, ServerState>;

/// How a request at a backend server went.
enum class DispatchOutcome : std::uint8_t
{
  Answered,
  Refused, ///< the server shed the request; it is loaded, not faulty
  Failed,  ///< no connection, or no whole answer
  Overdue, ///< still running after the hedge delay
};

/// A request as the choice sees it.
struct ChoiceRequest
{
  RequestClass mClass = RequestClass::Standard;
  std::set<BackendServerId> mAlreadyTried; ///< not chosen again
  std::uint32_t mSharingEntries = 1;       ///< entries that share the slots of each server
  bool mMayWait = false; ///< true: without a free slot nothing is chosen, and the request waits

  friend auto operator<=>(const ChoiceRequest&, const ChoiceRequest&) = default;
};

/// The chosen server, or the reason why there is none, and what was rejected.
struct Choice
{
  std::optional<Candidate> mCandidate;
  std::string mReason;
  std::vector<Rejected> mRejected;

  friend auto operator<=>(const Choice&, const Choice&) = default;
};

/// @return requests that one of aEntries entries may have at a server of aSlots slots
std::uint32_t
SlotShare(std::uint32_t aSlots, std::uint32_t aEntries);

/// @return requests that run at the server: own ones, and those of others as far as the report is
/// young
double
EstimatedLoad(const ServerState& aState, Instant aNow);

/// Chooses the better of two random usable servers.
/// @param aCandidates servers of the group
/// @param aStates state of the servers
/// @param aRequest request
/// @param aFirst, aSecond uniform random numbers
/// @param aNow time of the decision
/// @return the choice
Choice
ChooseBackendServer(const std::vector<Candidate>& aCandidates,
                    const ServerStates& aStates,
                    const ChoiceRequest& aRequest,
                    std::uint64_t aFirst,
                    std::uint64_t aSecond,
                    Instant aNow);

/// @param aState state of the server before
/// @param aResult how the request went
/// @param aLatency time since its dispatch
/// @param aNow time of the result
/// @return state after; the caller counts mOutstanding itself
ServerState
RecordResult(const ServerState& aState, DispatchOutcome aResult, Duration aLatency, Instant aNow);

} // namespace fighold::routing
