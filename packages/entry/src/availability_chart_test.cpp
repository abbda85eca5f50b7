#include "availability_chart.hpp"

#include "forward_fixture.hpp"

namespace fighold::entry {
namespace {

struct AvailabilityRecordFixture : ForwardFixture
{
  AvailabilityRecordFixture() { Grant(); }

  /// The answer to a request that has ended, with what the server s1 says in it.
  void Say(const AvailabilityStatement& aStatement, bool aUnreadable = false)
  {
    DispatchDone done;
    done.mResult.mStage = net::ExchangeStage::Answered;
    done.mServer = { { "s1" }, 7 };
    done.mReport.mAvailability = aStatement;
    done.mReport.mUnreadableAvailability = aUnreadable;
    mEffects.clear();
    HandleEvent(done);
  }

  const Availability& Known() const { return mState.mAvailabilities.at({ { "s1" }, 7 }); }

  std::vector<std::string> LoggedChoices() const
  {
    std::vector<std::string> choices;
    for (const LogRecord& it : EffectsOfType<LogRecord>()) {
      if (it.mRecord.mKind == "server") {
        choices.push_back(it.mRecord.mChoice + " " + it.mRecord.mReason);
      }
    }
    return choices;
  }
};

// Guards against a log that does not show what a server said of itself: whether an entry knew that
// it leaves could not be told.
TEST_CASE_METHOD(AvailabilityRecordFixture,
                 "RecordAvailability, server says that it pauses and leaves, logs each change once",
                 "[entry]")
{
  Say({});
  CHECK(LoggedChoices().empty());
  CHECK(mState.mAvailabilities.empty());
  Say({ false, Millis(2000) });
  CHECK(LoggedChoices() == std::vector<std::string>{ "paused said-in-answer" });
  Say({ true, {} });
  CHECK(LoggedChoices() == std::vector<std::string>{ "leaving said-in-answer" });
  Say({ true, {} });
  CHECK(LoggedChoices().empty());
  Say({}, true);
  CHECK(LoggedChoices() == std::vector<std::string>{ "leaving unreadable-availability" });
}

// Guards against a server that counts as back although it stops, because one of its answers lacks
// the statement.
TEST_CASE_METHOD(AvailabilityRecordFixture,
                 "RecordAvailability, later answer without the statement, still leaves",
                 "[entry]")
{
  Say({ true, {} });
  Say({});
  Say({ false, Millis(100) });
  CHECK(Known().mState == AvailabilityState::Leaving);
}

// Guards against a pause that ends early by a shorter one, and against one without an end.
TEST_CASE_METHOD(AvailabilityRecordFixture,
                 "RecordAvailability, pauses of each length, ends after the longest, in bounds",
                 "[entry]")
{
  Say({ false, Millis(8000) });
  const Instant until = Known().mPausedUntil;
  CHECK(until >= mNow + Millis(8000));
  CHECK(until <= mNow + Millis(9000));
  Say({ false, Millis(100) });
  CHECK(Known().mPausedUntil == until);
  Say({ false, Millis::max() });
  CHECK(Known().mPausedUntil <= mNow + kMaxPause + Millis(1000));
}

// Guards against a server that gets all its requests again at the end of a pause, or never.
TEST_CASE_METHOD(AvailabilityRecordFixture,
                 "RecordAvailability, answers after a pause, admit more step by step",
                 "[entry]")
{
  Say({ false, Millis(1000) });
  Say({});
  CHECK(Known().mState == AvailabilityState::Paused);
  mNow += Millis(2000);
  std::vector<std::uint32_t> limits;
  while (Known().mState != AvailabilityState::Available) {
    limits.push_back(Known().mMaxRequests);
    Say({});
  }
  CHECK(limits == std::vector<std::uint32_t>{ 1, 2, 4 });
  CHECK(Known().mMaxRequests == Availability::kUnlimited);
}

// Guards against what was heard of one incarnation that holds for the next, and against a memory
// that grows with each restart.
TEST_CASE_METHOD(AvailabilityRecordFixture,
                 "ApplyAvailabilities, server starts again or is not listed, keeps what may hold",
                 "[entry]")
{
  Say({ true, {} });
  const auto server = mConfiguration.mBackendServers.at({ "s1" });
  mConfiguration.mBackendServers.erase({ "s1" });
  mNow += Millis(500);
  Grant();
  CHECK(Known().mState == AvailabilityState::Leaving);
  mConfiguration.mBackendServers[{ "s1" }] = server;
  mConfiguration.mBackendServers[{ "s1" }].mIncarnation = 8;
  mNow += Millis(500);
  Grant();
  CHECK(mState.mAvailabilities.empty());
}

} // namespace
} // namespace fighold::entry
