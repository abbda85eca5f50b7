#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// At-most-once claims: what askers (entries) and holders (control processes) tell each other.
namespace fighold::claims {

/// Time for which a key stays bound to the request that first claimed it.
constexpr Millis kRetention{ 600'000 };

/// Longest time from the first ask to the dispatch that rests on it. A restarted holder grants
/// nothing for this long, so that no majority that counts a forgotten grant is still in use.
constexpr Millis kValidity{ 10'000 };

/// Largest first answer that is kept for a resend.
constexpr std::size_t kMaxStoredResponseBytes = 16U << 10U;

/// @return a time that is not shorter than aTime on a clock that runs 1% faster or slower
constexpr Millis
WithClockAllowance(Millis aTime)
{
  return aTime + aTime / 50;
}

/// One request's try to claim a key; an entry process never uses a number twice.
struct Attempt
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  std::uint64_t mNumber = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

/// The first answer to a request, kept for resends.
struct StoredResponse
{
  unsigned mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  friend auto operator<=>(const StoredResponse&, const StoredResponse&) = default;
};

/// @return bytes of headers and body
std::size_t
SizeOf(const StoredResponse& aAnswer);

/// Entry to holder: grant this key to this attempt.
struct ClaimRequest
{
  std::string mKey;
  std::string mDigest; ///< of the request that the key is bound to
  Attempt mAttempt;

  friend auto operator<=>(const ClaimRequest&, const ClaimRequest&) = default;
};

/// What a holder says to an ask.
enum class ReplyCode : std::uint8_t
{
  Granted,   ///< this attempt holds the key here
  Held,      ///< another attempt holds the key here
  Answered,  ///< another attempt held the key, and its whole answer is known
  Mismatch,  ///< the key is bound to a different request
  Abstained, ///< the holder restarted and does not know yet what it granted
  Full,      ///< the holder keeps as many keys as it may
  Released,  ///< the attempt gave the key back before
};

/// Holder to entry.
struct ClaimReply
{
  Attempt mAttempt;
  ReplyCode mCode = ReplyCode::Abstained;
  Attempt mOwner; ///< attempt that holds the key here, when Held
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const ClaimReply&, const ClaimReply&) = default;
};

/// Entry to holder: what became of an attempt.
struct AttemptResult
{
  std::string mKey;
  Attempt mAttempt;
  bool mReleased = false; ///< the request surely was not run and will not be under this attempt
  std::optional<StoredResponse> mResponse;

  friend auto operator<=>(const AttemptResult&, const AttemptResult&) = default;
};

/// Restarted holder to another holder: send the keys after this one.
struct CopyRequest
{
  std::uint64_t mStartId = 0; ///< start of the holder that asks; echoed
  std::string mAfterKey;      ///< empty: from the first key

  friend auto operator<=>(const CopyRequest&, const CopyRequest&) = default;
};

/// A key as one holder knows it.
struct CopiedClaim
{
  std::string mKey;
  std::string mDigest;
  std::optional<Attempt> mOwner; ///< none: the key is blocked
  Millis mAge{ 0 };

  friend auto operator<=>(const CopiedClaim&, const CopiedClaim&) = default;
};

/// Answer to CopyRequest. First answers are left out; the other holders still give them.
struct CopyPage
{
  std::uint64_t mStartId = 0; ///< of the ask
  std::string mAfterKey;      ///< of the ask
  bool mIsLast = false;       ///< no keys follow
  std::vector<CopiedClaim> mRecords;

  friend auto operator<=>(const CopyPage&, const CopyPage&) = default;
};

} // namespace fighold::claims
