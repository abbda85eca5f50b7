#pragma once

#include "fighold/claims/message.hpp"

#include <map>
#include <variant>

/// Client side of the claim protocol: claims idempotency keys for the requests of one entry. Does
/// no I/O and reads no clock.
namespace fighold::claims {

/// Maximum time that a request waits for its claim.
constexpr Millis kClaimTimeout{ 1500 };

/// Settings of a client.
struct ClientOptions
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  std::vector<ControlId> mReplicas; ///< all replicas
  std::size_t mMaxPending = 4096;   ///< maximum number of undecided and released attempts

  friend auto operator<=>(const ClientOptions&, const ClientOptions&) = default;
};

/// Event: a request needs a claim. The number is never reused in this process.
struct StartClaim
{
  std::uint64_t mNumber = 0;
  std::string mKey;
  std::string mDigest;
  Instant mDeadline{}; ///< the request's deadline

  friend auto operator<=>(const StartClaim&, const StartClaim&) = default;
};

/// Event: a replica replied.
struct ReplyReceived
{
  ControlId mFrom;
  ClaimReply mReply;

  friend auto operator<=>(const ReplyReceived&, const ReplyReceived&) = default;
};

/// Event: a request ended after its claim was requested.
struct RequestEnded
{
  std::uint64_t mNumber = 0;
  bool mMayHaveRun = true;                 ///< false: was not run and will not be
  std::optional<StoredResponse> mResponse; ///< complete response, for retries

  friend auto operator<=>(const RequestEnded&, const RequestEnded&) = default;
};

/// Event: time passed.
struct ClientTick
{
  friend auto operator<=>(const ClientTick&, const ClientTick&) = default;
};

using ClientEvent = std::variant<StartClaim, ReplyReceived, RequestEnded, ClientTick>;

/// Effect: send a message to a replica.
struct Send
{
  ControlId mTo;
  std::variant<ClaimRequest, AttemptResult> mBody;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// Outcome of a claim: what may be done with the request.
enum class ClaimOutcome : std::uint8_t
{
  Granted,    ///< dispatch once, before mValidUntil
  Replay,     ///< return the stored response of an earlier request with this key
  Dispatched, ///< an earlier request with this key may have run
  Mismatch,   ///< the key is bound to a different request
  Undecided,  ///< no majority in time; this request is not dispatched
};

/// Effect: the outcome of a claim; emitted once for each StartClaim, unless RequestEnded comes
/// first.
struct ClaimDecided
{
  std::uint64_t mNumber = 0;
  ClaimOutcome mOutcome = ClaimOutcome::Undecided;
  Instant mValidUntil{}; ///< set when Granted
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const ClaimDecided&, const ClaimDecided&) = default;
};

using ClientEffect = std::variant<Send, ClaimDecided>;

/// An undecided attempt.
struct PendingClaim
{
  ClaimRequest mRequest;
  Instant mRequestedAt{};
  Instant mDeadline{};
  Instant mNextSend{};
  std::map<ControlId, ClaimReply> mReplies;
};

/// An attempt that released its key. The release is resent, since a lost one would leave the key
/// owned by the attempt.
struct ReleasedClaim
{
  AttemptResult mResult;
  Instant mNextSend{};
  Instant mResendUntil{};
};

/// State of a client.
struct Client
{
  ClientOptions mOptions;
  std::map<std::uint64_t, PendingClaim> mPending;
  std::map<std::uint64_t, ClaimRequest> mGranted;
  std::map<std::uint64_t, ReleasedClaim> mReleasedClaims;
  std::optional<Instant> mNextTick; ///< time of the earliest resend or deadline, or earlier
};

/// Handles one event.
/// @param aClient state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, to be executed in this order
std::vector<ClientEffect>
Step(Client& aClient, const ClientEvent& aEvent, Instant aNow);

/// @return true when no further claim can be started for now
bool
IsFull(const Client& aClient);

/// @return time at which the next ClientTick is due, or nothing when none is
std::optional<Instant>
NextClientTick(const Client& aClient);

} // namespace fighold::claims
