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

  Choice Choose(std::uint64_t aFirst = 0, std::uint64_t aSecond = 0) const
  {
    return ChooseBackendServer(mCandidates, mStates, mRequest, aFirst, aSecond, mNow);
  }

  /// @return how many of all pairs of draws choose the server
  int Chosen(const std::string& aId) const
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

  void Record(const std::string& aId, DispatchOutcome aResult, Millis aLatency)
  {
    ServerState& state = mStates[{ aId }];
    state = RecordResult(state, aResult, aLatency, mNow);
  }
};

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, equal servers, chooses each as often",
                 "[choice]")
{
  CHECK(Chosen("a") == 5);
  CHECK(Chosen("f") == 5);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, a slower server, loses every pair",
                 "[choice]")
{
  mStates[{ "a" }].mLatency = Millis(200);
  CHECK(Chosen("a") == 0);
}

// Guards against entries that all send to the server that an old report shows as idle.
TEST_CASE_METHOD(ChoiceFixture, "EstimatedLoad, report grows old, own count remains", "[choice]")
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
                 "ChooseBackendServer, all slot shares are used up, lets wait",
                 "[choice]")
{
  for (auto& [id, state] : mStates) {
    state.mOutstanding = SlotShare(6, 3);
  }
  CHECK(Choose().mReason == "no-free-slot");
  mRequest.mMayWait = false;
  CHECK(Choose().mCandidate.has_value());
}

// Guards against long requests that fill every slot and hold up short ones.
TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, deferred requests, leave a slot free",
                 "[choice]")
{
  mRequest.mClass = RequestClass::Deferred;
  for (auto& [id, state] : mStates) {
    state.mOutstanding = SlotShare(6, 3) - 1;
  }
  CHECK(Choose().mReason == "no-free-slot");
  mRequest.mClass = RequestClass::Standard;
  CHECK(Choose().mCandidate.has_value());
}

// Guards against a straggler that ejects a healthy server.
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

// Guards against a server that cannot be reached and looks fast, since its failures end at once.
TEST_CASE_METHOD(ChoiceFixture, "RecordResult, failures, do not lower the latency", "[choice]")
{
  Record("a", DispatchOutcome::Failed, Millis(0));
  CHECK(mStates[{ "a" }].mLatency == Millis(20));
  CHECK(RecordResult(ServerState{}, DispatchOutcome::Failed, Millis(1), mNow).mLatency ==
        Duration::zero());
}

TEST_CASE_METHOD(ChoiceFixture,
                 "RecordResult, fails after an ejection, ejects for twice as long",
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
                 "ChooseBackendServer, all are ejected, takes out a third",
                 "[choice]")
{
  for (auto& [id, state] : mStates) {
    state.mEjectedUntil = mNow + Millis(1000);
  }
  CHECK(Choose().mRejected.size() == 2);
  CHECK(Choose().mCandidate.has_value());
}

TEST_CASE_METHOD(ChoiceFixture,
                 "ChooseBackendServer, cold server, gets less than the others",
                 "[choice]")
{
  mStates[{ "a" }].mSlowStartSince = mNow;
  CHECK(Chosen("a") == 0);
  for (auto& [id, state] : mStates) {
    state.mOutstanding = id.mValue == "a" ? 0 : 2;
  }
  mNow += kSlowStartWindow / 2;
  CHECK(Chosen("a") == 10);
}

} // namespace
} // namespace fighold::routing
