#pragma once

#include "dispatch/decayingsum.h"
#include "dispatch/fairqueue.h"

#include <functional>

namespace Dispatch {

/// Bounded queue of the waiting requests of the services that share a group of upstreams. Schedules by rank, guarantees
/// each service its floor, and divides the slot time between services of one rank in proportion to their worth.
class RankQueue {
public:
    explicit RankQueue(std::size_t limit);

    /// Result of offer().
    struct OfferResult {
        bool isAccepted = false;
        /// Waiting request that was evicted to make room; null if none was.
        PendingPointer evicted;
    };

    /// Adds a service before its first request.
    auto addService(const Configuration::ServicePolicy& policy) -> void;
    /// Queues a request. If the queue is full, evicts a request of lower rank or worth, or one of a caller of the same
    /// service that has more waiting requests; rejects the new request if there is none.
    [[nodiscard]] auto offer(PendingPointer pending) -> OfferResult;
    /// Queues a request again for another attempt; the limit does not apply to it.
    auto requeue(PendingPointer pending) -> void;
    /// Removes and returns the next request to start. Returns null if only ranks below the given one are waiting and no
    /// floor has a deficit.
    [[nodiscard]] auto pop(Core::Rank lowestRank, Core::Instant now) -> PendingPointer;
    [[nodiscard]] auto popExpired(Core::Instant now) -> std::vector<PendingPointer>;
    /// Returns an estimate that nearly all service times of the service stay below; zero until the first answer.
    [[nodiscard]] auto pessimisticServiceTime(const Core::ServiceId& service) const -> Core::Duration;
    /// Returns an upper estimate of the time that a new request would wait before it is started.
    [[nodiscard]] auto predictedWait(const PendingRequest& pending, std::uint32_t slots, Core::Instant now)
        -> Core::Duration;
    auto recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void;
    /// Returns zero until the first answer.
    [[nodiscard]] auto meanServiceTime(const Core::ServiceId& service) const -> Core::Duration;

    [[nodiscard]] auto size() const -> std::size_t { return m_size; }
    [[nodiscard]] auto earliestDeadline() const -> std::optional<Core::Instant>;
    /// Calls the visitor for each service that was added or had a request in this queue.
    auto forEachService(const std::function<void(const Core::ServiceId&, std::size_t waiting)>& visitor) const -> void;

private:
    struct ServiceQueue {
        Configuration::ServicePolicy policy;
        FairQueue waiting;
        double meanMicros = 0;
        /// Mean absolute deviation from the mean, as in RFC 6298.
        double deviationMicros = 0;
        /// Slot time guaranteed by the floor and not yet used, in microseconds.
        double deficitMicros = 0;
        /// Slot time used, divided by the worth.
        double weightedUsage = 0;
        DecayingSum recentSlotTime;
    };
    using ServiceQueues = std::map<Core::ServiceId, ServiceQueue>;

    auto serviceQueueFor(const Configuration::ServicePolicy& policy) -> ServiceQueue&;
    auto evictFor(const PendingRequest& pending) -> PendingPointer;
    auto nextServiceQueue(Core::Rank lowestRank) -> ServiceQueue*;
    /// Accounts for the expected slot time of a request of the service that is started now.
    auto charge(ServiceQueue& queue, Core::Instant now) -> void;
    [[nodiscard]] auto costOf(const ServiceQueue& queue) const -> double;
    /// Returns the number of slots that the service can rely on: its share of those that higher ranks and the floors of
    /// other services leave, and at least its own floor.
    [[nodiscard]] auto slotsFor(const ServiceQueue& queue, std::uint32_t slots, Core::Instant now) const -> double;

    std::size_t m_limit;
    std::size_t m_size = 0;
    ServiceQueues m_serviceQueues;
};

} // namespace Dispatch
