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

/// Connections of an entry to backend servers; charts/connection.scxml drives the life of each.
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

/// Events of a connection, in the order of the registry.
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

/// A connection with its life. The exchange that uses it holds a share, so that it outlives a
/// cancellation.
struct PooledConnection
{
  Endpoint mPath;
  std::unique_ptr<net::HttpConnection> mHttp;
  ConnectionState mState = ConnectionState::Connecting;
  Instant mProvenAt{}; ///< opened, or last gave a whole answer
  Instant mBusySince{};
};

struct ConnectionScope;

/// All connections, by path: the address of a backend server.
struct ConnectionPool
{
  chart::BoundChart<ConnectionScope> mChart;
  std::function<std::unique_ptr<net::HttpConnection>(const Endpoint&)> mMake;
  std::map<Endpoint, std::list<std::shared_ptr<PooledConnection>>> mPaths; ///< newest first
};

/// Working copy of one step of one connection.
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

/// Takes an idle connection, or opens one when the path has fewer than aShare connections.
/// @param aShare connections that this entry may have to the path
/// @return connection in the state busy (idle before) or connecting; null when the share is used up
std::shared_ptr<PooledConnection>
TakeConnection(ConnectionPool& aPool, const Endpoint& aPath, std::size_t aShare, Instant aNow);

/// Applies one event. A closed connection leaves the pool.
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

/// Probes idle connections and closes those that were idle for long.
void
SweepIdle(ConnectionPool& aPool, Instant aNow);

/// @return number of connections that are idle
std::size_t
CountIdle(const ConnectionPool& aPool);

} // namespace fighold::entry
