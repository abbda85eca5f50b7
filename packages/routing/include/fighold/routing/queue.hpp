#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/outcome.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Queue of an entry for requests that wait for a share or a free slot.
namespace fighold::routing {

/// Maximum number of waiting requests of each class.
constexpr std::size_t kMaxWaitingPerClass = 512;

/// Deferred work is promoted to the standard class this long before its finish time.
constexpr std::chrono::minutes kPromotionLeadTime{ 60 };

/// A request in the queue.
struct WaitingRequest
{
  RequestId mId = 0;
  GroupKey mGroup;
  RequestClass mClass = RequestClass::Standard;
  Instant mDeadline{};         ///< latest time of the answer
  Duration mExpectedLatency{}; ///< expected time from dispatch to answer

  friend auto operator<=>(const WaitingRequest&, const WaitingRequest&) = default;
};

/// Requests by class and group, in order of arrival.
struct Queue
{
  std::map<RequestClass, std::map<GroupKey, std::deque<WaitingRequest>>> mWaiting;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// @return number of requests of a class in the queue
std::size_t
CountWaiting(const Queue& aQueue, RequestClass aClass);

/// @return true if no request waits
bool
IsEmpty(const Queue& aQueue);

/// @param aClass class of the service
/// @param aFinishBy time of day by which deferred work must be done
/// @param aTimeOfDay current time of day
/// @return the class; deferred work is promoted to the standard class when its finish time is at
/// most kPromotionLeadTime away
RequestClass
EffectiveClass(RequestClass aClass,
               std::optional<std::chrono::minutes> aFinishBy,
               std::chrono::minutes aTimeOfDay);

/// Appends a request to the queue of its class.
/// @return false if that queue is full or the request can no longer meet its deadline
bool
Enqueue(Queue& aQueue, const WaitingRequest& aRequest, Instant aNow);

/// Removes the next request that may be sent: by priority of the class, then in order of arrival.
/// @param aMayDispatch returns true if a request of the group and class may be sent now; if not,
/// the group is skipped and its requests stay in the queue
/// @return the request, or nothing if none may be sent
std::optional<WaitingRequest>
Dequeue(Queue& aQueue,
        const std::function<bool(const GroupKey&, RequestClass)>& aMayDispatch,
        Instant aNow);

/// Removes and returns the requests that can no longer meet their deadline.
std::vector<WaitingRequest>
RemoveExpired(Queue& aQueue, Instant aNow);

} // namespace fighold::routing
