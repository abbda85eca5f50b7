#include "asio_scheduler.hpp"

#include <boost/asio/post.hpp>

namespace fighold::net::detail {
namespace {

constexpr auto kNever = std::chrono::steady_clock::time_point::max();

} // namespace

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
  // Setting the timer again cancels the wait that is pending, and its handler would end run_one()
  // at once: with a sleeping fiber the thread would spin after the first I/O event.
  if (aUntil != kNever && aUntil != mArmedFor) {
    mArmedFor = aUntil;
    mTimer.expires_at(aUntil);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        mArmedFor = kNever;
      }
    });
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
