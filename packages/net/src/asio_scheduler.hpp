#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <memory>

namespace fighold::net::detail {

/// Fiber scheduling algorithm that sleeps in an Asio event loop while no fiber is ready.
class AsioScheduler : public boost::fibers::algo::algorithm
{
public:
  explicit AsioScheduler(std::shared_ptr<boost::asio::io_context> aContext);

  void awakened(boost::fibers::context* aFiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(const std::chrono::steady_clock::time_point& aUntil) noexcept override;
  void notify() noexcept override;

private:
  std::shared_ptr<boost::asio::io_context> mContext;
  boost::asio::steady_timer mTimer;
  std::chrono::steady_clock::time_point mArmedFor = std::chrono::steady_clock::time_point::max();
  boost::fibers::scheduler::ready_queue_type mReady;
};

} // namespace fighold::net::detail
