// Measurement program behind scripts/measure: one subject for each run, lines "name: value".

#include "subjects.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

DEFINE_int32(blocks, 1000, "client blocks of the plan");
DEFINE_int32(entries, 9, "entries of the configuration");
DEFINE_int32(servers, 36, "backend servers of the configuration");

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("measure parts|blocks|members|processes|load");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const std::string subject = aArgc > 1 ? aArgv[1] : "";
  try {
    if (subject == "parts") {
      fighold::measure::MeasureParts();
    } else if (subject == "blocks") {
      fighold::measure::MeasureBlocks(FLAGS_blocks);
    } else if (subject == "members") {
      fighold::measure::MeasureMembers(FLAGS_entries, FLAGS_servers);
    } else if (subject == "processes") {
      fighold::measure::MeasureProcesses();
    } else if (subject == "load") {
      fighold::measure::MeasureLoad();
    } else {
      std::cerr << "unknown subject \"" << subject << "\"\n";
      return 2;
    }
  } catch (const std::exception& error) {
    std::cerr << "measure: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
