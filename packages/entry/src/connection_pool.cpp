#include "connection_pool.hpp"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace fighold::entry {
namespace {

/// Maximum time that a connection stays idle. After a longer time, a middlebox may have dropped the
/// connection without notifying either side.
constexpr Millis kMaxIdle{ 15'000 };

/// Margin before the end of the server's keep-alive time. A request that arrives after the server
/// closed the connection is lost; the server may start its timer a little earlier, and the request
/// needs time to arrive.
constexpr Millis kKeepAliveMargin{ 1000 };

/// @return time for which an idle connection is kept
Millis
IdleTime(const net::HttpConnection& aConnection)
{
  const Millis keepAlive = aConnection.KeepAlive();
  return keepAlive == Millis(0)
           ? kMaxIdle
           : std::min(kMaxIdle, std::max(Millis(0), keepAlive - kKeepAliveMargin));
}

bool
NoSuccessSince(const ConnectionScope& aScope)
{
  return aScope.mConnection.mLastSuccessAt < aScope.mSilentSince;
}

bool
HasCarriedMaximum(const ConnectionScope& aScope)
{
  return aScope.mConnection.mCarriedIds.size() >= kMaxCarriedIds;
}

void
CloseConnection(ConnectionScope& aScope)
{
  aScope.mConnection.mHttp->Close();
}

void
RecordSuccess(ConnectionScope& aScope)
{
  aScope.mConnection.mLastSuccessAt = aScope.mNow;
}

void
Fire(ConnectionScope& aScope, ConnectionEvent aEvent)
{
  ConnectionState& state = aScope.mConnection.mState;
  state = chart::Fire(aScope.mPool.mChart, state, aEvent, aScope).mState;
}

/// Excludes connections to the same endpoint from further requests if they have received no answer
/// since the silent exchange started.
void
DistrustEndpoint(ConnectionScope& aScope)
{
  for (const auto& it : aScope.mPool.mByEndpoint[aScope.mConnection.mEndpoint]) {
    if (it.get() != &aScope.mConnection) {
      ConnectionScope other{ aScope.mPool, *it, aScope.mNow, aScope.mConnection.mBusySince };
      Fire(other, ConnectionEvent::PathSilent);
    }
  }
}

chart::Registry<ConnectionScope>
ConnectionRegistry()
{
  return { { "connecting", "idle", "busy", "distrusted", "closed" },
           { "connected",
             "taken",
             "answered",
             "failed",
             "silent",
             "cancelled",
             "aged",
             "path_silent",
             "displaced" },
           { { "not_proven_since", NoSuccessSince }, { "has_carried_maximum", HasCarriedMaximum } },
           { { "close", CloseConnection },
             { "note_proof", RecordSuccess },
             { "distrust_path", DistrustEndpoint } } };
}

void
RemoveClosed(ConnectionPool& aPool, const Endpoint& aEndpoint)
{
  const auto it = aPool.mByEndpoint.find(aEndpoint);
  if (it == aPool.mByEndpoint.end()) {
    return;
  }
  it->second.remove_if([](const auto& aItem) { return aItem->mState == ConnectionState::Closed; });
  if (it->second.empty()) {
    aPool.mByEndpoint.erase(it);
  }
}

/// @return hash of a request's identifier. Requests without one are not remembered.
std::optional<std::uint64_t>
HashOf(const std::string& aRequestId)
{
  return aRequestId.empty() ? std::nullopt
                            : std::optional(XXH3_64bits(aRequestId.data(), aRequestId.size()));
}

bool
HasCarried(const PooledConnection& aConnection, std::optional<std::uint64_t> aRequest)
{
  const auto& carried = aConnection.mCarriedIds;
  return aRequest && std::find(carried.begin(), carried.end(), *aRequest) != carried.end();
}

/// @return an idle connection for which the condition holds, or null
template<typename Condition>
std::shared_ptr<PooledConnection>
FindIdle(const ConnectionPool& aPool, const Endpoint& aEndpoint, const Condition& aCondition)
{
  const auto all = aPool.mByEndpoint.find(aEndpoint);
  if (all == aPool.mByEndpoint.end()) {
    return nullptr;
  }
  const auto it =
    std::find_if(all->second.begin(), all->second.end(), [&aCondition](const auto& aItem) {
      return aItem->mState == ConnectionState::Idle && aCondition(*aItem);
    });
  return it == all->second.end() ? nullptr : *it;
}

std::shared_ptr<PooledConnection>
AcquireIdle(ConnectionPool& aPool,
            const Endpoint& aEndpoint,
            std::optional<std::uint64_t> aRequest,
            Instant aNow)
{
  const auto isNew = [aRequest](const PooledConnection& aConnection) {
    return !HasCarried(aConnection, aRequest);
  };
  while (auto found = FindIdle(aPool, aEndpoint, isNew)) {
    if (aNow < found->mLastSuccessAt + IdleTime(*found->mHttp) && found->mHttp->Reusable()) {
      FireConnection(aPool, found, ConnectionEvent::Taken, aNow);
      return found;
    }
    FireConnection(aPool, found, ConnectionEvent::Failed, aNow);
  }
  return nullptr;
}

/// Closes an idle connection, so that another one may be opened in its place.
/// @return false if there is none
bool
DisplaceIdle(ConnectionPool& aPool, const Endpoint& aEndpoint, Instant aNow)
{
  const auto any = [](const PooledConnection&) { return true; };
  const auto idle = FindIdle(aPool, aEndpoint, any);
  if (idle) {
    FireConnection(aPool, idle, ConnectionEvent::Displaced, aNow);
  }
  return idle != nullptr;
}

} // namespace

chart::BoundChart<ConnectionScope>
LoadConnectionChart(const std::filesystem::path& aFolder)
{
  return chart::LoadBoundChart(aFolder / "connection.scxml", ConnectionRegistry());
}

std::shared_ptr<PooledConnection>
AcquireConnection(ConnectionPool& aPool,
                  const Endpoint& aEndpoint,
                  const std::string& aRequestId,
                  std::size_t aMaxConnections,
                  Instant aNow)
{
  const auto request = HashOf(aRequestId);
  const std::size_t limit = std::max<std::size_t>(1, aMaxConnections);
  auto connection = AcquireIdle(aPool, aEndpoint, request, aNow);
  if (!connection) {
    // The share may have become smaller than the number of open connections, which does not grow.
    if (aPool.mByEndpoint[aEndpoint].size() >= limit && !DisplaceIdle(aPool, aEndpoint, aNow)) {
      return nullptr;
    }
    auto& all = aPool.mByEndpoint[aEndpoint];
    connection = std::make_shared<PooledConnection>();
    connection->mEndpoint = aEndpoint;
    connection->mHttp = aPool.mCreateConnection(aEndpoint);
    connection->mLastSuccessAt = aNow;
    connection->mNumber = ++aPool.mOpened;
    all.push_front(connection);
  }
  connection->mBusySince = aNow;
  ++connection->mExchanges;
  if (request) {
    connection->mCarriedIds.push_back(*request);
  } else {
    ++connection->mUnnamedRequests;
  }
  return connection;
}

void
FireConnection(ConnectionPool& aPool,
               const std::shared_ptr<PooledConnection>& aConnection,
               ConnectionEvent aEvent,
               Instant aNow)
{
  ConnectionScope scope{ aPool, *aConnection, aNow };
  Fire(scope, aEvent);
  RemoveClosed(aPool, aConnection->mEndpoint);
}

void
EndExchange(ConnectionPool& aPool,
            const std::shared_ptr<PooledConnection>& aConnection,
            const net::ExchangeResult& aResult,
            Instant aNow)
{
  ConnectionEvent event = ConnectionEvent::Failed;
  if (aResult.mSilent) {
    event = ConnectionEvent::Silent;
  } else if (aResult.mStage == net::ExchangeStage::Answered && aConnection->mHttp->Reusable()) {
    event = ConnectionEvent::Answered;
  }
  FireConnection(aPool, aConnection, event, aNow);
}

void
CloseStaleConnections(ConnectionPool& aPool, Instant aNow)
{
  std::vector<std::shared_ptr<PooledConnection>> idle;
  for (const auto& [endpoint, connections] : aPool.mByEndpoint) {
    std::copy_if(connections.begin(),
                 connections.end(),
                 std::back_inserter(idle),
                 [](const auto& aItem) { return aItem->mState == ConnectionState::Idle; });
  }
  for (const auto& it : idle) {
    if (!it->mHttp->Reusable()) {
      FireConnection(aPool, it, ConnectionEvent::Failed, aNow);
    } else if (aNow >= it->mLastSuccessAt + IdleTime(*it->mHttp)) {
      FireConnection(aPool, it, ConnectionEvent::Aged, aNow);
    }
  }
}

std::size_t
CountIdle(const ConnectionPool& aPool)
{
  std::size_t count = 0;
  for (const auto& [endpoint, connections] : aPool.mByEndpoint) {
    count += static_cast<std::size_t>(
      std::count_if(connections.begin(), connections.end(), [](const auto& aItem) {
        return aItem->mState == ConnectionState::Idle;
      }));
  }
  return count;
}

} // namespace fighold::entry
