#include "fighold/routing/choice.hpp"

#include <catch2/catch.hpp>

namespace fighold::routing {
namespace {

/// Six servers of six slots, three entries.
struct ChoiceFixture
{
  std::vector<Candidate> mCandidates;
  ServerStates mStates;
  ChoiceRequest mRequest{ RequestClass::Standard, {}, 3, true };
  Instant mNow{ std::chrono::hours(1) };

  ChoiceFixture()
  {
    for (const char* id : { "a", "b", "c", "d", "e", "f" }) {
      Candidate candidate;
      candidate.mId = { id };
      candidate.mSlots = 6;
      mCandidates.push_back(candidate);
      mStates[{ id }].mAliveUntil = mNow + std::chrono::hours(1);
      mStates[{ id }].mLatency = Millis(20);
    }
  }

  Choice Choose(std::uint64_t aFirstDraw = 0, std::uint64_t aSecondDraw = 0) const
  {
    return ChooseBackendServer(mCandidates, mStates, mRequest, aFirstDraw, aSecondDraw, mNow);
  }

  /// @return number of pairs of random numbers, out of all 30, that choose the server
  int CountChosen(const std::string& aId) const
  {
    int chosen = 0;
    for (std::uint64_t first = 0; first < 6; ++first) {
      for (std::uint64_t second = 0; second < 5; ++second) {
        const Choice choice = Choose(first, second);
        chosen += choice.mCandidate && choice.mCandidate->mId.mValue == aId ? 1 : 0;
      }
    }
    return chosen;
  }

  void Record(const std::string& aId, DispatchOutcome aOutcome, Millis aLatency)
  {
    ServerState& state = mStates[{ aId }];
    state = RecordResult(state, aOutcome, aLatency, mNow);
  }
};

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, equal servers, chooses each equally often",
                 "[choice]")
{
  CHECK(CountChosen("a") == 5);
  CHECK(CountChosen("f") == 5);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, one server is slower, never chooses it",
                 "[choice]")
{
  mStates[{ "a" }].mLatency = Millis(200);
  CHECK(CountChosen("a") == 0);
}

// Guards against herding: all entries sending to a server that an outdated report shows as idle.
TEST_CASE_METHOD(ChoiceFixture, "EstimatedLoad, report ages, falls to the own count", "[choice]")
{
  ServerState state = mStates[{ "a" }];
  state.mOutstanding = 2;
  state.mReportedLoad = 6;
  state.mReportedAt = mNow;
  CHECK(EstimatedLoad(state, mNow) == Approx(6));
  CHECK(EstimatedLoad(state, mNow + kMaxReportAge / 2) == Approx(4));
  CHECK(EstimatedLoad(state, mNow + kMaxReportAge) == Approx(2));
  state.mReportedLoad = 0;
  CHECK(EstimatedLoad(state, mNow) == Approx(2));
}

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, all slot shares are used up, chooses none if it may wait",
                 "[choice]")
{
  for (auto& [id, state] : mStates) {
    state.mOutstanding = SlotsPerEntry(6, 3);
  }
  CHECK(Choose().mReason == "no-free-slot");
  mRequest.mMayWait = false;
  CHECK(Choose().mCandidate.has_value());
}

// Guards against long requests that occupy every slot and delay short ones.
TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, deferred request, leaves a slot free",
                 "[choice]")
{
  mRequest.mClass = RequestClass::Deferred;
  for (auto& [id, state] : mStates) {
    state.mOutstanding = SlotsPerEntry(6, 3) - 1;
  }
  CHECK(Choose().mReason == "no-free-slot");
  mRequest.mClass = RequestClass::Standard;
  CHECK(Choose().mCandidate.has_value());
}

// Guards against the ejection of a healthy server because of one straggler.
TEST_CASE_METHOD(ChoiceFixture, "RecordResult, one overdue request, does not eject", "[choice]")
{
  Record("a", DispatchOutcome::Overdue, Millis(50));
  CHECK(mStates[{ "a" }].mEjectedUntil == Instant{});
  Record("a", DispatchOutcome::Answered, Millis(20));
  Record("a", DispatchOutcome::Overdue, Millis(50));
  CHECK(mStates[{ "a" }].mEjectedUntil == Instant{});
  Record("a", DispatchOutcome::Overdue, Millis(50));
  CHECK(mStates[{ "a" }].mEjectedUntil == mNow + kBaseEjectionTime);
}

// Guards against an unreachable server that looks fast because its failures end at once.
TEST_CASE_METHOD(ChoiceFixture,
                 "RecordResult, request failed, does not lower the latency",
                 "[choice]")
{
  Record("a", DispatchOutcome::Failed, Millis(0));
  CHECK(mStates[{ "a" }].mLatency == Millis(20));
  CHECK(RecordResult(ServerState{}, DispatchOutcome::Failed, Millis(1), mNow).mLatency ==
        Duration::zero());
}

TEST_CASE_METHOD(ChoiceFixture,
                 "RecordResult, failure after an ejection, ejects for twice as long",
                 "[choice]")
{
  Record("a", DispatchOutcome::Failed, Millis(1));
  Record("a", DispatchOutcome::Failed, Millis(1));
  mNow += kBaseEjectionTime;
  Record("a", DispatchOutcome::Failed, Millis(1));
  CHECK(mStates[{ "a" }].mEjectedUntil == mNow + 2 * kBaseEjectionTime);
}

// Guards against ejections that leave too few servers for the load.
TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, all servers are ejected, leaves out a third",
                 "[choice]")
{
  for (auto& [id, state] : mStates) {
    state.mEjectedUntil = mNow + Millis(1000);
  }
  CHECK(Choose().mRejected.size() == 2);
  CHECK(Choose().mCandidate.has_value());
}

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, server in slow start, is chosen less often",
                 "[choice]")
{
  mStates[{ "a" }].mSlowStartSince = mNow;
  CHECK(CountChosen("a") == 0);
  for (auto& [id, state] : mStates) {
    state.mOutstanding = id.mValue == "a" ? 0 : 2;
  }
  mNow += kSlowStartWindow / 2;
  CHECK(CountChosen("a") == 10);
}

} // namespace
} // namespace fighold::routing
