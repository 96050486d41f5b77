#pragma once

#include "dispatch/rankqueue.h"
#include "dispatch/retrybudget.h"
#include "dispatch/slotreserve.h"
#include "dispatch/upstreampool.h"
#include "fleet/serviceload.h"

namespace Dispatch {

/// Request that holds a slot of an upstream and must be sent to it.
struct Assignment {
    PendingPointer pending;
    Fleet::Upstream upstream;
    /// Time at which this attempt times out; never later than the request's deadline.
    Core::Instant attemptDeadline;
};

/// Request that will not be started again, with the reason that is reported to its caller.
struct Rejection {
    PendingPointer pending;
    Core::RefusalReason reason = Core::RefusalReason::Overloaded;
};

/// Actions that result from a decision; they are executed without holding a lock.
struct DispatchEffects {
    std::vector<Assignment> assignments;
    std::vector<Rejection> rejections;
    std::optional<Core::Instant> wakeAt;
};

/// Schedules the requests of the services that share one group of upstreams: owns their queue, endpoints and retry
/// budget. Takes decisions only; the caller executes the returned effects.
class DispatchPool {
public:
    struct Limits {
        /// Maximum number of waiting requests.
        std::size_t waiting = 2048;
        /// Maximum number of attempts for one request, including the first.
        std::uint32_t attempts = 3;
    };

    explicit DispatchPool(Limits limits);
    DispatchPool();

    /// Applies the current fleet list and settings.
    auto refresh(const std::vector<OwnedUpstream>& upstreams, const UpstreamPool::Settings& settings,
        Core::Share retryBudget, Core::Instant now) -> DispatchEffects;
    /// Adds services before their first requests, so that loads() includes them.
    auto addServices(const std::vector<Configuration::ServicePolicy>& policies) -> void;
    /// Queues or rejects a new request.
    auto admit(PendingPointer pending, Core::Instant now) -> DispatchEffects;
    /// Requeues a request whose attempt failed, or rejects it with the reason of the failed attempt.
    auto retry(PendingPointer pending, Core::RefusalReason reason, Core::Instant now) -> DispatchEffects;
    /// Frees the slot of a finished attempt.
    auto release(const Core::UpstreamId& upstream, Core::Rank rank, Core::Instant now) -> DispatchEffects;
    /// Rejects expired requests and fills free slots.
    auto advance(Core::Instant now) -> DispatchEffects;
    auto recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void;

    auto upstreams() -> UpstreamPool& { return m_upstreams; }
    [[nodiscard]] auto loads(Core::Instant now) const -> std::vector<Fleet::ServiceLoad>;

private:
    auto rejectionFor(const PendingRequest& pending, Core::Instant now) -> std::optional<Core::RefusalReason>;
    auto expire(DispatchEffects& effects, Core::Instant now) -> void;
    auto fillSlots(DispatchEffects& effects, Core::Instant now) -> void;
    [[nodiscard]] auto lowestRankToStart(Core::Instant now) const -> Core::Rank;
    [[nodiscard]] auto attemptDeadline(const PendingRequest& pending, Core::Instant now) const -> Core::Instant;

    Limits m_limits;
    Core::Share m_retryShare { 0.1 };
    RankQueue m_queue;
    UpstreamPool m_upstreams;
    RetryBudget m_retryBudget;
    SlotReserve m_urgentReserve;
};

} // namespace Dispatch
