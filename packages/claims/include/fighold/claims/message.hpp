#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Messages of the claim protocol, which dispatches a request at most once per idempotency key.
/// Clients (in entries) claim a key from a majority of the replicas (control processes).
namespace fighold::claims {

/// Time for which a key stays bound to the request that first claimed it.
constexpr Millis kRetention{ 600'000 };

/// Maximum time from the first claim request to the dispatch that relies on it. A restarted replica
/// grants nothing for this long. After that, no majority that includes one of its forgotten grants
/// is still in use.
constexpr Millis kValidity{ 10'000 };

/// Maximum size of a response that is stored for retries.
constexpr std::size_t kMaxStoredResponseBytes = 16U << 10U;

/// @return a duration that is at least aTime by any clock that runs up to 1% faster or slower
constexpr Millis
WithClockAllowance(Millis aTime)
{
  return aTime + aTime / 50;
}

/// Attempt of one request to claim a key. An entry process never uses a number twice.
struct Attempt
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  std::uint64_t mNumber = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

/// The response to the first request with a key, stored for retries.
struct StoredResponse
{
  unsigned mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  friend auto operator<=>(const StoredResponse&, const StoredResponse&) = default;
};

/// @return size of headers and body in bytes
std::size_t
SizeOf(const StoredResponse& aResponse);

/// Client to replica: asks to grant a key to an attempt.
struct ClaimRequest
{
  std::string mKey;
  std::string mDigest; ///< of the request, see RequestDigest
  Attempt mAttempt;

  friend auto operator<=>(const ClaimRequest&, const ClaimRequest&) = default;
};

/// A replica's decision on a claim request.
enum class ReplyCode : std::uint8_t
{
  Granted,   ///< this attempt owns the key on this replica
  Held,      ///< another attempt owns the key on this replica
  Answered,  ///< another attempt owned the key, and its response is stored
  Mismatch,  ///< the key is bound to a different request
  Abstained, ///< the replica restarted and does not know whether it granted this key
  Full,      ///< the replica has reached its limit of keys
  Released,  ///< the attempt released the key before
};

/// Replica to client.
struct ClaimReply
{
  Attempt mAttempt;
  ReplyCode mCode = ReplyCode::Abstained;
  Attempt mOwner; ///< owner of the key on this replica, when Held, Answered or Mismatch
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const ClaimReply&, const ClaimReply&) = default;
};

/// Client to replica: result of an attempt.
struct AttemptResult
{
  std::string mKey;
  Attempt mAttempt;
  bool mReleased = false; ///< the request was not run and will not be under this attempt
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const AttemptResult&, const AttemptResult&) = default;
};

/// Restarted replica to another replica: asks for the claims after a key.
struct CopyRequest
{
  std::uint64_t mStartId = 0; ///< the requester's ReplicaOptions::mStartId; echoed
  std::string mAfterKey;      ///< empty: from the first key on

  friend auto operator<=>(const CopyRequest&, const CopyRequest&) = default;
};

/// A claim as one replica knows it.
struct CopiedClaim
{
  std::string mKey;
  std::string mDigest;
  std::optional<Attempt> mOwner; ///< nothing: the key is blocked
  Millis mAge{ 0 };

  friend auto operator<=>(const CopiedClaim&, const CopiedClaim&) = default;
};

/// Reply to CopyRequest. Stored responses are left out; the other replicas still return them.
struct CopyPage
{
  std::uint64_t mStartId = 0; ///< of the request
  std::string mAfterKey;      ///< of the request
  bool mIsLast = false;       ///< no keys follow
  std::vector<CopiedClaim> mRecords;

  friend auto operator<=>(const CopyPage&, const CopyPage&) = default;
};

} // namespace fighold::claims
