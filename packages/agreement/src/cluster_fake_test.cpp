#include "cluster_fake.hpp"

#include <algorithm>

namespace fighold::agreement::test {
namespace {

constexpr Millis kStep{ 25 };

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

/// @return true when the synced files hold an entry, in the log or below the snapshot
bool
Holds(const RecoveredState& aDisk, Index aIndex, Term aTerm)
{
  if (aIndex <= aDisk.mSnapshot->mIndex) {
    return true;
  }
  const std::size_t n = aIndex - aDisk.mSnapshot->mIndex - 1;
  return n < aDisk.mLog.size() && aDisk.mLog[n].mTerm == aTerm;
}

} // namespace

std::uint64_t
Disk::SyncOne()
{
  const Write write = std::move(mUnsynced.front());
  mUnsynced.pop_front();
  if (write.mTermVote) {
    mSynced.mTermVote = *write.mTermVote;
  }
  if (write.mSnapshot) {
    mSynced.mSnapshot = *write.mSnapshot;
    mSynced.mLog = write.mEntries;
  } else if (!write.mEntries.empty()) {
    const std::size_t keep = write.mEntries.front().mIndex - mSynced.mSnapshot->mIndex - 1;
    REQUIRE(keep <= mSynced.mLog.size());
    mSynced.mLog.resize(keep);
    mSynced.mLog.insert(mSynced.mLog.end(), write.mEntries.begin(), write.mEntries.end());
  }
  return write.mWrite;
}

Cluster::Cluster(std::size_t aSize, std::uint64_t aSeed, std::size_t aSeeds)
  : mRandom(aSeed)
{
  static const auto kChart = LoadRoleChart(FIGHOLD_CHARTS_DIR);
  mOptions.mChart = kChart;
  mOptions.mSnapshotInterval = 8;
  mOptions.mSnapshotChunkSize = 40;
  for (std::size_t n = 1; n <= aSize; ++n) {
    mIds.push_back({ "c" + std::to_string(n) });
    if (n <= aSeeds) {
      mOptions.mConfigured.insert(mIds.back());
    }
  }
  for (const ControlId& it : mIds) {
    mProcesses[it].mDisk.mSynced.mIncarnation = mNextIncarnation++;
    Start(it);
  }
}

ControlId
Cluster::Replace(const ControlId& aId)
{
  Crash(aId);
  mIds.erase(std::find(mIds.begin(), mIds.end(), aId));
  // Settings name processes that run when they are written.
  mOptions.mConfigured = { mIds.begin(), mIds.begin() + 3 };
  // The deployment does not start for the first time, so that the new one may form no group.
  mOptions.mMayForm = false;
  ControlId id{ "n" + std::to_string(mNextIncarnation) };
  mIds.push_back(id);
  mProcesses[id].mDisk.mSynced.mIncarnation = mNextIncarnation++;
  Start(id);
  return id;
}

std::uint32_t
Cluster::Roll(std::uint32_t aBelow)
{
  return static_cast<std::uint32_t>(mRandom() % aBelow);
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
  process.mNode = std::make_unique<Node>(MakeNode(options, process.mDisk.mSynced));
  process.mFrozen = false;
  process.mApplied = DecodeState(process.mDisk.mSynced.mSnapshot->mState);
  process.mAppliedIndex = process.mDisk.mSynced.mSnapshot->mIndex;
  mCheckedUpTo[aId] = 0;
}

void
Cluster::Crash(const ControlId& aId)
{
  Process& process = mProcesses[aId];
  // Some of the unsynced writes may have reached the disk, in order.
  for (std::size_t n = Roll(3); n > 0 && !process.mDisk.mUnsynced.empty(); --n) {
    process.mDisk.SyncOne();
  }
  process.mDisk.mUnsynced.clear();
  process.mNode.reset();
}

void
Cluster::LoseDisk(const ControlId& aId)
{
  Crash(aId);
  ++mLostDisks;
  mProcesses[aId].mLostDisk = std::move(mProcesses[aId].mDisk);
  mProcesses[aId].mDisk = {};
  mProcesses[aId].mDisk.mSynced.mIncarnation = mNextIncarnation++;
}

bool
Cluster::ReturnDisk(const ControlId& aId)
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
Cluster::Propose(const ControlId& aId)
{
  std::string payload = "p" + std::to_string(mNextPayload++);
  if (mProcesses[aId].mNode && !mProcesses[aId].mFrozen) {
    Do(aId, agreement::Propose{ payload });
  }
  return payload;
}

void
Cluster::Heal()
{
  mCut.clear();
  mFaults = {};
  for (const ControlId& it : mIds) {
    mProcesses[it].mFrozen = false;
    Start(it);
  }
}

void
Cluster::Run(Millis aTime)
{
  const Instant end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    while (!mFlights.empty() && mFlights.begin()->first <= mNow) {
      Flight flight = std::move(mFlights.begin()->second);
      mFlights.erase(mFlights.begin());
      const Process& to = mProcesses[flight.mTo];
      if (to.mFrozen) {
        // It waits in the socket until the process goes on.
        mFlights.emplace(mNow + kStep, std::move(flight));
      } else if (to.mNode) {
        Do(flight.mTo, Received{ flight.mFrom, std::move(flight.mMessage) });
      }
    }
    for (const ControlId& it : mIds) {
      Process& process = mProcesses[it];
      if (!process.mNode || process.mFrozen) {
        continue;
      }
      for (std::size_t n = Roll(4); n > 0 && !process.mDisk.mUnsynced.empty(); --n) {
        Do(it, Stored{ process.mDisk.SyncOne() });
      }
      Do(it, Tick{});
    }
  }
}

