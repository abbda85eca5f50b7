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

/// The short queue of an entry: requests for which no slot is free.
namespace fighold::routing {

/// Greatest number of waiting requests of one class.
constexpr std::size_t kMaxWaitingPerClass = 512;

/// Time before its finish time at which deferred work is raised to standard.
constexpr std::chrono::minutes kPromoteBefore{ 60 };

/// A waiting request.
struct WaitingRequest
{
  RequestId mId = 0;
  GroupKey mGroup;
  RequestClass mClass = RequestClass::Standard;
  Instant mDeadline{};  ///< deadline
  Duration mExpected{}; ///< time that an answer takes once it is sent

  friend auto operator<=>(const WaitingRequest&, const WaitingRequest&) = default;
};

/// Waiting requests by class and group, in order of arrival.
struct Queue
{
  std::map<RequestClass, std::map<GroupKey, std::deque<WaitingRequest>>> mWaiting;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// @return number of waiting requests of a class
std::size_t
CountWaiting(const Queue& aQueue, RequestClass aClass);

/// @return true when nothing waits
bool
IsEmpty(const Queue& aQueue);

/// @param aClass class of the service
/// @param aFinishBy time of day by which deferred work must be done
/// @param aTimeOfDay time of day now
/// @return the class, raised to standard in the hour before the finish time
RequestClass
EffectiveClass(RequestClass aClass,
               std::optional<std::chrono::minutes> aFinishBy,
               std::chrono::minutes aTimeOfDay);

/// @return false when the queue of the class is full or the request cannot be answered in time any
/// more
bool
Enqueue(Queue& aQueue, const WaitingRequest& aWaiting, Instant aNow);

/// Takes the next request out: urgent first, then in order of arrival.
/// @param aMayDispatch tells whether a request of the group may be sent now; a group that may not
/// does not hold up the others
std::optional<WaitingRequest>
Dequeue(Queue& aQueue,
        const std::function<bool(const GroupKey&, RequestClass)>& aMayDispatch,
        Instant aNow);

/// Takes out requests that could not be answered in time any more.
std::vector<WaitingRequest>
RemoveExpired(Queue& aQueue, Instant aNow);

} // namespace fighold::routing
