#include "fighold/chart/bound_chart.hpp"
#include "fighold/chart/chart.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::chart {
namespace {

enum class Door
{
  Closed,
  Open,
};

enum class DoorEvent
{
  Push,
  Pull,
};

struct DoorScope
{
  bool mLocked = false;
  int mOpened = 0;
};

struct ChartFixture
{
  std::string mText = R"(<scxml initial="closed">
  <state id="closed">
    <transition event="push" cond="locked"/>
    <transition event="push" target="open"/>
  </state>
  <state id="open">
    <onentry><fighold:do name="count"/></onentry>
    <transition event="pull" target="closed"/>
  </state>
</scxml>)";
  Registry<DoorScope> mRegistry{ { "closed", "open" },
                                 { "push", "pull" },
                                 { { "locked",
                                     [](const DoorScope& aScope) { return aScope.mLocked; } } },
                                 { { "count", [](DoorScope& aScope) { ++aScope.mOpened; } } } };

  BoundChart<DoorScope> Bound() const
  {
    return *Bind(*ParseChart(mText, "door").mValue, mRegistry).mValue;
  }
};

TEST_CASE_METHOD(ChartFixture,
                 "Fire, guard does not hold, takes the next transition and runs entry actions",
                 "[chart]")
{
  DoorScope scope;
  const auto fired = Fire(Bound(), Door::Closed, DoorEvent::Push, scope);
  CHECK(fired == FireResult<Door>{ Door::Open, true });
  CHECK(scope.mOpened == 1);
}

TEST_CASE_METHOD(ChartFixture, "Fire, guard holds without a target, stays", "[chart]")
{
  DoorScope scope{ true, 0 };
  CHECK(Fire(Bound(), Door::Closed, DoorEvent::Push, scope) ==
        FireResult<Door>{ Door::Closed, true });
  CHECK(scope.mOpened == 0);
}

TEST_CASE_METHOD(ChartFixture,
                 "Fire, event without a transition, reports that nothing was taken",
                 "[chart]")
{
  DoorScope scope;
  CHECK(Fire(Bound(), Door::Closed, DoorEvent::Pull, scope) ==
        FireResult<Door>{ Door::Closed, false });
}

// Guards against a parser that stops at the first error instead of reporting all of them with
// lines.
TEST_CASE_METHOD(ChartFixture, "ParseChart, several errors, reports each with its line", "[chart]")
{
  const auto checked = ParseChart(R"(<scxml initial="a">
  <state id="a"><transition event="x" target="nowhere"/></state>
  <state id="b"/>
  <parallel/>
</scxml>)",
                                  "bad");
  REQUIRE_FALSE(checked.mValue);
  CHECK(FormatFindings(checked.mFindings) == "bad:4: unsupported element <parallel>\n"
                                             "bad:2: target \"nowhere\" does not exist\n"
                                             "bad:3: state \"b\" is not reachable\n");
}

// Guards against a function that was renamed in the code but not in the chart.
TEST_CASE_METHOD(ChartFixture,
                 "Bind, unknown guard, event and action, refuses with all three",
                 "[chart]")
{
  mRegistry.mGuards.clear();
  mRegistry.mActions.clear();
  mRegistry.mEvents = { "push" };
  const auto checked = Bind(*ParseChart(mText, "door").mValue, mRegistry);
  CHECK_FALSE(checked.mValue);
  CHECK(checked.mFindings.size() == 3);
}

// Guards against crashes on corrupt chart files.
TEST_CASE_METHOD(ChartFixture,
                 "ParseChart, text truncated at any place, gives a chart or findings",
                 "[chart]")
{
  for (std::size_t n = 0; n < mText.size(); ++n) {
    const auto checked = ParseChart(std::string_view(mText).substr(0, n), "cut");
    CHECK(checked.mValue.has_value() == checked.mFindings.empty());
  }
}

TEST_CASE_METHOD(ChartFixture, "ParseChart, random bytes, gives a chart or findings", "[chart]")
{
  rc::prop("never both and never neither", [](const std::string& aText) {
    const auto checked = ParseChart(aText, "random");
    RC_ASSERT(checked.mValue.has_value() == checked.mFindings.empty());
  });
}

} // namespace
} // namespace fighold::chart