void
Cluster::Do(const ControlId& aId, const Event& aEvent)
{
  std::vector<Event> events{ aEvent };
  for (std::size_t n = 0; n < events.size(); ++n) {
    auto effects = Step(*mProcesses[aId].mNode, Event(events[n]), mNow);
    for (Effect& it : effects) {
      Carry(aId, it, events);
    }
  }
  ++mSteps;
  CheckProcess(aId);
}

void
Cluster::Carry(const ControlId& aId, Effect& aEffect, std::vector<Event>& aNext)
{
  Process& process = mProcesses[aId];
  if (auto* send = std::get_if<Send>(&aEffect)) {
    SendOne(aId, *send);
  } else if (auto* write = std::get_if<Write>(&aEffect)) {
    process.mDisk.mUnsynced.push_back(std::move(*write));
  } else if (auto* commit = std::get_if<Commit>(&aEffect)) {
    Apply(aId, commit->mEntry);
  } else if (auto* restore = std::get_if<agreement::Restore>(&aEffect)) {
    Restore(aId, *restore->mSnapshot);
  } else if (auto* take = std::get_if<TakeSnapshot>(&aEffect)) {
    aNext.emplace_back(SnapshotTaken{ take->mIndex, EncodeState(process.mApplied) });
  } else if (std::get<Record>(aEffect).mRecord.mKind == "membership") {
    ++mMembershipChanges;
  }
}

void
Cluster::SendOne(const ControlId& aFrom, const Send& aSend)
{
  if (mCut[{ aFrom, aSend.mTo }] || Roll(1000) < mFaults.mLost) {
    return;
  }
  const std::size_t copies = Roll(1000) < mFaults.mDoubled ? 2 : 1;
  for (std::size_t n = 0; n < copies; ++n) {
    const Millis delay(Roll(1000) < mFaults.mSlow ? Roll(3000) : 5 + Roll(70));
    mFlights.emplace(mNow + delay, Flight{ aFrom, aSend.mTo, aSend.mMessage });
  }
}

void
Cluster::Apply(const ControlId& aId, const LogEntry& aEntry)
{
  Process& process = mProcesses[aId];
  // The applied sequence never reverts, and all processes apply the same change at each index.
  REQUIRE(aEntry.mIndex > process.mAppliedIndex);
  const auto [it, fresh] = mCommitted.emplace(aEntry.mIndex, aEntry.mPayload);
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
  // Nothing that was applied is missing from the snapshot.
  std::vector<std::pair<Index, std::string>> expected;
  for (const auto& [index, payload] : mCommitted) {
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
  // Logs agree on committed entries.
  Index& checked = mCheckedUpTo[aId];
  for (Index n = std::max(checked, node.mSnapshot->mIndex) + 1; n <= node.mCommitIndex; ++n) {
    const LogEntry& entry = node.mLog[n - node.mSnapshot->mIndex - 1];
    const auto [it, fresh] = mCommittedEntries.emplace(n, std::pair(entry.mTerm, entry.mPayload));
    REQUIRE(it->second == std::pair(entry.mTerm, entry.mPayload));
    mCommitTerms.emplace(n, node.mTermVote.mTerm);
  }
  // A commit rests on synced copies at a majority of the voters that have their disks.
  if (node.mRole == Role::Leader && node.mCommitIndex > checked &&
      node.mCommitIndex > node.mSnapshot->mIndex) {
    const Term term = node.mLog[node.mCommitIndex - node.mSnapshot->mIndex - 1].mTerm;
    std::size_t copies = 0;
    for (const auto& [id, incarnation] : node.mMembership.mVoters) {
      const RecoveredState& disk = mProcesses[id].mDisk.mSynced;
      copies += disk.mIncarnation == incarnation && Holds(disk, node.mCommitIndex, term) ? 1 : 0;
    }
    CAPTURE(node.mCommitIndex, term, copies);
    // A disk may be lost between the acknowledgement and its arrival.
    REQUIRE(copies + std::min<std::size_t>(mLostDisks, 1) > node.mMembership.mVoters.size() / 2);
  }
  checked = std::max(checked, node.mCommitIndex);
}

void
Cluster::CheckLeader(const ControlId& aId)
{
  const Node& node = *mProcesses[aId].mNode;
  // At most one leader a term.
  const Member self{ aId, node.mIncarnation };
  const auto [it, fresh] = mLeaders.emplace(node.mTermVote.mTerm, self);
  REQUIRE(it->second == self);
  // A leader is a voter of its membership with its own disk.
  const auto voter = node.mMembership.mVoters.find(aId);
  REQUIRE(voter != node.mMembership.mVoters.end());
  REQUIRE(voter->second == node.mIncarnation);
  // No quorum time from before the lead.
  const Instant quorum = QuorumConfirmedAt(node);
  REQUIRE((quorum == Instant{} || quorum >= node.mLeaderSince));
  if (fresh) {
    // A vote counts only once it is synced, and only from a voter that has its disk.
    std::size_t votes = 0;
    for (const auto& [id, incarnation] : node.mMembership.mVoters) {
      const RecoveredState& disk = mProcesses[id].mDisk.mSynced;
      const bool voted = disk.mTermVote.mTerm > node.mTermVote.mTerm ||
                         disk.mTermVote == TermVote{ node.mTermVote.mTerm, self };
      votes += disk.mIncarnation == incarnation && voted ? 1 : 0;
    }
    CAPTURE(aId.mValue, node.mTermVote.mTerm, votes);
    REQUIRE(votes + std::min<std::size_t>(mLostDisks, 1) > node.mMembership.mVoters.size() / 2);
    // A committed entry is never lost: the leader of a later term holds it. A leader of an earlier
    // term may still come up late; nobody follows it.
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
