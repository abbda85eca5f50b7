#pragma once

#include "fighold/claims/message.hpp"

#include <deque>
#include <map>
#include <set>

/// Decisions of a claim holder; no I/O and no clock.
///
/// A holder grants a key to one attempt only. Two majorities share a holder, so at most one attempt
/// has a majority. A holder that lost its memory grants nothing for kValidity, then copies from a
/// majority of the holders. Any attempt that counted a forgotten grant has been dispatched or has
/// become invalid by then, and its other grants are found in the copies.
namespace fighold::claims {

/// Settings of a holder.
struct HolderOptions
{
  ControlId mSelf;
  std::vector<ControlId> mHolders;                     ///< all holders, this one included
  std::uint64_t mStart = 0;                            ///< differs for each start of the process
  std::size_t mMaxRecords = 65'536;                    ///< keys; more are refused
  std::size_t mMaxKeptBytes = std::size_t{ 8 } << 20U; ///< first answers; the oldest are dropped

  friend auto operator<=>(const HolderOptions&, const HolderOptions&) = default;
};

/// Whether a holder knows what it granted.
enum class HolderStage : std::uint8_t
{
  Waiting, ///< restarted; grants of before may still be counted
  Copying, ///< asks the other holders
  Active,
};

/// A key.
struct Record
{
  std::string mDigest;
  std::optional<Attempt> mOwner;
  bool mBlocked = false;       ///< copies disagree about the owner
  std::set<Attempt> mReleased; ///< attempts that gave the key back; a late ask of them is ignored
  std::optional<KeptAnswer> mAnswer;
  Instant mSince{};

  friend auto operator<=>(const Record&, const Record&) = default;
};

/// What was copied from one other holder.
struct CopyProgress
{
  std::string mAfter;
  bool mDone = false;

  friend auto operator<=>(const CopyProgress&, const CopyProgress&) = default;
};

/// State of a holder.
struct Holder
{
  HolderOptions mOptions;
  HolderStage mStage = HolderStage::Active;
  std::optional<Instant> mStartedAt; ///< first tick after a restart
  Instant mNextCopyAsk{};
  std::map<ControlId, CopyProgress> mCopies;
  std::map<std::string, Record> mRecords;
  std::set<std::pair<Instant, std::string>> mByAge;
  std::deque<std::string> mAnswerOrder; ///< keys with a kept answer, the oldest first
  std::size_t mKeptBytes = 0;
};

/// @param aOptions settings
/// @param aMayHaveGranted true when a process of this name may have granted claims before
/// @return holder at start; it abstains when it may have forgotten grants
Holder
MakeHolder(HolderOptions aOptions, bool aMayHaveGranted);

/// Ends the wait of a holder that is known to have granted nothing before its start.
void
Activate(Holder& aHolder);

/// Decides about an ask.
/// @param aHolder state, changed in place
/// @param aAsk ask of an entry
/// @param aNow monotonic time
/// @return reply to the entry
Reply
Decide(Holder& aHolder, const Ask& aAsk, Instant aNow);

/// Notes what became of an attempt. The result of an attempt that does not hold the key is ignored.
void
NoteResult(Holder& aHolder, const Result& aResult, Instant aNow);

/// Forgets keys whose retention has passed and continues the recovery after a restart.
/// @return asks to send to the other holders
std::vector<std::pair<ControlId, CopyAsk>>
TickHolder(Holder& aHolder, Instant aNow);

/// @return keys after the one named, or nothing while this holder abstains itself
std::optional<CopyPage>
MakePage(const Holder& aHolder, const CopyAsk& aAsk, Instant aNow);

/// Takes over what another holder knows.
/// @return ask for the next page
std::optional<CopyAsk>
TakePage(Holder& aHolder, const ControlId& aFrom, const CopyPage& aPage, Instant aNow);

} // namespace fighold::claims
