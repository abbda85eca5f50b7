#include "claim_holding.hpp"

#include <catch2/catch.hpp>

namespace fighold::control {
namespace {

/// A control process c1 that started with an empty data folder.
struct ClaimReplicaFixture
{
  State mState;
  Instant mNow{ std::chrono::hours(1) };

  ClaimReplicaFixture()
  {
    mState.mNode.mOptions.mSelf = { "c1" };
    mState.mNode.mIncarnation = 7;
    mState.mClaims = claims::MakeReplica({ { "c1" }, { { "c1" }, { "c2" }, { "c3" } }, 7 }, true);
    mState.mStartedEmpty = true;
  }

  /// Commits the log entry that bootstraps the group.
  void CommitFoundingEntry(Incarnation aSelfIncarnation)
  {
    const agreement::Membership initialMembership{
      7, { { { "c1" }, aSelfIncarnation }, { { "c2" }, 8 }, { { "c3" }, 9 } }
    };
    mState.mNode.mLog = {
      { 1, 1, agreement::EncodeMembership(initialMembership), agreement::EntryKind::Membership }
    };
    mState.mNode.mSyncedIndex = 1;
    mState.mNode.mCommitIndex = 1;
  }

  void Tick()
  {
    Context context{ mState, mNow, {} };
    TickClaims(context);
  }

  /// @return code of the reply to a claim request sent by e1, or nothing without a reply
  std::optional<claims::ReplyCode> RequestClaim(const std::string& aClaimant = "e1")
  {
    Context context{ mState, mNow, {} };
    CHECK(HandleClaimMessage(
      context,
      EntryMessage{ { "e1" }, claims::ClaimRequest{ "k", "d", { { aClaimant }, 1, 1 } } }));
    if (context.mEffects.empty()) {
      return std::nullopt;
    }
    return std::get<claims::ClaimReply>(std::get<SendEntry>(context.mEffects[0]).mBody).mCode;
  }
};

TEST_CASE_METHOD(ClaimReplicaFixture,
                 "Claim replica, initial member, grants once the group is bootstrapped",
                 "[control]")
{
  Tick();
  CHECK(RequestClaim() == claims::ReplyCode::Abstained);
  CommitFoundingEntry(7);
  CHECK(RequestClaim() == claims::ReplyCode::Abstained);
  Tick();
  CHECK(RequestClaim() == claims::ReplyCode::Granted);
}

// Guards against a process that grants claims after its data folder, and with it its earlier
// grants, was lost.
TEST_CASE_METHOD(ClaimReplicaFixture,
                 "Claim replica, initial member with a new data folder, abstains",
                 "[control]")
{
  CommitFoundingEntry(6);
  Tick();
  CHECK(RequestClaim() == claims::ReplyCode::Abstained);
}

TEST_CASE_METHOD(ClaimReplicaFixture, "Claim replica, joined by a snapshot, abstains", "[control]")
{
  mState.mNode.mLog = { { 20, 2, "change" } };
  mState.mNode.mSyncedIndex = 20;
  mState.mNode.mCommitIndex = 20;
  Tick();
  CHECK(RequestClaim() == claims::ReplyCode::Abstained);
}

// Guards against an entry that claims on behalf of another one.
TEST_CASE_METHOD(ClaimReplicaFixture,
                 "Claim replica, request on behalf of another entry, is ignored",
                 "[control]")
{
  CommitFoundingEntry(7);
  Tick();
  CHECK_FALSE(RequestClaim("e2"));
}

} // namespace
} // namespace fighold::control
