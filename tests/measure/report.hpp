#pragma once

#include "fighold/core/time.hpp"

#include <string>
#include <vector>

/// Values that the measurement programs print, and readings of processes from /proc.
namespace fighold::measure {

/// Prints one line "name: value".
void
Report(const std::string& aName, double aValue);

/// @param aValues values in any order
/// @param aPart 0 to 1
/// @return the value below which that part lies; 0 without values
double
Quantile(std::vector<double> aValues, double aPart);

/// @return processor time used so far, user and system, in seconds
double
CpuSeconds(int aPid);

/// @return memory in use, in MiB
double
ResidentMebibytes(int aPid);

/// @return seconds since a time
double
SecondsSince(Instant aStart);

} // namespace fighold::measure
