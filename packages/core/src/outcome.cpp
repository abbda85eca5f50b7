#include "fighold/core/outcome.hpp"

namespace fighold {

std::string_view
ToText(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Run:
      return "run";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

std::string_view
ToText(RequestClass aClass)
{
  switch (aClass) {
    case RequestClass::Urgent:
      return "urgent";
    case RequestClass::Standard:
      return "standard";
    case RequestClass::Deferred:
      break;
  }
  return "deferred";
}

} // namespace fighold
