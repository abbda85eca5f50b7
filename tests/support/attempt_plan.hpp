#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <random>

/// Seeded plans of what a backend server does with the attempts that reach it.
namespace fighold::testing {

enum class AnswerKind : std::uint8_t
{
  Run,
  Refuse,
  Silence,
  Cut, ///< runs the request, and closes the connection within the answer
};

enum class BodyForm : std::uint8_t
{
  Empty,
  Length,
  Chunks,
};

/// When the copy of a refusal is written besides those in front of later answers.
enum class OwnCopy : std::uint8_t
{
  None,
  WithAnswer,
  AfterAnswer, ///< in a write of its own
};

/// When copies are written on all connections, before the server has read the request.
enum class CopyBeforeRequest : std::uint8_t
{
  None,
  BeforeTaken,    ///< before a connection is chosen for the request
  AfterTaken,     ///< between the check for unasked bytes and the write of the request
  AfterTakenPart, ///< the same, but the last bytes follow in front of the answer
};

/// What the server does with one attempt.
struct AttemptPlan
{
  AnswerKind mKind = AnswerKind::Run;
  unsigned mStatus = 200;
  BodyForm mBody = BodyForm::Empty;
  std::size_t mBodySize = 0;
  bool mCloses = false;     ///< Connection: close
  bool mIsInPieces = false; ///< copies and answer are cut and written with pauses
  bool mIsLeaving = false;
  unsigned mPause = 0;  ///< Retry-After in seconds
  unsigned mCopies = 0; ///< copies of earlier refusals in front of the answer
  OwnCopy mOwnCopy = OwnCopy::None;
  CopyBeforeRequest mCopyBefore = CopyBeforeRequest::None;
  bool mStopsEntry = false; ///< the entry stops for a while between its steps

  friend auto operator<=>(const AttemptPlan&, const AttemptPlan&) = default;
};

/// @return what the server does with an attempt, whatever happened before
inline AttemptPlan
PlanOf(std::uint64_t aSeed, std::uint64_t aAttempt)
{
  std::mt19937_64 random(aSeed * 1'000'003 + aAttempt);
  const auto draw = [&random](std::uint64_t aBelow) { return random() % aBelow; };
  constexpr std::array kRefusals{ 503U, 429U, 421U, 400U };
  constexpr std::array<std::size_t, 3> kSizes{ 1, 7, 400 };
  AttemptPlan plan;
  const auto kind = draw(100);
  plan.mKind = kind < 55   ? AnswerKind::Refuse
               : kind < 96 ? AnswerKind::Run
               : kind < 98 ? AnswerKind::Silence
                           : AnswerKind::Cut;
  plan.mStatus = plan.mKind == AnswerKind::Refuse ? kRefusals.at(draw(kRefusals.size())) : 200;
  // Most bodies are empty: others cannot be told from the next answer where GET and HEAD mix.
  plan.mBody = draw(2) == 0 ? BodyForm::Empty : draw(2) == 0 ? BodyForm::Length : BodyForm::Chunks;
  plan.mBodySize = plan.mBody == BodyForm::Empty ? 0 : kSizes.at(draw(kSizes.size()));
  plan.mCloses = draw(25) == 0;
  plan.mIsInPieces = draw(8) == 0;
  plan.mIsLeaving = draw(3) == 0;
  plan.mPause = static_cast<unsigned>(draw(6));
  plan.mCopies = draw(20) == 0 ? 6 : static_cast<unsigned>(draw(4));
  plan.mOwnCopy = static_cast<OwnCopy>(draw(8) < 6 ? 0 : 1 + draw(2));
  plan.mCopyBefore = static_cast<CopyBeforeRequest>(draw(10) < 8 ? 0 : 1 + draw(3));
  plan.mStopsEntry = draw(40) == 0;
  return plan;
}

} // namespace fighold::testing
