#pragma once

#include "fighold/membership/configuration.hpp"

/// Generated plans and configurations of a given size, from a fixed seed.
namespace fighold::measure {

/// Regions of the size to design for.
constexpr int kRegions = 37;

/// @param aBlocks client blocks, about one in sixteen inside another one
/// @return plan with 37 regions and one service
plan::Plan
MakePlan(int aBlocks);

/// @return configuration with the plan, entries and backend servers; version 1
membership::Configuration
MakeConfiguration(const plan::Plan& aPlan, int aEntries, int aServers);

} // namespace fighold::measure
