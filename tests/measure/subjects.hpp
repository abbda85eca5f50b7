#pragma once

/// Subjects of the measurement program; each prints "name: value" lines.
namespace fighold::measure {

/// Cost of one chart event and of one hop through rings.
void
MeasureParts();

/// Cost of the entry's decisions about look-ups and requests, by the number of client blocks.
/// @param aBlocks client blocks of the plan
void
MeasureBlocks(int aBlocks);

/// Size and cost of the configuration and of grants, by the number of members.
void
MeasureMembers(int aEntries, int aServers);

/// Processor time and memory of running processes over a time, from --pids and --seconds.
void
MeasureProcesses();

/// HTTP requests in a closed loop, from the flags of load.cpp.
void
MeasureLoad();

} // namespace fighold::measure
