#pragma once

#include <string>

namespace fighold::figholdd {

/// @return message of the exception that is being handled, or why there is none
std::string
DescribeCurrentException();

/// Terminate handler: prints the exception that no thread has handled, and aborts.
[[noreturn]] void
PrintExceptionAndAbort();

} // namespace fighold::figholdd
