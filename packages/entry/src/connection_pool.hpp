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

/// Connections of an entry to backend servers; the state of each follows charts/connection.scxml.
namespace fighold::entry {

/// States of charts/connection.scxml, in the order of its registry.
enum class ConnectionState : std::uint8_t
{
  Connecting,
  Idle,
  Busy,
  Distrusted,
  Closed,
};

/// Events of charts/connection.scxml, in the order of its registry.
enum class ConnectionEvent : std::uint8_t
{
  Connected,
  Taken,
  Answered,
  Failed,
  Silent,
  Cancelled,
  Aged,
  PathSilent,
};

/// A connection and its state. The exchange that uses it shares ownership, so that it outlives a
/// cancellation.
struct PooledConnection
{
  Endpoint mEndpoint;
  std::unique_ptr<net::HttpConnection> mHttp;
  ConnectionState mState = ConnectionState::Connecting;
  Instant mLastSuccessAt{}; ///< when it was opened or last received a complete answer
  Instant mBusySince{};
};

struct ConnectionScope;

/// All connections by endpoint. A backend server's endpoint is called a path in the chart.
struct ConnectionPool
{
  chart::BoundChart<ConnectionScope> mChart;
  std::function<std::unique_ptr<net::HttpConnection>(const Endpoint&)> mCreateConnection;
  /// Newest connection first.
  std::map<Endpoint, std::list<std::shared_ptr<PooledConnection>>> mByEndpoint;
};

/// Context in which the conditions and actions of one connection run for one event.
struct ConnectionScope
{
  ConnectionPool& mPool;
  PooledConnection& mConnection;
  Instant mNow;
  Instant mSilentSince{}; ///< start of the exchange that got no answer
};

/// Loads charts/connection.scxml.
/// @throws FindingsError with every finding
chart::BoundChart<ConnectionScope>
LoadConnectionChart(const std::filesystem::path& aFolder);

/// Acquires an idle connection, or opens one if there are fewer than aShare to the endpoint.
/// @param aShare maximum number of connections that this entry may have to the endpoint
/// @return connection in the state busy (was idle) or connecting; null if the share is used up
std::shared_ptr<PooledConnection>
AcquireConnection(ConnectionPool& aPool,
                  const Endpoint& aEndpoint,
                  std::size_t aShare,
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

/// Closes idle connections that are no longer reusable or that were idle for too long.
void
CloseStaleConnections(ConnectionPool& aPool, Instant aNow);

/// @return number of idle connections
std::size_t
CountIdle(const ConnectionPool& aPool);

} // namespace fighold::entry
