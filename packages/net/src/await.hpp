#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace fighold::net::detail {

/// Result of an asynchronous operation.
struct IoResult
{
  boost::system::error_code mError;
  std::size_t mSize = 0;
};

/// Starts an asynchronous operation and suspends the fiber until it completes.
/// @param aStart called with a handler for (error_code) or (error_code, size)
template<typename Start>
IoResult
Await(const Start& aStart)
{
  boost::fibers::promise<IoResult> promise;
  auto future = promise.get_future();
  aStart([&promise](const boost::system::error_code& aError, std::size_t aSize = 0) {
    promise.set_value(IoResult{ aError, aSize });
  });
  return future.get();
}

} // namespace fighold::net::detail
