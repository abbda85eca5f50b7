#pragma once

#include "fighold/core/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// Test double: an HTTP server that breaks the protocol as a test says. Blocking, a thread for each
/// connection.
namespace fighold::testing {

/// One connection as a script sees it.
class FaultyConnection
{
public:
  FaultyConnection(boost::asio::ip::tcp::socket aSocket, int aNumber)
    : mSocket(std::move(aSocket))
    , mNumber(aNumber)
  {
  }

  /// @return number of the connection, from 1
  int Number() const { return mNumber; }

  /// @return false when the client closed the connection
  bool ReadRequest()
  {
    boost::system::error_code ec;
    const auto size =
      boost::asio::read_until(mSocket, boost::asio::dynamic_buffer(mBuffer), "\r\n\r\n", ec);
    mHead = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return !ec;
  }

  /// @return head of the last request, with the empty line
  const std::string& Head() const { return mHead; }

  /// @return value of a header of the last request, or an empty text
  std::string Header(const std::string& aName) const
  {
    const std::string start = "\r\n" + aName + ": ";
    const auto at = mHead.find(start);
    return at == std::string::npos
             ? ""
             : mHead.substr(at + start.size(),
                            mHead.find("\r\n", at + start.size()) - at - start.size());
  }

  /// @return false when the client closed the connection
  bool Write(const std::string& aText)
  {
    boost::system::error_code ec;
    boost::asio::write(mSocket, boost::asio::buffer(aText), ec);
    return !ec;
  }

  /// Answers whole; the body names the connection.
  void Answer(const std::string& aBody) { Write(AnswerText(aBody)); }

  static std::string AnswerText(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  /// Ends the connection with a reset instead of an orderly end.
  void Reset()
  {
    boost::system::error_code ec;
    mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    mSocket.close(ec);
  }

  /// Ends a read of this connection, from another thread.
  void Abort()
  {
    boost::system::error_code ec;
    mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
  }

  /// @return true if the client has closed the connection, even if bytes of it are still unread
  bool IsClosedByClient()
  {
    pollfd item{ mSocket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&item, 1, 0) > 0;
  }

private:
  boost::asio::ip::tcp::socket mSocket;
  std::string mBuffer;
  std::string mHead;
  int mNumber;
};

/// Called for each request.
/// @param aRequest number of the request at this server, from 1
/// @return false to close the connection
using Script = std::function<bool(FaultyConnection&, int aRequest)>;

/// The server; listens on loopback until it is destroyed.
class FaultyServer
{
public:
  explicit FaultyServer(Script aScript)
    : mScript(std::move(aScript))
    , mAcceptor(mContext, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
    , mThread([this] { Accept(); })
  {
  }

  ~FaultyServer()
  {
    mStopping = true;
    boost::system::error_code ec;
    boost::asio::ip::tcp::socket wake(mContext);
    wake.connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
    AbortConnections();
    for (std::thread& it : mThreads) {
      it.join();
    }
  }

  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  /// Ends all connections. The server goes on listening.
  void AbortConnections()
  {
    const std::lock_guard lock(mMutex);
    for (FaultyConnection* it : mOpenConnections) {
      it->Abort();
    }
  }

  Endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }
  int Connections() const { return mConnections; }
  int Requests() const { return mRequests; }
  int Open() const { return mOpen; }
  int MostOpen() const { return mMostOpen; }

  /// Calls a function for each open connection. None is opened or removed meanwhile.
  void ForEachOpen(const std::function<void(FaultyConnection&)>& aFunction)
  {
    const std::lock_guard lock(mMutex);
    for (FaultyConnection* it : mOpenConnections) {
      aFunction(*it);
    }
  }

private:
  void Accept()
  {
    while (!mStopping) {
      boost::system::error_code ec;
      auto socket = mAcceptor.accept(ec);
      if (!ec && !mStopping) {
        const int number = ++mConnections;
        // Pieces of an answer leave at once.
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        mThreads.emplace_back([this, number, socket = std::move(socket)]() mutable {
          Serve(std::move(socket), number);
        });
      }
    }
  }

  void Serve(boost::asio::ip::tcp::socket aSocket, int aNumber)
  {
    FaultyConnection connection(std::move(aSocket), aNumber);
    {
      const std::lock_guard lock(mMutex);
      mOpenConnections.push_back(&connection);
      mMostOpen = std::max<int>(mMostOpen, ++mOpen);
    }
    while (!mStopping && connection.ReadRequest() && mScript(connection, ++mRequests)) {
    }
    const std::lock_guard lock(mMutex);
    mOpenConnections.remove(&connection);
    --mOpen;
  }

  Script mScript;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mOpen{ 0 };
  std::atomic<int> mMostOpen{ 0 };
  std::mutex mMutex;
  std::list<FaultyConnection*> mOpenConnections;
  std::list<std::thread> mThreads;
  std::thread mThread;
};

} // namespace fighold::testing
