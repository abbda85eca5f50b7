#pragma once

#include "fighold/chart/bound_chart.hpp"
#include "fighold/core/time.hpp"
#include "fighold/net/http_client.hpp"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Connections of an entry to backend servers; the state of each follows charts/connection.scxml.
namespace fighold::entry {

/// States of charts/connection.scxml, in the order of ConnectionRegistry().
enum class ConnectionState : std::uint8_t
{
  Connecting,
  Idle,
  Busy,
  Distrusted,
  Closed,
};

/// Events of charts/connection.scxml, in the order of ConnectionRegistry().
enum class ConnectionEvent : std::uint8_t
{
  Connected,
  Taken,
  Answered,
  Failed,
  Silent, ///< no byte of the answer arrived in time
  Cancelled,
  Aged,       ///< idle for too long
  PathSilent, ///< another connection to the same endpoint was silent
  Displaced,  ///< closed in favour of a new connection
};

/// Maximum number of identifiers that a connection carries before it is closed. It remembers them
/// in 2 KiB, and needs one new connection in 256 requests.
constexpr std::size_t kMaxCarriedIds = 256;

/// A connection and its state. An exchange shares ownership of its connection, because the pool
/// drops a cancelled connection before the exchange has ended.
struct PooledConnection
{
  Endpoint mEndpoint;
  std::unique_ptr<net::HttpConnection> mHttp;
  ConnectionState mState = ConnectionState::Connecting;
  Instant mLastSuccessAt{};     ///< when it was opened or last received a complete answer
  Instant mBusySince{};         ///< start of the last exchange
  std::uint64_t mNumber = 0;    ///< number of the connection in its pool, from 1
  std::uint64_t mExchanges = 0; ///< exchanges that were started on it
  /// Hashes of the identifiers of the requests that it carried. A server may write an answer once
  /// more, and only the identifier tells to which request that belongs.
  std::vector<std::uint64_t> mCarriedIds;
  /// Requests without identifier that it carried. The copy of an answer to one names no request
  /// either.
  std::uint64_t mUnnamedRequests = 0;
};

struct ConnectionScope;

/// All connections by endpoint of the backend server; the chart calls an endpoint a path.
struct ConnectionPool
{
  chart::BoundChart<ConnectionScope> mChart;
  std::function<std::unique_ptr<net::HttpConnection>(const Endpoint&)> mCreateConnection;
  /// Newest connection first.
  std::map<Endpoint, std::list<std::shared_ptr<PooledConnection>>> mByEndpoint;
  std::uint64_t mOpened = 0; ///< connections that were created
};

/// What the guards and actions read and change while one event of a connection is handled.
struct ConnectionScope
{
  ConnectionPool& mPool;
  PooledConnection& mConnection;
  Instant mNow;
  Instant mSilentSince{}; ///< for PathSilent: start of the exchange that got no answer
};

/// Loads charts/connection.scxml.
/// @throws FindingsError with every finding
chart::BoundChart<ConnectionScope>
LoadConnectionChart(const std::filesystem::path& aFolder);

/// Acquires an idle connection that has not carried a request with the same identifier, whichever
/// server it was meant for, or opens one. If there are aMaxConnections to the endpoint already, an
/// idle one is closed for it.
/// @param aRequestId identifier that the answers repeat; empty if the request has none
/// @param aMaxConnections maximum number of connections that this entry may have to the endpoint
/// @return connection in the state busy (was idle) or connecting; null if the share is used up
std::shared_ptr<PooledConnection>
AcquireConnection(ConnectionPool& aPool,
                  const Endpoint& aEndpoint,
                  const std::string& aRequestId,
                  std::size_t aMaxConnections,
                  Instant aNow);

/// Applies an event. A connection that becomes closed is removed from the pool.
void
FireConnection(ConnectionPool& aPool,
               const std::shared_ptr<PooledConnection>& aConnection,
               ConnectionEvent aEvent,
               Instant aNow);

/// Ends an exchange on a connection.
void
EndExchange(ConnectionPool& aPool,
            const std::shared_ptr<PooledConnection>& aConnection,
            const net::ExchangeResult& aResult,
            Instant aNow);

/// Closes idle connections that were idle for too long, that the server closed, or on which
/// unexpected bytes arrived.
void
CloseStaleConnections(ConnectionPool& aPool, Instant aNow);

/// @return number of idle connections
std::size_t
CountIdle(const ConnectionPool& aPool);

} // namespace fighold::entry
