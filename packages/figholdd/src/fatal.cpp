#include "fatal.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace fighold::figholdd {

std::string
DescribeCurrentException()
{
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return "no exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "exception of another type";
  }
}

void
PrintExceptionAndAbort()
{
  std::cerr << "event=fatal reason=\"" << DescribeCurrentException() << "\"" << std::endl;
  std::abort();
}

} // namespace fighold::figholdd
