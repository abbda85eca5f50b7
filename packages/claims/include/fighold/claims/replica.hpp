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
struct ReplicaOptions
{
  ControlId mSelf;
  std::vector<ControlId> mReplicas; ///< all holders, this one included
  std::uint64_t mStartId = 0;       ///< differs for each start of the process
  std::size_t mMaxRecords = 65'536; ///< keys; more are refused
  std::size_t mMaxResponseBytes = std::size_t{ 8 }
                                  << 20U; ///< first answers; the oldest are dropped

  friend auto operator<=>(const ReplicaOptions&, const ReplicaOptions&) = default;
};

/// Whether a holder knows what it granted.
enum class ReplicaStage : std::uint8_t
{
  Waiting, ///< restarted; grants of before may still be counted
  Copying, ///< asks the other holders
  Active,
};

/// A key.
struct ClaimRecord
{
  std::string mDigest;
  std::optional<Attempt> mOwner;
  bool mBlocked = false;       ///< copies disagree about the owner
  std::set<Attempt> mReleased; ///< attempts that gave the key back; a late ask of them is ignored
  std::optional<StoredResponse> mResponse;
  Instant mUpdatedAt{};

  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
};

/// What was copied from one other holder.
struct CopyProgress
{
  std::string mAfterKey;
  bool mDone = false;

  friend auto operator<=>(const CopyProgress&, const CopyProgress&) = default;
};

/// State of a holder.
struct Replica
{
  ReplicaOptions mOptions;
  ReplicaStage mStage = ReplicaStage::Active;
  std::optional<Instant> mStartedAt; ///< first tick after a restart
  Instant mNextCopyRequest{};
  std::map<ControlId, CopyProgress> mCopies;
  std::map<std::string, ClaimRecord> mRecords;
  std::set<std::pair<Instant, std::string>> mByAge;
  std::deque<std::string> mResponseOrder; ///< keys with a kept answer, the oldest first
  std::size_t mResponseBytes = 0;
};

/// @param aOptions settings
/// @param aMayHaveGranted true when a process of this name may have granted claims before
/// @return holder at start; it abstains when it may have forgotten grants
Replica
MakeReplica(ReplicaOptions aOptions, bool aMayHaveGranted);

/// Ends the wait of a holder that is known to have granted nothing before its start.
void
Activate(Replica& aReplica);

/// Decides about an ask.
/// @param aReplica state, changed in place
/// @param aRequest ask of an entry
/// @param aNow monotonic time
/// @return reply to the entry
ClaimReply
ProcessRequest(Replica& aReplica, const ClaimRequest& aRequest, Instant aNow);

/// Notes what became of an attempt. The result of an attempt that does not hold the key is ignored.
void
RecordResult(Replica& aReplica, const AttemptResult& aResult, Instant aNow);

/// Forgets keys whose retention has passed and continues the recovery after a restart.
/// @return asks to send to the other holders
std::vector<std::pair<ControlId, CopyRequest>>
TickReplica(Replica& aReplica, Instant aNow);

/// @return keys after the one named, or nothing while this holder abstains itself
std::optional<CopyPage>
MakeCopyPage(const Replica& aReplica, const CopyRequest& aRequest, Instant aNow);

/// Takes over what another holder knows.
/// @return ask for the next page
std::optional<CopyRequest>
ApplyCopyPage(Replica& aReplica, const ControlId& aFrom, const CopyPage& aPage, Instant aNow);

} // namespace fighold::claims
