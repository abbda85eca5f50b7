#include "cluster_fake.hpp"

#include <algorithm>

namespace fighold::agreement::test {
namespace {

constexpr Millis kStepTime{ 25 };

std::string
EncodeState(const std::vector<std::pair<Index, std::string>>& aApplied)
{
  std::string out;
  for (const auto& [index, payload] : aApplied) {
    out += std::to_string(index) + " " + payload + "\n";
  }
  return out;
}

std::vector<std::pair<Index, std::string>>
DecodeState(const std::string& aState)
{
  std::vector<std::pair<Index, std::string>> applied;
  for (std::size_t at = 0; at < aState.size();) {
    const std::size_t space = aState.find(' ', at);
    const std::size_t end = aState.find('\n', at);
    applied.emplace_back(std::stoull(aState.substr(at, space - at)),
                         aState.substr(space + 1, end - space - 1));
    at = end + 1;
  }
  return applied;
}

/// @return true if the synced state contains the entry, in the log or covered by the snapshot
bool
HoldsEntry(const RecoveredState& aDisk, Index aIndex, Term aTerm)
{
  if (aIndex <= aDisk.mSnapshot->mIndex) {
    return true;
  }
  const std::size_t n = aIndex - aDisk.mSnapshot->mIndex - 1;
  return n < aDisk.mLog.size() && aDisk.mLog[n].mTerm == aTerm;
}

} // namespace

std::uint64_t
Disk::SyncOldestWrite()
{
  const Write write = std::move(mPending.front());
  mPending.pop_front();
  if (write.mTermVote) {
    mDurable.mTermVote = *write.mTermVote;
  }
  if (write.mSnapshot) {
    mDurable.mSnapshot = *write.mSnapshot;
    mDurable.mLog = write.mEntries;
  } else if (!write.mEntries.empty()) {
    const std::size_t keep = write.mEntries.front().mIndex - mDurable.mSnapshot->mIndex - 1;
    REQUIRE(keep <= mDurable.mLog.size());
    mDurable.mLog.resize(keep);
    mDurable.mLog.insert(mDurable.mLog.end(), write.mEntries.begin(), write.mEntries.end());
  }
  return write.mWrite;
}

Cluster::Cluster(std::size_t aSize, std::uint64_t aSeed, std::size_t aConfiguredCount)
  : mRandom(aSeed)
{
  static const auto kChart = LoadRoleChart(FIGHOLD_CHARTS_DIR);
  mOptions.mChart = kChart;
  mOptions.mSnapshotInterval = 8;
  mOptions.mSnapshotChunkSize = 40;
  for (std::size_t n = 1; n <= aSize; ++n) {
    mIds.push_back({ "c" + std::to_string(n) });
    if (n <= aConfiguredCount) {
      mOptions.mConfigured.insert(mIds.back());
    }
  }
  for (const ControlId& it : mIds) {
    mProcesses[it].mDisk.mDurable.mIncarnation = mNextIncarnation++;
    Start(it);
  }
}

ControlId
Cluster::Replace(const ControlId& aId)
{
  Crash(aId);
  mIds.erase(std::find(mIds.begin(), mIds.end(), aId));
  // The configuration lists processes that exist at the time it is written.
  mOptions.mConfigured = { mIds.begin(), mIds.begin() + 3 };
  // This is not the first start of the deployment, so the new process must not bootstrap a group.
  mOptions.mMayBootstrap = false;
  ControlId id{ "n" + std::to_string(mNextIncarnation) };
  mIds.push_back(id);
  mProcesses[id].mDisk.mDurable.mIncarnation = mNextIncarnation++;
  Start(id);
  return id;
}

std::uint32_t
Cluster::RandomBelow(std::uint32_t aBound)
{
  return static_cast<std::uint32_t>(mRandom() % aBound);
}

void
Cluster::Start(const ControlId& aId)
{
  Process& process = mProcesses[aId];
  if (process.mNode) {
    return;
  }
  Options options = mOptions;
  options.mSelf = aId;
  options.mSeed = mRandom();
  process.mNode = std::make_unique<Node>(MakeNode(options, process.mDisk.mDurable));
  process.mSuspended = false;
  process.mApplied = DecodeState(process.mDisk.mDurable.mSnapshot->mState);
  process.mAppliedIndex = process.mDisk.mDurable.mSnapshot->mIndex;
  mCheckedUpTo[aId] = 0;
}

void
Cluster::Crash(const ControlId& aId)
{
  Process& process = mProcesses[aId];
  // A prefix of the unsynced writes may have reached the disk.
  for (std::size_t n = RandomBelow(3); n > 0 && !process.mDisk.mPending.empty(); --n) {
    process.mDisk.SyncOldestWrite();
  }
  process.mDisk.mPending.clear();
  process.mNode.reset();
}

void
Cluster::LoseDisk(const ControlId& aId)
{
  Crash(aId);
  ++mLostDisks;
  mProcesses[aId].mLostDisk = std::move(mProcesses[aId].mDisk);
  mProcesses[aId].mDisk = {};
  mProcesses[aId].mDisk.mDurable.mIncarnation = mNextIncarnation++;
}

bool
Cluster::RestoreDisk(const ControlId& aId)
{
  Process& process = mProcesses[aId];
  if (!process.mLostDisk) {
    return false;
  }
  Crash(aId);
  ++mLostDisks;
  std::swap(process.mDisk, *process.mLostDisk);
  return true;
}

std::string
Cluster::Propose(const ControlId& aId, std::size_t aSize)
{
  std::string payload = "p" + std::to_string(mNextPayload++);
  payload.resize(std::max(payload.size(), aSize), '.');
  if (mProcesses[aId].mNode && !mProcesses[aId].mSuspended) {
    StepProcess(aId, agreement::Propose{ payload });
  }
  return payload;
}

void
Cluster::Heal()
{
  mCutLinks.clear();
  mFaults = {};
  for (const ControlId& it : mIds) {
    mProcesses[it].mSuspended = false;
    Start(it);
  }
}

void
Cluster::Run(Millis aTime)
{
  const Instant end = mNow + aTime;
  while (mNow < end) {
    mNow += kStepTime;
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      InFlightMessage message = std::move(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
      const Process& to = mProcesses[message.mTo];
      if (to.mSuspended) {
        // The message waits in the socket buffer until the process resumes.
        mInFlight.emplace(mNow + kStepTime, std::move(message));
      } else if (to.mNode) {
        StepProcess(message.mTo, Received{ message.mFrom, std::move(message.mMessage) });
      }
    }
    for (const ControlId& it : mIds) {
      Process& process = mProcesses[it];
      if (!process.mNode || process.mSuspended) {
        continue;
      }
      for (std::size_t n = RandomBelow(4); n > 0 && !process.mDisk.mPending.empty(); --n) {
        StepProcess(it, Stored{ process.mDisk.SyncOldestWrite() });
      }
      StepProcess(it, Tick{});
    }
  }
}

void
Cluster::StepProcess(const ControlId& aId, const Event& aEvent)
{
  std::vector<Event> events{ aEvent };
  for (std::size_t n = 0; n < events.size(); ++n) {
    auto effects = Step(*mProcesses[aId].mNode, Event(events[n]), mNow);
    for (Effect& it : effects) {
      PerformEffect(aId, it, events);
    }
  }
  ++mSteps;
  CheckProcess(aId);
}

void
Cluster::PerformEffect(const ControlId& aId, Effect& aEffect, std::vector<Event>& aEvents)
{
  Process& process = mProcesses[aId];
  if (auto* send = std::get_if<Send>(&aEffect)) {
    QueueMessage(aId, *send);
  } else if (auto* write = std::get_if<Write>(&aEffect)) {
    process.mDisk.mPending.push_back(std::move(*write));
  } else if (auto* commit = std::get_if<Commit>(&aEffect)) {
    Apply(aId, commit->mEntry);
  } else if (auto* restore = std::get_if<agreement::Restore>(&aEffect)) {
    Restore(aId, *restore->mSnapshot);
  } else if (auto* take = std::get_if<TakeSnapshot>(&aEffect)) {
    aEvents.emplace_back(SnapshotTaken{ take->mIndex, EncodeState(process.mApplied) });
  } else if (std::get<Record>(aEffect).mRecord.mKind == "membership") {
    ++mMembershipChanges;
  }
}

void
Cluster::QueueMessage(const ControlId& aFrom, const Send& aSend)
{
  if (mCutLinks[{ aFrom, aSend.mTo }] || RandomBelow(1000) < mFaults.mDropped) {
    return;
  }
  const std::size_t copies = RandomBelow(1000) < mFaults.mDuplicated ? 2 : 1;
  for (std::size_t n = 0; n < copies; ++n) {
    const Millis delay(RandomBelow(1000) < mFaults.mDelayed ? RandomBelow(3000)
                                                            : 5 + RandomBelow(70));
    mInFlight.emplace(mNow + delay, InFlightMessage{ aFrom, aSend.mTo, aSend.mMessage });
  }
}

void
Cluster::Apply(const ControlId& aId, const LogEntry& aEntry)
{
  Process& process = mProcesses[aId];
  // Applied indexes only increase, and all processes apply the same change at each index.
  REQUIRE(aEntry.mIndex > process.mAppliedIndex);
  const auto [it, inserted] = mCommittedChanges.emplace(aEntry.mIndex, aEntry.mPayload);
  REQUIRE(it->second == aEntry.mPayload);
  process.mApplied.emplace_back(aEntry.mIndex, aEntry.mPayload);
  process.mAppliedIndex = aEntry.mIndex;
}

void
Cluster::Restore(const ControlId& aId, const Snapshot& aSnapshot)
{
  Process& process = mProcesses[aId];
  REQUIRE(aSnapshot.mIndex > process.mAppliedIndex);
  auto state = DecodeState(aSnapshot.mState);
  // The snapshot contains all changes applied so far.
  std::vector<std::pair<Index, std::string>> expected;
  for (const auto& [index, payload] : mCommittedChanges) {
    if (index <= aSnapshot.mIndex) {
      expected.emplace_back(index, payload);
    }
  }
  REQUIRE(state == expected);
  process.mApplied = std::move(state);
  process.mAppliedIndex = aSnapshot.mIndex;
  ++mRestores;
}

void
Cluster::CheckProcess(const ControlId& aId)
{
  const Node& node = *mProcesses[aId].mNode;
  REQUIRE(node.mRole != Role::Halted);
  if (node.mRole == Role::Leader) {
    CheckLeader(aId);
  }
  // All logs agree on committed entries.
  Index& checked = mCheckedUpTo[aId];
  for (Index n = std::max(checked, node.mSnapshot->mIndex) + 1; n <= node.mCommitIndex; ++n) {
    const LogEntry& entry = node.mLog[n - node.mSnapshot->mIndex - 1];
    const auto [it, inserted] =
      mCommittedEntries.emplace(n, std::pair(entry.mTerm, entry.mPayload));
    REQUIRE(it->second == std::pair(entry.mTerm, entry.mPayload));
    mCommitTerms.emplace(n, node.mTermVote.mTerm);
  }
  // A committed entry is synced on a majority of the voters that still have their disks.
  if (node.mRole == Role::Leader && node.mCommitIndex > checked &&
      node.mCommitIndex > node.mSnapshot->mIndex) {
    const Term term = node.mLog[node.mCommitIndex - node.mSnapshot->mIndex - 1].mTerm;
    std::size_t copies = 0;
    for (const auto& [id, incarnation] : node.mMembership.mVoters) {
      const RecoveredState& disk = mProcesses[id].mDisk.mDurable;
      copies +=
        disk.mIncarnation == incarnation && HoldsEntry(disk, node.mCommitIndex, term) ? 1 : 0;
    }
    CAPTURE(node.mCommitIndex, term, copies);
    // A disk may be lost after the acknowledgement was sent and before it arrives.
    REQUIRE(copies + std::min<std::size_t>(mLostDisks, 1) > node.mMembership.mVoters.size() / 2);
  }
  checked = std::max(checked, node.mCommitIndex);
}

void
Cluster::CheckLeader(const ControlId& aId)
{
  const Node& node = *mProcesses[aId].mNode;
  // At most one leader per term.
  const Member self{ aId, node.mIncarnation };
  const auto [it, inserted] = mLeaders.emplace(node.mTermVote.mTerm, self);
  REQUIRE(it->second == self);
  // The leader is a voter of its membership with its current incarnation.
  const auto voter = node.mMembership.mVoters.find(aId);
  REQUIRE(voter != node.mMembership.mVoters.end());
  REQUIRE(voter->second == node.mIncarnation);
  // The confirmed quorum time is not earlier than the start of the leadership.
  const Instant quorum = QuorumConfirmedAt(node);
  REQUIRE((quorum == Instant{} || quorum >= node.mLeaderSince));
  if (inserted) {
    // A vote counts only if it is synced and comes from a voter that still has its disk.
    std::size_t votes = 0;
    for (const auto& [id, incarnation] : node.mMembership.mVoters) {
      const RecoveredState& disk = mProcesses[id].mDisk.mDurable;
      const bool voted = disk.mTermVote.mTerm > node.mTermVote.mTerm ||
                         disk.mTermVote == TermVote{ node.mTermVote.mTerm, self };
      votes += disk.mIncarnation == incarnation && voted ? 1 : 0;
    }
    CAPTURE(aId.mValue, node.mTermVote.mTerm, votes);
    REQUIRE(votes + std::min<std::size_t>(mLostDisks, 1) > node.mMembership.mVoters.size() / 2);
    // Leader completeness: the leader of a later term has every committed entry. A leader of an
    // earlier term may still be elected late; no process follows it.
    for (const auto& [index, entry] : mCommittedEntries) {
      if (index > node.mSnapshot->mIndex && mCommitTerms.at(index) < node.mTermVote.mTerm) {
        CAPTURE(index, aId.mValue, node.mTermVote.mTerm);
        REQUIRE(index <= node.mSnapshot->mIndex + node.mLog.size());
        REQUIRE(node.mLog[index - node.mSnapshot->mIndex - 1].mTerm == entry.first);
      }
    }
  }
}

const Node*
Cluster::Leader() const
{
  const Node* leader = nullptr;
  for (const auto& [id, process] : mProcesses) {
    if (process.mNode && IsLeader(*process.mNode)) {
      if (leader != nullptr) {
        return nullptr;
      }
      leader = process.mNode.get();
    }
  }
  return leader;
}

bool
Cluster::Converged() const
{
  const Node* leader = Leader();
  if (leader == nullptr || leader->mMembership.mVoters.size() != mIds.size()) {
    return false;
  }
  const auto& applied = mProcesses.at(mIds.front()).mApplied;
  for (const ControlId& it : mIds) {
    const Process& process = mProcesses.at(it);
    const auto voter = leader->mMembership.mVoters.find(it);
    if (!process.mNode || process.mNode->mMembership != leader->mMembership ||
        process.mApplied != applied || voter == leader->mMembership.mVoters.end() ||
        voter->second != process.mNode->mIncarnation) {
      return false;
    }
  }
  return true;
}

} // namespace fighold::agreement::test
