#include "report.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace fighold::measure {
namespace {

constexpr double kBytesInMebibyte = 1024.0 * 1024.0;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  if (text.empty()) {
    throw std::runtime_error("cannot read " + aPath);
  }
  return text;
}

} // namespace

void
Report(const std::string& aName, double aValue)
{
  std::printf("%s: %.6g\n", aName.c_str(), aValue);
  std::fflush(stdout);
}

double
Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(aPart * static_cast<double>(aValues.size()));
  const auto n = std::min(aValues.size() - 1, rank);
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n), aValues.end());
  return aValues[n];
}

double
CpuSeconds(int aPid)
{
  const std::string text = ReadFile("/proc/" + std::to_string(aPid) + "/stat");
  // The name of the process may hold spaces; the fields after its closing bracket are fixed.
  std::istringstream in(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int n = 0; n < kFieldsBeforeUserTime; ++n) {
    in >> skipped;
  }
  double user = 0;
  double system = 0;
  in >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double
ResidentMebibytes(int aPid)
{
  std::istringstream in(ReadFile("/proc/" + std::to_string(aPid) + "/statm"));
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesInMebibyte;
}

double
SecondsSince(Instant aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - aStart).count();
}

} // namespace fighold::measure
