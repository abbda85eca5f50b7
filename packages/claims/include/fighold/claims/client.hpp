#pragma once

#include "fighold/claims/message.hpp"

#include <map>
#include <variant>

/// Decisions of an asker, which claims keys for the requests of one entry; no I/O and no clock.
namespace fighold::claims {

/// Longest time that a request waits for its claim.
constexpr Millis kClaimTimeout{ 1500 };

/// Settings of an asker.
struct ClientOptions
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  std::vector<ControlId> mReplicas; ///< all holders
  std::size_t mMaxPending = 4096;   ///< attempts that are undecided or given back

  friend auto operator<=>(const ClientOptions&, const ClientOptions&) = default;
};

/// Claim a key. The number is never used again in this process.
struct StartClaim
{
  std::uint64_t mNumber = 0;
  std::string mKey;
  std::string mDigest;
  Instant mUntil{}; ///< the request's deadline

  friend auto operator<=>(const StartClaim&, const StartClaim&) = default;
};

/// A holder replied.
struct ReplyReceived
{
  ControlId mFrom;
  ClaimReply mReply;

  friend auto operator<=>(const ReplyReceived&, const ReplyReceived&) = default;
};

/// A request ended after its claim was asked for.
struct RequestEnded
{
  std::uint64_t mNumber = 0;
  bool mMayHaveRun = true;                 ///< false: surely not run, and will not be
  std::optional<StoredResponse> mResponse; ///< whole answer, for resends

  friend auto operator<=>(const RequestEnded&, const RequestEnded&) = default;
};

/// Time passed.
struct ClientTick
{
  friend auto operator<=>(const ClientTick&, const ClientTick&) = default;
};

using ClientEvent = std::variant<StartClaim, ReplyReceived, RequestEnded, ClientTick>;

/// Send a message to a holder.
struct Send
{
  ControlId mTo;
  std::variant<ClaimRequest, AttemptResult> mBody;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// What a request may do.
enum class ClaimOutcome : std::uint8_t
{
  Granted,    ///< dispatch once, before mValidUntil
  Replay,     ///< an earlier request with this key was answered; give its answer
  Dispatched, ///< an earlier request with this key may have been run
  Mismatch,   ///< the key belongs to a different request
  Undecided,  ///< no majority in time; this request is not dispatched
};

/// Judgement about a request; given once for each Begin, unless Finish comes first.
struct ClaimDecided
{
  std::uint64_t mNumber = 0;
  ClaimOutcome mOutcome = ClaimOutcome::Undecided;
  Instant mValidUntil{}; ///< when Granted
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const ClaimDecided&, const ClaimDecided&) = default;
};

using ClientEffect = std::variant<Send, ClaimDecided>;

/// An attempt that is not decided.
struct PendingClaim
{
  ClaimRequest mRequest;
  Instant mRequestedAt{};
  Instant mUntil{};
  Instant mNextSend{};
  std::map<ControlId, ClaimReply> mReplies;
};

/// An attempt that gave its key back; repeated, because a lost message would block the key.
struct ReleasedClaim
{
  AttemptResult mResult;
  Instant mNextSend{};
  Instant mUntil{};
};

/// State of an asker.
struct Client
{
  ClientOptions mOptions;
  std::map<std::uint64_t, PendingClaim> mPending;
  std::map<std::uint64_t, ClaimRequest> mGranted;
  std::map<std::uint64_t, ReleasedClaim> mReleasedClaims;
  std::optional<Instant> mNextDue; ///< no message or time limit is due before
};

/// Handles one event.
/// @param aClient state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<ClientEffect>
Step(Client& aClient, const ClientEvent& aEvent, Instant aNow);

/// @return true when no more keys can be claimed for now
bool
IsFull(const Client& aClient);

/// @return time by which the next ClientTick is due, or nothing when none is
std::optional<Instant>
NextClientTick(const Client& aClient);

} // namespace fighold::claims
