#include "fighold/membership/change.hpp"
#include "fighold/membership/delta.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace fighold::membership {
namespace {

routes::RouteSet
MakeRoutes(std::uint64_t aNumber, const std::string& aRoute = "r1")
{
  routes::RouteSet set;
  set.mNumber = aNumber;
  set.mServices[{ "vardia" }] = {};
  routes::Route route;
  route.mName = aRoute;
  route.mHost = "patrol.example";
  route.mPathPrefix = "/shifts/";
  route.mServices = { { { "vardia" }, 1 } };
  set.mHosts = { route.mHost };
  set.mRoutes[aRoute] = route;
  return set;
}

struct RouteChangeFixture
{
  SharedValue<Configuration> mConfiguration;
  Version mPosition = 0;

  ChangeAnswer ApplyChange(const std::string& aId, ChangeBody aBody)
  {
    const ApplyResult applied =
      Apply(*mConfiguration, Change{ { aId }, std::move(aBody) }, ++mPosition);
    mConfiguration = applied.mConfiguration;
    return applied.mAnswer;
  }

  Verdict Submit(const std::string& aId, std::uint64_t aBase, const routes::RouteSet& aSet)
  {
    return ApplyChange(aId, SubmitRoutes{ aBase, SharedValue(aSet) }).mVerdict;
  }
};

// Guards against accepting two changes that are based on the same route set.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, two route sets with one base, accepts the first",
                 "[membership]")
{
  CHECK(Submit("a", 0, MakeRoutes(4)) == Verdict::Accepted);
  CHECK(Submit("b", 0, MakeRoutes(4, "r2")) == Verdict::Conflict);
  CHECK(mConfiguration->mRoutes->mRoutes.count("r1") == 1);
}

// Guards against refusing a retry of an accepted change.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, retry after other changes, gets its first answer",
                 "[membership]")
{
  CHECK(Submit("a", 0, MakeRoutes(4)) == Verdict::Accepted);
  CHECK(Submit("b", 4, MakeRoutes(9)) == Verdict::Accepted);
  CHECK(Submit("a", 0, MakeRoutes(4)) == Verdict::Accepted);
  CHECK(mConfiguration->mRoutes->mNumber == 9);
}

// Guards against an invalid or older route set in force.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, invalid route set, is refused and changes nothing",
                 "[membership]")
{
  CHECK(Submit("a", 0, MakeRoutes(4)) == Verdict::Accepted);
  routes::RouteSet invalid = MakeRoutes(9);
  invalid.mRoutes["r1"].mServices[0].mService = { "unknown" };
  CHECK(Submit("b", 4, invalid) == Verdict::Refused);
  CHECK(Submit("c", 4, MakeRoutes(4)) == Verdict::Refused);
  routes::RoutePatch patch;
  patch.mNumber = 9;
  patch.mRemovedServices = { { "vardia" } };
  CHECK(ApplyChange("d", PatchRoutes{ 4, SharedValue(patch) }).mVerdict == Verdict::Refused);
  CHECK(mConfiguration->mRoutes->mNumber == 4);
}

// Guards against stored answers that grow with the findings of invalid changes until they exhaust
// the memory, while the operator still gets every finding.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, invalid change with many findings, stores a short answer",
                 "[membership]")
{
  constexpr int kRoutes = 200;
  routes::RouteSet set = MakeRoutes(1);
  for (int n = 0; n < kRoutes; ++n) {
    routes::Route route = set.mRoutes["r1"];
    route.mName = "r\xc3\xa9" + std::to_string(n);
    route.mPathPrefix = "/p" + std::to_string(n) + "/";
    set.mRoutes[route.mName] = route;
  }
  REQUIRE(Submit("a", 0, set) == Verdict::Accepted);
  routes::RoutePatch patch;
  patch.mNumber = 2;
  patch.mRemovedServices = { { "vardia" } };
  const auto answer = ApplyChange("b", PatchRoutes{ 1, SharedValue(patch) });
  CHECK(answer.mVerdict == Verdict::Refused);
  CHECK(std::count(answer.mMessage.begin(), answer.mMessage.end(), '\n') >= kRoutes);
  const std::string& stored = mConfiguration->mAnswers.at({ "b" }).mMessage;
  CHECK(stored.size() <= kMaxStoredMessage);
  CHECK(stored.size() > kMaxStoredMessage - 4);
  CHECK(answer.mMessage.substr(0, stored.size()) == stored);
  CHECK((static_cast<unsigned char>(answer.mMessage[stored.size()]) & 0xC0U) != 0x80U);
  CHECK(ApplyChange("b", PatchRoutes{ 1, SharedValue(patch) }).mVerdict == Verdict::Refused);
}

