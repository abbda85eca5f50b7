#pragma once

#include "fighold/control/decide.hpp"
#include "fighold/entry/decide.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Control processes, entries and backend servers joined by a network that loses, delays, doubles
/// and reorders messages; everything runs in virtual time, and each run is determined by its seed.
namespace fighold::testing {

/// What may go wrong in a run.
struct Faults
{
  bool mCuts = true;
  bool mFreezes = true;
  bool mRestarts = true;
  bool mLeaderChanges = true; ///< the leader is frozen for longer than an election takes
  bool mLateMessages = true;
  bool mLostLog = true; ///< one control process gets no messages of the agreement, but all others
  bool mClockRates = true;
  bool mDirectCalls = false; ///< more servers, which call the control processes; calls come late
};

/// A message on its way.
struct Flying
{
  std::string mFrom;
  std::string mTo;
  std::variant<control::EntryMessage,
               control::ControlMessage,
               entry::GrantReceived,
               entry::ChangeReplyReceived,
               entry::ShareAnswerReceived>
    mBody;
};

/// A process's own clock: a rate and an offset.
struct Clock
{
  Duration mOffset{};
  double mRate = 1.0;
};

struct ControlProcess
{
  control::State mState;
  agreement::RecoveredState mDisk;                           ///< what is synced
  std::deque<std::pair<Duration, agreement::Write>> mWrites; ///< not yet reported as synced
  Clock mClock;
  bool mFrozen = false;
  std::vector<Flying> mHeld; ///< arrived while frozen
};

struct EntryProcess
{
  entry::State mState;
  Clock mClock;
  bool mFrozen = false;
  std::vector<Flying> mHeld;
  Version mServed = 0;       ///< newest version with which it served, across restarts
  Duration mIsolatedSince{}; ///< zero: it can hear a control process
  Incarnation mIncarnation = 0;
  std::uint64_t mBorn = 0;
};

/// A backend server of the model.
struct ServerProcess
{
  membership::BackendServer mServer;
  bool mUp = true;
  Duration mReturnsAt{};
};

/// A backend server that calls the control processes. Its incarnation is the time of its start in
/// ms.
struct DirectServer
{
  Incarnation mBorn = 0;
  std::uint64_t mSequence = 0;
  bool mUp = false;
  Duration mStartsAt{};
};

/// A server's departure that an entry heard, or that a control process acknowledged.
struct HeardDeparture
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Duration mAt{};
};

class World
{
public:
  World(std::uint64_t aSeed, Faults aFaults);

  /// Runs for some virtual time, with faults, and checks the invariants after each step.
  /// @return what was violated; empty: nothing
  std::string Run(Duration aLength);

  /// Ends all faults and runs on, then checks that everything serves the newest version.
  std::string HealAndSettle();

  std::uint64_t Served() const { return mServedCount; }
  std::uint64_t Dispatched() const { return mDispatchCount; }
  std::uint64_t Accepted() const { return mCommitted.size(); }
  Version Newest() const { return mCommitted.empty() ? 0 : mCommitted.rbegin()->first; }

private:
  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }
  bool Chance(unsigned aPercent) { return Draw(100) < aPercent; }
  template<typename T>
  const std::string& AnyName(const T& aMap)
  {
    return std::next(aMap.begin(), static_cast<std::ptrdiff_t>(Draw(aMap.size())))->first;
  }
  Instant Local(const Clock& aClock) const;
  Clock NewClock();

  void StartEntry(const std::string& aName);
  void StartControl(const std::string& aName);

  void Send(Flying aMessage);
  void Deliver(Flying aMessage);
  void StepControl(const std::string& aName, control::Event aEvent);
  void StepEntry(const std::string& aName, entry::Event aEvent);
  void Sync(const std::string& aName);

  void Thaw();
  void MakeFault();
  void MakeTraffic();
  void MoveServers();
  void MoveDirectServers();
  void CallControl(Duration aAt, control::Event aEvent);
  void DeliverCalls();
  void CheckWithdrawn();
  void CheckDirectServers();
  void MakeChange();
  void UpdateIsolation();
  void CheckEntry(const std::string& aName);
  void Fail(const std::string& aText);

  Faults mFaults;
  control::Codec mCodec;
  std::mt19937_64 mRandom;
  Duration mNow{ std::chrono::hours(1) };
  std::map<std::string, ControlProcess> mControls;
  std::map<std::string, EntryProcess> mEntries;
  std::map<BackendServerId, ServerProcess> mServers;
  std::multimap<Duration, Flying> mFlying;
  std::set<std::pair<std::string, std::string>> mCut;
  std::string mWithoutLog; ///< control process that gets no messages of the agreement
  std::vector<HeardDeparture> mDepartures;
  std::map<BackendServerId, DirectServer> mDirectServers;
  std::multimap<Duration, control::Event> mCalls; ///< on their way to any control process
  std::map<control::CallId, std::pair<BackendServerId, Incarnation>> mWithdrawals; ///< not answered
  std::vector<HeardDeparture> mWithdrawn;                                          ///< acknowledged
  std::map<Version, Duration> mCommitted; ///< version to the time at which one process applied it
  Version mInForce = 0;                   ///< newest version that a control process reported
  std::uint64_t mNextId = 1;
  std::uint64_t mServedCount = 0;
  std::uint64_t mDispatchCount = 0;
  std::string mViolation;
};

} // namespace fighold::testing
