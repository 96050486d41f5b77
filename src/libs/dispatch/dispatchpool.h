#pragma once

#include "dispatch/rankqueue.h"
#include "dispatch/retrybudget.h"
#include "dispatch/slotreserve.h"
#include "dispatch/upstreampool.h"
#include "fleet/serviceload.h"

namespace Dispatch {

/// Request that has taken a slot of an upstream and is to be sent now.
struct Assignment {
    PendingPointer pending;
    Fleet::Upstream upstream;
    /// When this attempt ends without an answer; at the latest the request's deadline.
    Core::Instant attemptDeadline;
};

/// Request that will not be started again, and what its caller is told.
struct Rejection {
    PendingPointer pending;
    Core::RefusalReason reason = Core::RefusalReason::Overloaded;
};

/// What is to be done, outside of any lock, after a decision.
struct DispatchEffects {
    std::vector<Assignment> assignments;
    std::vector<Rejection> rejections;
    std::optional<Core::Instant> wakeAt;
};

/// Decisions for the services that share one group of upstreams: queue, endpoints and retry budget.
class DispatchPool {
public:
    struct Limits {
        /// Requests that may wait.
        std::size_t waiting = 2048;
        /// Attempts for one request, the first included.
        std::uint32_t attempts = 3;
    };

    explicit DispatchPool(Limits limits);
    DispatchPool();

    auto refresh(const std::vector<OwnedUpstream>& upstreams, const UpstreamPool::Settings& settings,
        Core::Share retryBudget, Core::Instant now) -> DispatchEffects;
    /// Makes the services that the pool serves known before their first requests, so that their load is.
    auto addServices(const std::vector<Configuration::ServicePolicy>& policies) -> void;
    /// Takes a new request.
    auto admit(PendingPointer pending, Core::Instant now) -> DispatchEffects;
    /// Queues a request again whose attempt failed, or rejects it for the reason of that attempt.
    auto retry(PendingPointer pending, Core::RefusalReason reason, Core::Instant now) -> DispatchEffects;
    /// The attempt's slot is free again.
    auto release(const Core::UpstreamId& upstream, Core::Rank rank, Core::Instant now) -> DispatchEffects;
    /// Expires waiting requests and fills free slots.
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
