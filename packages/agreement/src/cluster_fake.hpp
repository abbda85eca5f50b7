#pragma once

#include "fighold/agreement/node.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>

/// Control processes in one test process, over a network and disks that fail. Used by tests only.
namespace fighold::agreement::test {

/// What a disk holds, synced, and the writes that are not synced yet.
struct Disk
{
  RecoveredState mDurable;
  std::deque<Write> mPending;

  /// Syncs the oldest write.
  /// @return its number
  std::uint64_t SyncOldestWrite();
};

/// One VM.
struct Process
{
  Disk mDisk;
  std::optional<Disk> mLostDisk;
  std::unique_ptr<Node> mNode; ///< empty: crashed
  bool mSuspended = false;
  std::vector<std::pair<Index, std::string>> mApplied; ///< changes that the state machine holds
  Index mAppliedIndex = 0;
};

/// A message under way.
struct InFlightMessage
{
  ControlId mFrom;
  ControlId mTo;
  Message mMessage;
};

/// How often faults occur, in parts of 1000 for each message.
struct Faults
{
  std::uint32_t mDropped = 0;
  std::uint32_t mDuplicated = 0;
  std::uint32_t mDelayed = 0; ///< delayed by up to 3 s
};

/// Runs the processes, and checks after every step what must always hold.
struct Cluster
{
  /// @param aSeeds processes that are known from the start and form the group; the others join it
  Cluster(std::size_t aSize, std::uint64_t aSeed, std::size_t aSeeds);
  Cluster(std::size_t aSize, std::uint64_t aSeed)
    : Cluster(aSize, aSeed, aSize)
  {
  }

  /// Takes a process away for good, and adds an empty one under another name.
  /// @return its name
  ControlId Replace(const ControlId& aId);

  /// Lets time pass.
  void Run(Millis aTime);

  void Start(const ControlId& aId);
  void Crash(const ControlId& aId);
  void LoseDisk(const ControlId& aId);

  /// Crashes a process and gives it back the disk that it lost before, if there is one.
  /// @return false when there is none
  bool RestoreDisk(const ControlId& aId);

  /// Hands a proposal to a process.
  /// @return its payload
  std::string Propose(const ControlId& aId);

  /// Ends all cuts, freezes and message faults, and starts what is down.
  void Heal();

  /// @return the leader that a majority follows, if there is exactly one running leader
  const Node* Leader() const;

  /// @return true when all processes run, vote, and have applied the same changes
  bool Converged() const;

  std::uint32_t RandomBelow(std::uint32_t aBound);

  std::map<ControlId, Process> mProcesses;
  std::vector<ControlId> mIds;
  std::map<std::pair<ControlId, ControlId>, bool> mCutLinks; ///< direction that loses everything
  Faults mFaults;
  Instant mNow{ std::chrono::hours(1) };
  Options mOptions;
  std::map<Index, std::string> mCommittedChanges; ///< first change that was applied at each index
  std::size_t mSteps = 0;
  std::size_t mRestores = 0;
  std::size_t mLostDisks = 0;
  std::size_t mMembershipChanges = 0;

private:
  void StepProcess(const ControlId& aId, const Event& aEvent);
  void PerformEffect(const ControlId& aId, Effect& aEffect, std::vector<Event>& aEvents);
  void Apply(const ControlId& aId, const LogEntry& aEntry);
  void Restore(const ControlId& aId, const Snapshot& aSnapshot);
  void QueueMessage(const ControlId& aFrom, const Send& aSend);
  void CheckProcess(const ControlId& aId);
  void CheckLeader(const ControlId& aId);

  std::mt19937_64 mRandom;
  std::uint64_t mNextIncarnation = 100;
  std::uint64_t mNextPayload = 1;
  std::multimap<Instant, InFlightMessage> mInFlight;
  std::map<Term, Member> mLeaders;
  std::map<Index, std::pair<Term, std::string>> mCommittedEntries;
  std::map<Index, Term> mCommitTerms; ///< term in which the commit of an entry was first seen
  std::map<ControlId, Index> mCheckedUpTo;
};

} // namespace fighold::agreement::test
