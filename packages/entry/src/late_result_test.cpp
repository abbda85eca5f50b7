#include "forward_fixture.hpp"

namespace fighold::entry {
namespace {

struct LateResultFixture : ForwardFixture
{
  /// Result of a dispatch, with the number of the dispatch as body.
  static DispatchDone ResultOf(const Dispatch& aDispatch, AnswerMeaning aMeaning)
  {
    DispatchDone done;
    done.mId = aDispatch.mId;
    done.mDispatchId = aDispatch.mDispatchId;
    done.mResult.mStage = net::ExchangeStage::Answered;
    done.mResult.mResponse.mBody = std::to_string(aDispatch.mDispatchId);
    done.mMeaning = aMeaning;
    return done;
  }
};

// Guards against the result of an earlier dispatch of a request that is taken for that of the
// present one, whatever it says.
TEST_CASE_METHOD(LateResultFixture, "Forward, result of an earlier dispatch, is ignored", "[entry]")
{
  const AnswerMeaning late =
    GENERATE(AnswerMeaning::Result, AnswerMeaning::NotRun, AnswerMeaning::Unusable);
  Grant();
  Arrive("/read/1");
  const Dispatch first = EffectsOfType<Dispatch>().back();
  FinishDispatch(net::ExchangeStage::NotSent, AnswerMeaning::Result);
  REQUIRE(EffectsOfType<Dispatch>().size() == 1);
  const Dispatch second = EffectsOfType<Dispatch>().back();
  REQUIRE(second.mId == first.mId);
  CHECK(second.mDispatchId != first.mDispatchId);
  mEffects.clear();
  HandleEvent(ResultOf(first, late));
  CHECK(EffectsOfType<Reply>().empty());
  CHECK(EffectsOfType<Dispatch>().empty());
  HandleEvent(ResultOf(second, AnswerMeaning::Result));
  CHECK(LastAnswer().mResponse.mBody == std::to_string(second.mDispatchId));
}

// Guards against the result of a cancelled dispatch that is taken for that of another request.
TEST_CASE_METHOD(LateResultFixture,
                 "Forward, result of a request whose caller has left, is nobody's",
                 "[entry]")
{
  Grant();
  const RequestId left = Arrive("/read/1");
  const Dispatch first = EffectsOfType<Dispatch>().back();
  HandleEvent(CallerGone{ left, "closed" });
  REQUIRE(EffectsOfType<CancelDispatch>().size() == 1);
  const RequestId next = Arrive("/read/1");
  const Dispatch second = EffectsOfType<Dispatch>().back();
  CHECK(next != left);
  mEffects.clear();
  HandleEvent(ResultOf(first, AnswerMeaning::Result));
  CHECK(EffectsOfType<Reply>().empty());
  HandleEvent(ResultOf(second, AnswerMeaning::Result));
  const auto replies = EffectsOfType<Reply>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].mId == next);
  CHECK(LastAnswer().mResponse.mBody == std::to_string(second.mDispatchId));
}

} // namespace
} // namespace fighold::entry
