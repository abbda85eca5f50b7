#pragma once

#include "fighold/net/http_client.hpp"
#include "fighold/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// An HTTP server and HTTP clients of the net package in one thread, for tests that send raw bytes.
namespace fighold::testing {

class LoopServer
{
public:
  LoopServer(net::ServerOptions aOptions, net::Handler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mThread([this] { mLoop.Run([this] { Run(); }); })
    , mAddress(mStarted.get_future().get())
  {
  }

  ~LoopServer()
  {
    if (!mIsStopped) {
      Stop();
    }
  }

  LoopServer(const LoopServer&) = delete;
  LoopServer& operator=(const LoopServer&) = delete;

  const Endpoint& Address() const { return mAddress; }

  /// Stops the server and waits until it has ended. May be called once.
  /// @param aLimit longest time for which the server waits for its connections
  /// @param aReadLimit time after which it reads no more
  /// @return true if all connections ended in time
  bool Stop(std::chrono::seconds aLimit = std::chrono::seconds(10),
            std::optional<Millis> aReadLimit = std::nullopt)
  {
    mIsStopped = true;
    mStopLimit = aLimit;
    mReadLimit = aReadLimit;
    mLoop.Post([this] { mStop.set_value(); });
    mThread.join();
    return mAllEnded;
  }

  /// Sends bytes on a new connection and closes its sending side.
  /// @param aPause time after each piece, so that the server reads the pieces one by one
  /// @return all that the server answers
  std::string Send(const std::vector<std::string>& aPieces, std::chrono::milliseconds aPause = {})
  {
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address_v4(mAddress.mHost), mAddress.mPort });
    socket.set_option(Tcp::no_delay(true));
    boost::system::error_code ec;
    for (const std::string& it : aPieces) {
      boost::asio::write(socket, boost::asio::buffer(it), ec);
      std::this_thread::sleep_for(aPause);
    }
    socket.shutdown(Tcp::socket::shutdown_send, ec);
    std::string text;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
    return text;
  }

  /// Sends a request to a server with a client in this loop.
  net::ExchangeResult Exchange(const Endpoint& aServer,
                               const net::HttpRequest& aRequest,
                               const net::ExchangeLimits& aLimits,
                               const net::ClientOptions& aOptions = {})
  {
    std::promise<net::ExchangeResult> result;
    mLoop.Post([&] {
      boost::fibers::fiber([&] {
        net::HttpConnection connection(mLoop, aServer, aOptions);
        result.set_value(connection.Exchange(aRequest, aLimits));
      }).detach();
    });
    return result.get_future().get();
  }

private:
  void Run()
  {
    net::HttpServer server(mLoop, mOptions, mHandler);
    boost::fibers::fiber serve([&server] { server.Serve(); });
    mStarted.set_value(server.Address());
    mStop.get_future().wait();
    const Instant now = std::chrono::steady_clock::now();
    mAllEnded = server.Stop(now + mStopLimit, mReadLimit ? now + *mReadLimit : Instant::max());
    serve.join();
    server.WaitUntilEnded(std::chrono::steady_clock::now() + mStopLimit);
  }

  net::FiberLoop mLoop;
  net::ServerOptions mOptions;
  net::Handler mHandler;
  std::promise<Endpoint> mStarted;
  boost::fibers::promise<void> mStop;
  std::thread mThread;
  Endpoint mAddress;
  bool mIsStopped = false;
  std::chrono::seconds mStopLimit{}; ///< written before the loop's thread is told to stop
  std::optional<Millis> mReadLimit;  ///< the same
  bool mAllEnded = false;            ///< written by the loop's thread before it ends
};

} // namespace fighold::testing
