#pragma once

#include "fighold/claims/message.hpp"

#include <map>
#include <variant>

/// Decisions of an asker, which claims keys for the requests of one entry; no I/O and no clock.
namespace fighold::claims {

/// Longest time that a request waits for its claim.
constexpr Millis kAskTimeout{ 1500 };

/// Settings of an asker.
struct AskerOptions
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  std::vector<ControlId> mHolders; ///< all holders
  std::size_t mMaxPending = 4096;  ///< attempts that are undecided or given back

  friend auto operator<=>(const AskerOptions&, const AskerOptions&) = default;
};

/// Claim a key. The number is never used again in this process.
struct Begin
{
  std::uint64_t mNumber = 0;
  std::string mKey;
  std::string mDigest;
  Instant mUntil{}; ///< the request's deadline

  friend auto operator<=>(const Begin&, const Begin&) = default;
};

/// A holder replied.
struct Replied
{
  ControlId mFrom;
  Reply mReply;

  friend auto operator<=>(const Replied&, const Replied&) = default;
};

/// A request ended after its claim was asked for.
struct Finish
{
  std::uint64_t mNumber = 0;
  bool mRun = true;                  ///< false: surely not run, and will not be
  std::optional<KeptAnswer> mAnswer; ///< whole answer, for resends

  friend auto operator<=>(const Finish&, const Finish&) = default;
};

/// Time passed.
struct AskerTick
{
  friend auto operator<=>(const AskerTick&, const AskerTick&) = default;
};

using AskerEvent = std::variant<Begin, Replied, Finish, AskerTick>;

/// Send a message to a holder.
struct Send
{
  ControlId mTo;
  std::variant<Ask, Result> mBody;

  friend auto operator<=>(const Send&, const Send&) = default;
};

/// What a request may do.
enum class Judgement : std::uint8_t
{
  Granted,     ///< dispatch once, before mValidUntil
  FirstAnswer, ///< an earlier request with this key was answered; give its answer
  Dispatched,  ///< an earlier request with this key may have been run
  Mismatch,    ///< the key belongs to a different request
  NotDecided,  ///< no majority in time; this request is not dispatched
};

/// Judgement about a request; given once for each Begin, unless Finish comes first.
struct Judged
{
  std::uint64_t mNumber = 0;
  Judgement mJudgement = Judgement::NotDecided;
  Instant mValidUntil{}; ///< when Granted
  std::optional<KeptAnswer> mAnswer;

  friend auto operator<=>(const Judged&, const Judged&) = default;
};

using AskerEffect = std::variant<Send, Judged>;

/// An attempt that is not decided.
struct PendingAsk
{
  Ask mAsk;
  Instant mBegun{};
  Instant mUntil{};
  Instant mNextSend{};
  std::map<ControlId, Reply> mReplies;
};

/// An attempt that gave its key back; repeated, because a lost message would block the key.
struct GivenBack
{
  Result mResult;
  Instant mNextSend{};
  Instant mUntil{};
};

/// State of an asker.
struct Asker
{
  AskerOptions mOptions;
  std::map<std::uint64_t, PendingAsk> mPending;
  std::map<std::uint64_t, Ask> mGranted;
  std::map<std::uint64_t, GivenBack> mGivenBack;
  std::optional<Instant> mNextDue; ///< no message or time limit is due before
};

/// Handles one event.
/// @param aAsker state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<AskerEffect>
Step(Asker& aAsker, const AskerEvent& aEvent, Instant aNow);

/// @return true when no more keys can be claimed for now
bool
IsFull(const Asker& aAsker);

/// @return time by which the next AskerTick is due, or nothing when none is
std::optional<Instant>
NextAskerTick(const Asker& aAsker);

} // namespace fighold::claims
