#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

/// Fibers on an event loop.
namespace fighold::net {

/// Runs the fibers of one thread on an Asio event loop; the thread sleeps in the loop while no
/// fiber is ready.
class FiberLoop
{
public:
  FiberLoop();
  ~FiberLoop();
  FiberLoop(const FiberLoop&) = delete;
  FiberLoop& operator=(const FiberLoop&) = delete;

  /// Makes the current thread run fibers on this loop, then runs a function as its main fiber. Call
  /// it once.
  /// @param aMain returns when the thread shall end; all other fibers must have ended by then
  void Run(const std::function<void()>& aMain);

  /// Runs a function on the loop's thread, from any thread.
  /// @param aFunction must not block
  void Post(std::function<void()> aFunction);

  /// @return event loop, for sockets
  boost::asio::io_context& Context();

private:
  std::shared_ptr<boost::asio::io_context> mContext;
};

} // namespace fighold::net
