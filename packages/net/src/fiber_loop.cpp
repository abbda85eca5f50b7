#include "fighold/net/fiber_loop.hpp"

#include "asio_scheduler.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

namespace fighold::net {

FiberLoop::FiberLoop()
  : mContext(std::make_shared<boost::asio::io_context>(1))
{
}

FiberLoop::~FiberLoop() = default;

void
FiberLoop::Run(const std::function<void()>& aMain)
{
  boost::fibers::use_scheduling_algorithm<detail::AsioScheduler>(mContext);
  // Without pending work run_one() would return at once and the thread would spin.
  const auto guard = boost::asio::make_work_guard(*mContext);
  aMain();
}

void
FiberLoop::Post(std::function<void()> aFunction)
{
  boost::asio::post(*mContext, std::move(aFunction));
}

boost::asio::io_context&
FiberLoop::Context()
{
  return *mContext;
}

} // namespace fighold::net
