#include "world.hpp"

#include <algorithm>

namespace fighold::testing {
namespace {

using namespace std::chrono_literals;

/// Time after which nothing may be sent to a server whose withdrawal was acknowledged.
constexpr Millis kDrainPeriod{ 3000 };

/// Time after which a server sends its withdrawal for the last time, and for which it serves on
/// from then before it starts again, as on the users' platform.
constexpr Millis kLastWithdrawal{ 1800 };
constexpr Millis kServesOn{ 2500 };

/// What a withdrawal covers beyond the present, and the difference of the clocks around it.
constexpr Millis kStartMargin{ 1000 };
constexpr std::uint64_t kClockError = 800;

Incarnation
MillisOf(Duration aNow)
{
  return static_cast<Incarnation>(std::chrono::duration_cast<Millis>(aNow).count());
}

} // namespace

void
World::CallControl(Duration aAt, control::Event aEvent)
{
  mCalls.emplace(aAt, std::move(aEvent));
}

/// Each call arrives at a control process of its own choice. Calls that meet a frozen one are lost.
void
World::DeliverCalls()
{
  while (!mCalls.empty() && mCalls.begin()->first <= mNow) {
    control::Event event = std::move(mCalls.begin()->second);
    mCalls.erase(mCalls.begin());
    const std::string name = AnyName(mControls);
    if (auto* withdrawal = std::get_if<control::ServerWithdrawal>(&event)) {
      withdrawal->mLatest = MillisOf(mNow + kStartMargin) + Draw(2 * kClockError) - kClockError;
    }
    if (!mControls[name].mFrozen) {
      StepControl(name, std::move(event));
    }
  }
}

void
World::MoveDirectServers()
{
  for (auto& [id, server] : mDirectServers) {
    if (!server.mUp) {
      if (mNow >= server.mStartsAt) {
        server = { MillisOf(mNow), 0, true, {} };
      }
      continue;
    }
    control::ServerHeartbeat heartbeat;
    heartbeat.mId = mNextId++;
    heartbeat.mServerId = id;
    heartbeat.mServer.mIncarnation = server.mBorn;
    heartbeat.mServer.mService = { "vardia" };
    heartbeat.mServer.mRegion = { "attiki" };
    heartbeat.mServer.mSlots = 4;
    heartbeat.mSequence = ++server.mSequence;
    const bool late = Chance(15);
    CallControl(mNow + Millis(late ? 200 + Draw(6000) : Draw(20)), heartbeat);
    if (Chance(15)) {
      // Sent until it is acknowledged, to other processes each time.
      for (const Millis again : { 0ms, 900ms, kLastWithdrawal }) {
        const control::ServerWithdrawal withdrawal{ mNextId++, id };
        mWithdrawals[withdrawal.mId] = { id, server.mBorn };
        CallControl(mNow + again + Millis(Draw(20)), withdrawal);
      }
      server.mUp = false;
      server.mStartsAt = mNow + kLastWithdrawal + kServesOn + Millis(Draw(4000));
    }
  }
}

void
World::CheckWithdrawn()
{
  for (const HeardDeparture& it : mWithdrawn) {
    if (mNow <= it.mAt + kDrainPeriod) {
      continue;
    }
    for (const auto& [name, process] : mEntries) {
      const auto& servers = process.mState.mConfiguration->mBackendServers;
      const auto server = servers.find(it.mId);
      if (membership::IsValid(process.mState.mLease, Local(process.mClock)) &&
          server != servers.end() && server->second.mIncarnation == it.mIncarnation &&
          !server->second.mLeaving) {
        Fail(name + " uses " + it.mId.mValue + " after its withdrawal was acknowledged");
      }
    }
  }
}

void
World::CheckDirectServers()
{
  for (const auto& [id, server] : mDirectServers) {
    if (!server.mUp || MillisOf(mNow) < server.mBorn + MillisOf(5s)) {
      continue;
    }
    const bool used = std::any_of(
      mControls.begin(), mControls.end(), [&, &id = id, &server = server](const auto& aControl) {
        const auto& servers = aControl.second.mState.mConfiguration->mBackendServers;
        const auto it = servers.find(id);
        return it != servers.end() && it->second.mIncarnation == server.mBorn &&
               !it->second.mLeaving;
      });
    if (!used) {
      Fail(id.mValue + " is not in use, 5 s after its start");
    }
  }
}

} // namespace fighold::testing
