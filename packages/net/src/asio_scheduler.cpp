#include "asio_scheduler.hpp"

#include <boost/asio/post.hpp>

namespace fighold::net::detail {

AsioScheduler::AsioScheduler(std::shared_ptr<boost::asio::io_context> aContext)
  : mContext(std::move(aContext))
  , mTimer(*mContext)
{
}

void
AsioScheduler::awakened(boost::fibers::context* aFiber) noexcept
{
  aFiber->ready_link(mReady);
}

boost::fibers::context*
AsioScheduler::pick_next() noexcept
{
  if (mReady.empty()) {
    return nullptr;
  }
  boost::fibers::context* fiber = &mReady.front();
  mReady.pop_front();
  return fiber;
}

bool
AsioScheduler::has_ready_fibers() const noexcept
{
  return !mReady.empty();
}

void
AsioScheduler::suspend_until(const std::chrono::steady_clock::time_point& aUntil) noexcept
{
  if (aUntil != std::chrono::steady_clock::time_point::max()) {
    mTimer.expires_at(aUntil);
    mTimer.async_wait([](const boost::system::error_code& /*aError*/) {});
  }
  mContext->restart();
  mContext->run_one();
  mContext->poll();
}

void
AsioScheduler::notify() noexcept
{
  boost::asio::post(*mContext, [] {});
}

} // namespace fighold::net::detail
