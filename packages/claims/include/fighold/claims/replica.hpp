#pragma once

#include "fighold/claims/message.hpp"

#include <deque>
#include <map>
#include <set>

/// Replica side of the claim protocol. Does no I/O and reads no clock.
///
/// A replica grants a key to one attempt only. Any two majorities share a replica, so at most one
/// attempt obtains a majority. Grants are not persisted: a restarted replica grants nothing for
/// kValidity and then copies the claims of a majority of the replicas. By then, every attempt that
/// counted a forgotten grant has been dispatched or has expired, and its other grants are in the
/// copies.
namespace fighold::claims {

/// Settings of a replica.
struct ReplicaOptions
{
  ControlId mSelf;
  std::vector<ControlId> mReplicas; ///< all replicas, including this one
  std::uint64_t mStartId = 0;       ///< unique for each start of the process
  std::size_t mMaxRecords = 65'536; ///< maximum number of keys; further keys are refused
  std::size_t mMaxResponseBytes = std::size_t{ 8 } << 20U; ///< stored responses; oldest dropped

  friend auto operator<=>(const ReplicaOptions&, const ReplicaOptions&) = default;
};

/// Progress of the recovery after a restart.
enum class ReplicaStage : std::uint8_t
{
  Waiting, ///< restarted; grants from before may still be counted
  Copying, ///< copies the claims of the other replicas
  Active,  ///< grants and refuses requests
};

/// The claim on a key.
struct ClaimRecord
{
  std::string mDigest;
  std::optional<Attempt> mOwner;
  bool mBlocked = false;       ///< the copies name different owners
  std::set<Attempt> mReleased; ///< attempts that released the key; their late requests are refused
  std::optional<StoredResponse> mResponse;
  Instant mUpdatedAt{};

  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Progress of the copy from one other replica.
struct CopyProgress
{
  std::string mAfterKey;
  bool mDone = false;

  friend auto operator<=>(const CopyProgress&, const CopyProgress&) = default;
};

/// State of a replica.
struct Replica
{
  ReplicaOptions mOptions;
  ReplicaStage mStage = ReplicaStage::Active;
  std::optional<Instant> mStartedAt; ///< first tick after a restart
  Instant mNextCopyRequest{};
  std::map<ControlId, CopyProgress> mCopies;
  std::map<std::string, ClaimRecord> mRecords;
  std::set<std::pair<Instant, std::string>> mByAge; ///< keys by mUpdatedAt, to find expired claims
  std::deque<std::string> mResponseOrder;           ///< keys with a stored response, oldest first
  std::size_t mResponseBytes = 0;
};

/// @param aOptions settings
/// @param aMayHaveGranted true if an earlier process of this replica may have granted claims
/// @return replica after its start; it abstains while it may have forgotten grants
Replica
MakeReplica(ReplicaOptions aOptions, bool aMayHaveGranted);

/// Activates a replica that is known to have granted nothing before its start.
void
Activate(Replica& aReplica);

/// Grants or refuses a claim request.
/// @param aReplica state, changed in place
/// @param aRequest request of an entry
/// @param aNow monotonic time
/// @return reply to the entry
ClaimReply
ProcessRequest(Replica& aReplica, const ClaimRequest& aRequest, Instant aNow);

/// Records the result of an attempt. The result of an attempt that does not own the key is ignored,
/// except that its release is remembered.
void
RecordResult(Replica& aReplica, const AttemptResult& aResult, Instant aNow);

/// Removes expired claims and continues the recovery after a restart.
/// @return requests to send to the other replicas
std::vector<std::pair<ControlId, CopyRequest>>
TickReplica(Replica& aReplica, Instant aNow);

/// @return claims after the requested key, or nothing while this replica abstains itself
std::optional<CopyPage>
MakeCopyPage(const Replica& aReplica, const CopyRequest& aRequest, Instant aNow);

/// Merges a page of claims from another replica.
/// @return request for the next page
std::optional<CopyRequest>
ApplyCopyPage(Replica& aReplica, const ControlId& aFrom, const CopyPage& aPage, Instant aNow);

} // namespace fighold::claims
