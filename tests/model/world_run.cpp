#include "world.hpp"

#include <algorithm>

namespace fighold::testing {
namespace {

using namespace std::chrono_literals;

constexpr Millis kStep{ 25 };

/// Time between two requests and look-ups at each entry, two renewals of a backend server, two
/// changes of an operator.
constexpr Millis kTraffic{ 100 };
constexpr Millis kServerRenewal{ 500 };
constexpr Millis kChange{ 1500 };

/// Time between two heartbeats of a server that calls the control processes.
constexpr Millis kDirectHeartbeat{ 250 };

bool
IsDue(Duration aNow, Millis aInterval)
{
  return aNow % aInterval < kStep;
}

} // namespace

void
World::Thaw()
{
  const auto thaw = [this](auto& aProcess) {
    aProcess.mFrozen = false;
    auto held = std::move(aProcess.mHeld);
    aProcess.mHeld.clear();
    for (Flying& it : held) {
      Deliver(std::move(it));
    }
  };
  for (auto& [name, process] : mControls) {
    if (process.mFrozen && Chance(50)) {
      thaw(process);
    }
  }
  for (auto& [name, process] : mEntries) {
    if (process.mFrozen && Chance(50)) {
      thaw(process);
    }
  }
}

void
World::MakeFault()
{
  std::vector<std::string> names;
  for (const auto& [name, process] : mControls) {
    names.push_back(name);
  }
  for (const auto& [name, process] : mEntries) {
    names.push_back(name);
  }
  const std::string& name = names[Draw(names.size())];
  switch (Draw(10)) {
    case 0: // one direction of one path
      if (mFaults.mCuts) {
        mCut.insert({ name, names[Draw(names.size())] });
      }
      break;
    case 1: // silent cut of one process, in one direction or in both
      if (mFaults.mCuts) {
        const auto kind = Draw(3);
        for (const std::string& it : names) {
          if (kind != 0) {
            mCut.insert({ name, it });
          }
          if (kind != 1) {
            mCut.insert({ it, name });
          }
        }
      }
      break;
    case 2:
    case 3:
      mCut.clear();
      mWithoutLog.clear();
      break;
    case 4:
      if (mFaults.mFreezes) {
        const auto control = mControls.find(name);
        (control != mControls.end() ? control->second.mFrozen : mEntries[name].mFrozen) = true;
      }
      break;
    case 5:
      Thaw();
      break;
    case 6:
      if (mFaults.mRestarts) {
        StartEntry(AnyName(mEntries));
      }
      break;
    case 8:
      if (mFaults.mLostLog) {
        mWithoutLog = AnyName(mControls);
      }
      break;
    case 7:
      if (mFaults.mRestarts) {
        StartControl(AnyName(mControls));
      }
      break;
    default:
      for (auto& [id, process] : mControls) {
        if (mFaults.mLeaderChanges && agreement::IsLeader(process.mState.mNode)) {
          process.mFrozen = true;
        }
      }
  }
}

void
World::MakeTraffic()
{
  for (const auto& [name, process] : mEntries) {
    if (process.mFrozen) {
      continue;
    }
    StepEntry(name, entry::Lookup{ mNextId++, { "vardia" }, RegionId{ "attiki" }, 0 });
    entry::CallerRequest request;
    request.mId = mNextId++;
    request.mService = { "vardia" };
    StepEntry(name, request);
  }
}

void
World::MoveServers()
{
  for (auto& [id, server] : mServers) {
    if (!server.mUp) {
      if (mNow >= server.mReturnsAt) {
        server.mUp = true;
        server.mServer.mIncarnation = mNextId++;
      }
      continue;
    }
    const std::string name = AnyName(mEntries);
    if (mEntries[name].mFrozen) {
      continue;
    }
    if (Chance(4)) {
      mDepartures.push_back({ id, server.mServer.mIncarnation, mNow });
      StepEntry(name, entry::BackendDeparture{ mNextId++, id, server.mServer.mIncarnation });
      server.mUp = false;
      server.mReturnsAt = mNow + Millis(500 + Draw(8000));
      if (mFaults.mRestarts && Chance(50)) {
        StartEntry(name);
      }
      continue;
    }
    StepEntry(name, entry::BackendRenewal{ mNextId++, id, server.mServer, 0 });
  }
}

void
World::MakeChange()
{
  const std::string name = AnyName(mControls);
  const ControlProcess& control = mControls[name];
  if (control.mFrozen) {
    return;
  }
  const auto& configuration = *control.mState.mConfiguration;
  control::ChangeCall call;
  call.mId = mNextId++;
  call.mChange.mId = { std::to_string(call.mId) };
  if (configuration.mPlan->mNumber == 0) {
    plan::Plan plan;
    plan.mNumber = 1;
    plan.mMaxEntries = 3;
    plan.mShiftCap = 1000;
    plan.mRegions = { { { "attiki" }, 10 }, { { "kriti" }, 10 } };
    plan.mServices[{ "vardia" }] = {};
    plan.mSplits[{ "vardia" }] = { { { "attiki" }, { { { "attiki" }, plan::kWhole } } },
                                   { { "kriti" }, { { { "kriti" }, plan::kWhole } } } };
    call.mChange.mBody = membership::SubmitPlan{ "", SharedValue(plan) };
  } else {
    const bool on = configuration.mDrains.mRegions.empty();
    call.mChange.mBody = membership::SetDrain{ membership::DrainKind::Region, "kriti", on };
  }
  StepControl(name, call);
}

void
World::UpdateIsolation()
{
  for (auto& [name, process] : mEntries) {
    const bool hears =
      std::any_of(mControls.begin(), mControls.end(), [this, &entry = name](const auto& aControl) {
        return mCut.count({ aControl.first, entry }) == 0;
      });
    if (hears) {
      process.mIsolatedSince = {};
    } else if (process.mIsolatedSince == Duration{}) {
      process.mIsolatedSince = mNow;
    }
  }
}

std::string
World::Run(Duration aLength)
{
  const Duration end = mNow + aLength;
  Duration nextFault = mNow + 3s;
  while (mNow < end && mViolation.empty()) {
    mNow += kStep;
    while (!mFlying.empty() && mFlying.begin()->first <= mNow) {
      Flying message = std::move(mFlying.begin()->second);
      mFlying.erase(mFlying.begin());
      Deliver(std::move(message));
    }
    for (auto& [name, control] : mControls) {
      Sync(name);
      if (!control.mFrozen && IsDue(mNow, control::kTickInterval)) {
        StepControl(name, control::Tick{});
      }
    }
    for (auto& [name, process] : mEntries) {
      const Instant local = Local(process.mClock);
      if (!process.mFrozen && local >= entry::NextTick(process.mState, local)) {
        StepEntry(name, entry::Tick{});
      }
    }
    UpdateIsolation();
    if (IsDue(mNow, kTraffic)) {
      MakeTraffic();
    }
    if (IsDue(mNow, kServerRenewal)) {
      MoveServers();
    }
    DeliverCalls();
    if (IsDue(mNow, kDirectHeartbeat)) {
      MoveDirectServers();
    }
    CheckWithdrawn();
    if (IsDue(mNow, kChange)) {
      MakeChange();
    }
    if (mNow >= nextFault) {
      nextFault = mNow + Millis(100 + Draw(1200));
      MakeFault();
    }
  }
  return mViolation;
}

std::string
World::HealAndSettle()
{
  mCut.clear();
  mWithoutLog.clear();
  mFaults = Faults{ false, false, false, false, false, false, false, mFaults.mDirectCalls };
  for (int n = 0; n < 20; ++n) {
    Thaw();
  }
  Run(8s);
  if (!mViolation.empty()) {
    return mViolation;
  }
  for (const auto& [version, at] : mCommitted) {
    if (mNow > at + 4s && version > mInForce) {
      Fail("version " + std::to_string(version) + " is not reported in force, 4 s after it");
      break;
    }
  }
  // Servers that call directly make several versions a second, so that their age counts, not their
  // number.
  const auto old = std::find_if(mCommitted.rbegin(), mCommitted.rend(), [this](const auto& aIt) {
    return mNow > aIt.second + 4s;
  });
  const Version least = mFaults.mDirectCalls && old != mCommitted.rend()
                          ? old->first
                          : Newest() - std::min<Version>(Newest(), 4);
  for (const auto& [name, process] : mEntries) {
    const bool holds = membership::IsValid(process.mState.mLease, Local(process.mClock));
    if (!holds || process.mState.mConfiguration->mVersion < least) {
      Fail(name + (holds ? " holds" : " has no lease for") + " version " +
           std::to_string(process.mState.mConfiguration->mVersion) + " of " +
           std::to_string(Newest()) + " after every fault ended");
    }
  }
  CheckDirectServers();
  return mViolation;
}

} // namespace fighold::testing