// Guards against refusing the announcement of a backend server before the first route set or from a
// data centre that the plan does not name.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, announcement without a plan, is accepted",
                 "[membership]")
{
  BackendServer server;
  server.mIncarnation = 5;
  server.mService = { "vardia" };
  CHECK(ApplyChange("", AnnounceBackendServer{ { "s1" }, server, 0 }).mVerdict ==
        Verdict::Accepted);
}

// Guards against a drain that does not end or that applies to the wrong data centre.
TEST_CASE_METHOD(RouteChangeFixture,
                 "Apply, drain of a data centre set and ended, applies to that one only",
                 "[membership]")
{
  ApplyChange("a", SetDrain{ DrainKind::DataCentre, "attiki-a", true });
  CHECK(IsDrained(*mConfiguration, DataCentreId{ "attiki-a" }));
  CHECK_FALSE(IsDrained(*mConfiguration, DataCentreId{ "attiki-b" }));
  ApplyChange("b", SetDrain{ DrainKind::DataCentre, "attiki-a", false });
  CHECK_FALSE(IsDrained(*mConfiguration, DataCentreId{ "attiki-a" }));
}

// Guards against a decreasing number, two accepted route sets with one base, and a retry with
// a different answer, for any changes in any order.
TEST_CASE("Apply, random concurrent changes and retries, keeps one sequence of route sets",
          "[membership]")
{
  rc::prop("each accepted route set has a base of its own", [] {
    RouteChangeFixture fixture;
    std::map<std::string, Verdict> answers;
    std::map<std::uint64_t, std::string> acceptedIds;
    const auto count = *rc::gen::inRange(1, 60);
    for (int n = 0; n < count; ++n) {
      const auto base = *rc::gen::inRange<std::uint64_t>(0, 12);
      const auto number = *rc::gen::inRange<std::uint64_t>(1, 14);
      const auto variant = *rc::gen::inRange(0, 2);
      const std::string id =
        std::to_string(base) + "-" + std::to_string(number) + "-" + std::to_string(variant);
      const std::uint64_t before = fixture.mConfiguration->mRoutes->mNumber;
      const Verdict verdict =
        fixture.Submit(id, base, MakeRoutes(number, "r" + std::to_string(variant)));
      RC_ASSERT(fixture.mConfiguration->mRoutes->mNumber >= before);
      const auto [first, isNew] = answers.try_emplace(id, verdict);
      RC_ASSERT(first->second == verdict);
      if (isNew && verdict == Verdict::Accepted) {
        RC_ASSERT(acceptedIds.try_emplace(base, id).second);
      }
    }
  });
}

/// @return the part of a configuration that entries have
Configuration
EntryView(Configuration aConfiguration)
{
  aConfiguration.mAnswers.clear();
  aConfiguration.mHistory.clear();
  aConfiguration.mWithdrawn.clear();
  return aConfiguration;
}

/// Bytes of a journal that holds all versions of a test.
constexpr std::size_t kBytes = 1U << 20U;

