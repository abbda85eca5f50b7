#pragma once

#include "fighold/agreement/node.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>

/// Simulated cluster of control processes with unreliable network and disks, for tests.
namespace fighold::agreement::test {

/// Synced contents of a disk, and the writes that are not synced yet.
struct Disk
{
  RecoveredState mDurable;
  std::deque<Write> mPending;

  /// Syncs the oldest pending write.
  /// @return number of the write
  std::uint64_t SyncOldestWrite();
};

/// A control process and its disk.
struct Process
{
  Disk mDisk;
  std::optional<Disk> mLostDisk;
  std::unique_ptr<Node> mNode; ///< null if crashed
  bool mSuspended = false;
  std::vector<std::pair<Index, std::string>> mApplied; ///< changes applied to the state machine
  Index mAppliedIndex = 0;
};

/// A message in flight.
struct InFlightMessage
{
  ControlId mFrom;
  ControlId mTo;
  Message mMessage;
};

/// Fault rates per 1000 messages.
struct Faults
{
  std::uint32_t mDropped = 0;
  std::uint32_t mDuplicated = 0;
  std::uint32_t mDelayed = 0; ///< by up to 3 s
};

/// Runs the processes, and checks the invariants of Raft after every step.
struct Cluster
{
  /// @param aConfiguredCount number of processes that are configured and bootstrap the group; the
  /// others join it
  Cluster(std::size_t aSize, std::uint64_t aSeed, std::size_t aConfiguredCount);
  Cluster(std::size_t aSize, std::uint64_t aSeed)
    : Cluster(aSize, aSeed, aSize)
  {
  }

  /// Removes a process for good, and adds an empty one under another name.
  /// @return name of the new process
  ControlId Replace(const ControlId& aId);

  /// Advances the simulated time.
  void Run(Millis aTime);

  void Start(const ControlId& aId);
  void Crash(const ControlId& aId);
  void LoseDisk(const ControlId& aId);

  /// Crashes a process and restores the disk that it lost before, if any.
  /// @return false if it lost none
  bool RestoreDisk(const ControlId& aId);

  /// Submits a unique proposal to a process.
  /// @param aSize least size of the payload in bytes
  /// @return payload of the proposal
  std::string Propose(const ControlId& aId, std::size_t aSize = 0);

  /// Removes all link, suspension and message faults, and starts crashed processes.
  void Heal();

  /// @return the leader if exactly one running process is leader, otherwise nullptr
  const Node* Leader() const;

  /// @return true if all processes run, are voters and have applied the same changes
  bool Converged() const;

  std::uint32_t RandomBelow(std::uint32_t aBound);

  std::map<ControlId, Process> mProcesses;
  std::vector<ControlId> mIds;
  std::map<std::pair<ControlId, ControlId>, bool> mCutLinks; ///< by sender and receiver
  Faults mFaults;
  Instant mNow{ std::chrono::hours(1) };
  Options mOptions;
  std::map<Index, std::string> mCommittedChanges; ///< change first applied at each index
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
  std::map<Index, Term> mCommitTerms; ///< term in which the commit was first seen
  std::map<ControlId, Index> mCheckedUpTo;
};

} // namespace fighold::agreement::test
