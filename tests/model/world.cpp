#include "world.hpp"

#include <algorithm>

namespace fighold::testing {
namespace {

using namespace std::chrono_literals;

/// Resolution of virtual time.
constexpr Millis kStep{ 25 };

const std::vector<ControlId> kVoters{ { "c1" }, { "c2" }, { "c3" } };

/// Payloads are numbers of the changes in this store: equal changes have equal payloads, as with
/// the message format, but no bytes are made.
control::Codec
StoreCodec()
{
  const auto store = std::make_shared<std::vector<membership::Change>>();
  control::Codec codec;
  codec.mEncode = [store](const membership::Change& aChange) {
    auto it = std::find(store->begin(), store->end(), aChange);
    if (it == store->end()) {
      it = store->insert(it, aChange);
    }
    return std::to_string(it - store->begin());
  };
  codec.mDecode = [store](const std::string& aBytes) {
    return std::optional<membership::Change>(store->at(std::stoul(aBytes)));
  };
  codec.mIsWellFormed = [](const std::string& /*aBytes*/) { return true; };
  const auto states = std::make_shared<std::vector<membership::Configuration>>();
  codec.mEncodeState = [states](const membership::Configuration& aState) {
    states->push_back(aState);
    return std::to_string(states->size() - 1);
  };
  codec.mDecodeState = [states](const std::string& aBytes) {
    return std::optional<membership::Configuration>(states->at(std::stoul(aBytes)));
  };
  return codec;
}

const control::Charts&
ControlCharts()
{
  static const control::Charts charts = control::LoadCharts(FIGHOLD_CHARTS_DIR);
  return charts;
}

const entry::Charts&
EntryCharts()
{
  static const entry::Charts charts = entry::LoadCharts(FIGHOLD_CHARTS_DIR);
  return charts;
}

/// Carries out a write as the storage does.
void
KeepWrite(agreement::RecoveredState& aDisk, const agreement::Write& aWrite)
{
  if (aWrite.mTermVote) {
    aDisk.mTermVote = *aWrite.mTermVote;
  }
  if (aWrite.mSnapshot) {
    aDisk.mSnapshot = *aWrite.mSnapshot;
    aDisk.mLog = aWrite.mEntries;
  } else if (!aWrite.mEntries.empty()) {
    const auto first = aWrite.mEntries.front().mIndex;
    while (!aDisk.mLog.empty() && aDisk.mLog.back().mIndex >= first) {
      aDisk.mLog.pop_back();
    }
    aDisk.mLog.insert(aDisk.mLog.end(), aWrite.mEntries.begin(), aWrite.mEntries.end());
  }
}

std::string
At(Duration aNow)
{
  return std::to_string(std::chrono::duration_cast<Millis>(aNow - 1h).count()) + " ms: ";
}

} // namespace

World::World(std::uint64_t aSeed, Faults aFaults)
  : mFaults(aFaults)
  , mRandom(aSeed)
{
  mCodec = StoreCodec();
  for (const ControlId& it : kVoters) {
    ControlProcess& control = mControls[it.mValue];
    control.mClock = NewClock();
    control.mDisk.mIncarnation = mRandom() >> 2U;
    StartControl(it.mValue);
  }
  for (const char* it : { "e1", "e2", "e3" }) {
    mEntries[it].mClock = NewClock();
    StartEntry(it);
  }
  for (const char* it : { "s1", "s2", "s3" }) {
    ServerProcess& server = mServers[{ it }];
    server.mServer.mIncarnation = mNextId++;
    server.mServer.mService = { "vardia" };
    server.mServer.mRegion = { "attiki" };
    server.mServer.mSlots = 4;
  }
  for (const char* it : { "d1", "d2", "d3", "d4" }) {
    if (mFaults.mDirectCalls) {
      mDirectServers[{ it }].mStartsAt = mNow + 3s;
    }
  }
}

Clock
World::NewClock()
{
  // Two clocks differ in rate by up to the allowance of 1%.
  const double rate = mFaults.mClockRates ? 0.9955 + static_cast<double>(Draw(91)) / 10000.0 : 1.0;
  return { Millis(Draw(100'000)), rate };
}

Instant
World::Local(const Clock& aClock) const
{
  const auto ticks = static_cast<double>(mNow.count()) * aClock.mRate;
  return Instant(aClock.mOffset + Duration(static_cast<Duration::rep>(ticks)));
}

void
World::StartControl(const std::string& aName)
{
  ControlProcess& control = mControls[aName];
  static const auto chart = agreement::LoadRoleChart(FIGHOLD_CHARTS_DIR);
  agreement::Options options;
  options.mSelf = { aName };
  options.mConfigured = { kVoters.begin(), kVoters.end() };
  options.mSeed = mNextId++;
  options.mSnapshotInterval = 25;
  options.mChart = chart;
  control.mState =
    control::MakeState(agreement::MakeNode(options, control.mDisk), mCodec, ControlCharts());
  control.mWrites.clear();
  control.mHeld.clear();
  control.mFrozen = false;
}

void
World::StartEntry(const std::string& aName)
{
  EntryProcess& process = mEntries[aName];
  process.mIncarnation = mRandom() >> 2U;
  entry::Options options;
  options.mId = { aName };
  options.mEntry.mIncarnation = process.mIncarnation;
  options.mEntry.mRegion = { "attiki" };
  options.mControls = kVoters;
  std::rotate(options.mControls.begin(),
              options.mControls.begin() + static_cast<std::ptrdiff_t>(Draw(3)),
              options.mControls.end());
  options.mSeed = mNextId++;
  process.mState = entry::MakeState(options, EntryCharts());
  process.mHeld.clear();
  process.mFrozen = false;
}

void
World::Send(Flying aMessage)
{
  const bool late = mFaults.mLateMessages && Chance(2);
  const auto delay = [&] { return Millis(late ? 200 + Draw(5000) : 1 + Draw(60)); };
  if (mFaults.mLateMessages && Chance(3)) {
    return;
  }
  if (mFaults.mLateMessages && Chance(3)) {
    mFlying.emplace(mNow + delay(), aMessage);
  }
  mFlying.emplace(mNow + delay(), std::move(aMessage));
}

void
World::Deliver(Flying aMessage)
{
  if (mCut.count({ aMessage.mFrom, aMessage.mTo }) > 0) {
    return;
  }
  const auto control = mControls.find(aMessage.mTo);
  if (control != mControls.end()) {
    if (control->second.mFrozen) {
      control->second.mHeld.push_back(std::move(aMessage));
      return;
    }
    if (const auto* body = std::get_if<control::EntryMessage>(&aMessage.mBody)) {
      StepControl(aMessage.mTo, *body);
      return;
    }
    const auto& body = std::get<control::ControlMessage>(aMessage.mBody);
    const bool agreement = std::holds_alternative<agreement::Message>(body.mBody);
    if (!agreement || aMessage.mTo != mWithoutLog) {
      StepControl(aMessage.mTo, body);
    }
    return;
  }
  EntryProcess& process = mEntries[aMessage.mTo];
  if (process.mFrozen) {
    process.mHeld.push_back(std::move(aMessage));
  } else if (const auto* grant = std::get_if<entry::GrantReceived>(&aMessage.mBody)) {
    StepEntry(aMessage.mTo, *grant);
  } else if (const auto* shares = std::get_if<entry::ShareAnswerReceived>(&aMessage.mBody)) {
    StepEntry(aMessage.mTo, *shares);
  } else {
    StepEntry(aMessage.mTo, std::get<entry::ChangeReplyReceived>(aMessage.mBody));
  }
}

void
World::StepControl(const std::string& aName, control::Event aEvent)
{
  ControlProcess& control = mControls[aName];
  const Version before = control.mState.mConfiguration->mVersion;
  auto effects = control::Step(control.mState, std::move(aEvent), Local(control.mClock));
  const Version after = control.mState.mConfiguration->mVersion;
  if (after > before) {
    mCommitted.try_emplace(after, mNow);
  }
  mInForce = std::max(mInForce, control.mState.mInForce);
  for (auto& it : effects) {
    if (auto* send = std::get_if<control::SendControl>(&it)) {
      std::visit(
        [&](auto& aBody) {
          Send({ aName, send->mTo.mValue, control::ControlMessage{ { aName }, std::move(aBody) } });
        },
        send->mBody);
    } else if (auto* toEntry = std::get_if<control::SendEntry>(&it)) {
      if (auto* grant = std::get_if<membership::LeaseGrant>(&toEntry->mBody)) {
        Send({ aName, toEntry->mTo.mValue, entry::GrantReceived{ { aName }, std::move(*grant) } });
      } else if (auto* shares = std::get_if<routing::ShareAnswer>(&toEntry->mBody)) {
        Send({ aName, toEntry->mTo.mValue, entry::ShareAnswerReceived{ std::move(*shares) } });
      } else {
        Send({ aName,
               toEntry->mTo.mValue,
               entry::ChangeReplyReceived{ std::get<membership::ChangeReply>(toEntry->mBody) } });
      }
    } else if (const auto* answer = std::get_if<control::AnswerCall>(&it)) {
      const auto call = mWithdrawals.find(answer->mId);
      const auto* decided = std::get_if<control::ServerAnswer>(&answer->mAnswer);
      if (call != mWithdrawals.end() && decided->mDecided && decided->mAccepted) {
        mWithdrawn.push_back({ call->second.first, call->second.second, mNow });
      }
    } else if (auto* store = std::get_if<control::Store>(&it)) {
      control.mWrites.emplace_back(mNow + Millis(Draw(30)), std::move(store->mWrite));
    }
  }
}

void
World::Sync(const std::string& aName)
{
  ControlProcess& control = mControls[aName];
  while (!control.mFrozen && !control.mWrites.empty() && control.mWrites.front().first <= mNow) {
    const agreement::Write write = std::move(control.mWrites.front().second);
    control.mWrites.pop_front();
    KeepWrite(control.mDisk, write);
    StepControl(aName, control::Stored{ write.mWrite });
  }
}

void
World::StepEntry(const std::string& aName, entry::Event aEvent)
{
  EntryProcess& process = mEntries[aName];
  auto effects = entry::Step(process.mState, std::move(aEvent), Local(process.mClock));
  for (auto& it : effects) {
    if (auto* send = std::get_if<entry::SendControl>(&it)) {
      std::visit(
        [&](auto& aBody) {
          Send({ aName, send->mTo.mValue, control::EntryMessage{ { aName }, std::move(aBody) } });
        },
        send->mBody);
    } else if (const auto* dispatch = std::get_if<entry::Dispatch>(&it)) {
      ++mDispatchCount;
      for (const HeardDeparture& departure : mDepartures) {
        if (departure.mId == dispatch->mServer.mId &&
            departure.mIncarnation == dispatch->mServer.mIncarnation && mNow > departure.mAt + 3s) {
          Fail(aName + " sent work to " + departure.mId.mValue + ", which left at " +
               At(departure.mAt));
        }
      }
      net::ExchangeResult result;
      result.mStage = net::ExchangeStage::Answered;
      result.mResponse.mStatus = 200;
      StepEntry(aName, entry::DispatchDone{ dispatch->mId, dispatch->mDispatchId, result });
    } else if (const auto* reply = std::get_if<entry::Reply>(&it)) {
      const auto* lookup = std::get_if<entry::LookupAnswer>(&reply->mAnswer);
      if (lookup == nullptr || !lookup->mError.empty()) {
        continue;
      }
      ++mServedCount;
      if (lookup->mVersion < mInForce) {
        Fail(aName + " serves with version " + std::to_string(lookup->mVersion) + " although " +
             std::to_string(mInForce) + " was reported in force");
      }
      if (lookup->mVersion < process.mServed) {
        Fail(aName + " went back from version " + std::to_string(process.mServed) + " to " +
             std::to_string(lookup->mVersion));
      }
      process.mServed = lookup->mVersion;
      for (const auto& [version, at] : mCommitted) {
        if (version > lookup->mVersion && mNow > at + 4s) {
          Fail(aName + " serves with version " + std::to_string(lookup->mVersion) + ", 4 s after " +
               std::to_string(version));
          break;
        }
      }
      if (process.mIsolatedSince != Duration{} && mNow > process.mIsolatedSince + 2s + kStep) {
        Fail(aName + " serves although it was cut off at " + At(process.mIsolatedSince));
      }
    }
  }
}

void
World::Fail(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = At(mNow) + aText;
  }
}

} // namespace fighold::testing