// Guards against an entry whose configuration differs from that of the others after it applied
// deltas.
TEST_CASE("ApplyDelta, any two versions of random changes, gives the later one", "[membership]")
{
  rc::prop("the delta gives the later version", [] {
    RouteChangeFixture fixture;
    std::vector<SharedValue<Configuration>> versions{ fixture.mConfiguration };
    const auto count = *rc::gen::inRange(1, 40);
    for (int n = 0; n < count; ++n) {
      const std::string id = "s" + std::to_string(*rc::gen::inRange(0, 6));
      const auto incarnation = *rc::gen::inRange<Incarnation>(1, 4);
      BackendServer server;
      server.mIncarnation = incarnation;
      server.mService = { "vardia" };
      const std::uint64_t number = fixture.mConfiguration->mRoutes->mNumber;
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
          fixture.ApplyChange("", AnnounceBackendServer{ { id }, server, incarnation - 1 });
          break;
        case 1:
          fixture.ApplyChange("", DepartBackendServer{ { id }, incarnation });
          break;
        case 2:
          fixture.ApplyChange("", RemoveBackendServer{ { id }, incarnation });
          break;
        case 3:
          fixture.ApplyChange("", ForgetDeparted{ { id }, incarnation });
          break;
        case 4:
          fixture.ApplyChange("", RegisterEntry{ { id }, Entry{ incarnation, {}, {}, {}, 0 } });
          break;
        case 5:
          fixture.ApplyChange("", RemoveEntry{ { id }, incarnation });
          break;
        case 7:
          fixture.ApplyChange("", WithdrawBackendServer{ { id }, incarnation });
          break;
        case 6:
          fixture.ApplyChange("", SetDrain{ DrainKind::DataCentre, id, incarnation % 2 == 0 });
          break;
        default:
          fixture.ApplyChange(
            "r" + std::to_string(number),
            SubmitRoutes{ number, SharedValue(MakeRoutes(number + incarnation, id)) });
          break;
      }
      versions.push_back(fixture.mConfiguration);
    }
    const auto from = *rc::gen::inRange<std::size_t>(0, versions.size());
    const auto delta = MakeDelta(*versions[from], *versions.back());
    RC_ASSERT(delta);
    RC_ASSERT(ApplyDelta(EntryView(*versions[from]), *delta) == EntryView(*versions.back()));
    ChangeJournal journal;
    for (std::size_t n = 1; n < versions.size(); ++n) {
      if (versions[n]->mVersion != versions[n - 1]->mVersion) {
        AppendVersion(journal, *versions[n - 1], *versions[n], { versions.size(), kBytes });
      }
    }
    if (versions[from]->mVersion != versions.back()->mVersion) {
      const auto journaled = MakeDelta(journal, versions[from]->mVersion, *versions.back());
      RC_ASSERT(journaled);
      RC_ASSERT(ApplyDelta(EntryView(*versions[from]), *journaled) == EntryView(*versions.back()));
    }
    if (journal.mChanges.size() > 1) {
      // A version that the journal no longer holds needs the whole configuration.
      const Version dropped = journal.mChanges.front().mFrom;
      journal.mChanges.pop_front();
      RC_ASSERT(!MakeDelta(journal, dropped, *versions.back()));
    }
  });
}

/// A configuration with many routes of long names, and a journal of its changes.
struct JournalFixture
{
  static constexpr std::size_t kRoutes = 1400;

  Configuration mConfiguration;
  ChangeJournal mJournal;

  JournalFixture()
  {
    routes::RouteSet routes;
    routes.mNumber = 1;
    for (std::size_t n = 0; n < kRoutes; ++n) {
      const std::string name = "route-with-a-long-name-" + std::to_string(n);
      routes.mRoutes[name].mName = name;
    }
    mConfiguration.mRoutes = SharedValue(std::move(routes));
  }

  /// Changes the time-outs of the first routes.
  void Change(std::size_t aCount, const JournalLimits& aLimits)
  {
    Configuration next = mConfiguration;
    routes::RouteSet routes = *mConfiguration.mRoutes;
    ++routes.mNumber;
    for (auto it = routes.mRoutes.begin(); aCount > 0; ++it, --aCount) {
      it->second.mTimeout += Millis(1);
    }
    next.mRoutes = SharedValue(std::move(routes));
    ++next.mVersion;
    AppendVersion(mJournal, mConfiguration, next, aLimits);
    mConfiguration = std::move(next);
  }
};

// Guards against a journal whose memory grows with the size of the configuration, so that some
// hundred small changes of a large one exhaust the memory of a control process (review/7).
TEST_CASE_METHOD(JournalFixture,
                 "AppendVersion, small changes of many routes, takes a few hundred bytes for each",
                 "[membership]")
{
  for (std::size_t n = 0; n < 600; ++n) {
    Change(1, { 4096, 4U << 20U });
  }
  CHECK(mJournal.mChanges.size() == 600);
  CHECK(mJournal.mBytes < 600'000);
  const auto delta = MakeDelta(mJournal, 0, mConfiguration);
  REQUIRE(delta);
  CHECK(delta->mRoutes->mRoutes.size() == 1);
}

// Guards against a bound in versions that is no bound in bytes when each version changes all
// routes.
TEST_CASE_METHOD(JournalFixture,
                 "AppendVersion, changes of all routes, drops the oldest beyond the bytes",
                 "[membership]")
{
  constexpr std::size_t kLimit = 1U << 20U;
  for (std::size_t n = 0; n < 40; ++n) {
    Change(kRoutes, { 4096, kLimit });
    CHECK(mJournal.mBytes <= kLimit);
  }
  CHECK(mJournal.mChanges.size() > 1);
  CHECK(mJournal.mChanges.size() < 40);
  CHECK_FALSE(MakeDelta(mJournal, 0, mConfiguration));
  CHECK(MakeDelta(mJournal, mJournal.mChanges.front().mFrom, mConfiguration));
  Change(kRoutes, { 4096, 1000 });
  CHECK(mJournal == ChangeJournal{});
  CHECK_FALSE(MakeDelta(mJournal, mConfiguration.mVersion - 1, mConfiguration));
}

} // namespace
} // namespace fighold::membership
