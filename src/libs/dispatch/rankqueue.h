#pragma once

#include "dispatch/decayingsum.h"
#include "dispatch/fairqueue.h"

#include <functional>

namespace Dispatch {

/// Waiting requests of the services that share a group of upstreams. Urgent services go first, each service gets at
/// least its floor, and services of one rank share by worth. Bounded.
class RankQueue {
public:
    explicit RankQueue(std::size_t limit);

    /// What became of a request that asked to wait.
    struct Offer {
        bool isAccepted = false;
        /// Waiting request of lower worth that gave up its place; null when none did.
        PendingPointer evicted;
    };

    /// Makes a service known before its first request.
    auto addService(const Configuration::ServicePolicy& policy) -> void;
    [[nodiscard]] auto offer(PendingPointer pending) -> Offer;
    /// Takes a request back whose attempt did not run; it is exempt from the bound.
    auto putBack(PendingPointer pending) -> void;
    /// Next request to start; null when only lower ranks than the given one wait and no floor is owed.
    [[nodiscard]] auto pop(Core::Rank lowest, Core::Instant now) -> PendingPointer;
    [[nodiscard]] auto popExpired(Core::Instant now) -> std::vector<PendingPointer>;
    /// Time that nearly every request of the service stays within; zero until the first answer.
    [[nodiscard]] auto longestServiceTime(const Core::ServiceId& service) const -> Core::Duration;
    /// Bound for the time that a new request would wait for its start.
    [[nodiscard]] auto predictedWait(const PendingRequest& pending, std::uint32_t slots, Core::Instant now)
        -> Core::Duration;
    auto recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void;
    /// Zero until the first answer.
    [[nodiscard]] auto meanServiceTime(const Core::ServiceId& service) const -> Core::Duration;

    [[nodiscard]] auto size() const -> std::size_t { return m_size; }
    [[nodiscard]] auto earliestDeadline() const -> std::optional<Core::Instant>;
    /// Calls back for each service that ever waited here.
    auto forEachService(const std::function<void(const Core::ServiceId&, std::size_t waiting)>& visitor) const -> void;

private:
    struct Lane {
        Configuration::ServicePolicy policy;
        FairQueue waiting;
        double meanMicros = 0;
        /// Mean absolute deviation from the mean, as in RFC 6298.
        double deviationMicros = 0;
        /// Slot time that the floor owes, in microseconds.
        double owedMicros = 0;
        /// Slot time used, divided by worth.
        double used = 0;
        DecayingSum started;
    };
    using Lanes = std::map<Core::ServiceId, Lane>;

    auto laneFor(const Configuration::ServicePolicy& policy) -> Lane&;
    auto evictFor(const PendingRequest& pending) -> PendingPointer;
    auto nextLane(Core::Rank lowest) -> Lane*;
    auto charge(Lane& lane, Core::Instant now) -> void;
    [[nodiscard]] auto costOf(const Lane& lane) const -> double;
    /// Slots that the service can count on: what higher ranks and owed floors leave, and at least its own floor.
    [[nodiscard]] auto slotsFor(const Lane& lane, std::uint32_t slots, Core::Instant now) const -> double;

    std::size_t m_limit;
    std::size_t m_size = 0;
    Lanes m_lanes;
};

} // namespace Dispatch
