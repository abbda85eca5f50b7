#pragma once

#include <cstdint>
#include <string_view>

/// What became of a request, and how urgent it is.
namespace fighold {

/// Outcome that an answer states to the caller.
enum class Outcome : std::uint8_t
{
  Run,     ///< a backend server ran the request and this is its whole answer
  NotRun,  ///< no backend server ran the request
  Unknown, ///< the request may have been run
};

/// Urgency class of a service.
enum class RequestClass : std::uint8_t
{
  Urgent,
  Standard,
  Deferred,
};

/// @return value of the Fighold-Outcome header: "run", "not-run" or "unknown"
std::string_view
ToText(Outcome aOutcome);

/// @return "urgent", "standard" or "deferred"
std::string_view
ToText(RequestClass aClass);

} // namespace fighold
