#include "fighold/entry/state.hpp"

#include "availability_chart.hpp"
#include "forward_chart.hpp"
#include "request_chart.hpp"
#include "stage_chart.hpp"

namespace fighold::entry {

Charts
LoadCharts(const std::filesystem::path& aFolder)
{
  return { chart::LoadBoundChart(aFolder / "request.scxml", RequestRegistry()),
           chart::LoadBoundChart(aFolder / "entry.scxml", StageRegistry()),
           chart::LoadBoundChart(aFolder / "forward.scxml", ForwardRegistry()),
           chart::LoadBoundChart(aFolder / "availability.scxml", AvailabilityRegistry()) };
}

State
MakeState(Options aOptions, Charts aCharts)
{
  State state;
  state.mRandom = aOptions.mSeed;
  state.mClaimClient.mOptions = { aOptions.mId, aOptions.mEntry.mIncarnation, aOptions.mControls };
  // Request numbers start at the incarnation. A late grant to an earlier process then matches no
  // renewal of this one.
  state.mNextRequestNumber = aOptions.mEntry.mIncarnation;
  state.mOptions = std::move(aOptions);
  state.mCharts = std::move(aCharts);
  return state;
}

std::uint64_t
NextRandom(State& aState)
{
  aState.mRandom += 0x9e3779b97f4a7c15U;
  std::uint64_t n = aState.mRandom;
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
  return n ^ (n >> 31U);
}

} // namespace fighold::entry
