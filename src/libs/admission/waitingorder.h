#pragma once

#include "admission/workshares.h"

namespace Admission {

/// Order in which waiting requests are started. The last in this order is the first to be turned away.
class WaitingOrder {
public:
    virtual ~WaitingOrder() = default;
    /// Returns true if `a` is started before `b`; a strict weak order at any one instant.
    [[nodiscard]] virtual auto precedes(
        const Demand& a, const Demand& b, const WorkShares& shares, Core::Instant now) const -> bool
        = 0;
};

/// Starts what would cost its caller most if it were turned away. Answers the load of a burst on a service that is
/// shared by kinds of different urgency: in the order of arrival, all of them would be late together.
///
/// More urgent kinds go first, except while the less urgent ones are below their floor. Within a kind, what can still
/// be in time goes before what will be late, organisations below their fair share of the work go before others, and
/// then the request goes first that has to be started first.
class LeastCostOrder : public WaitingOrder {
public:
    /// Part of the work that less urgent kinds keep in a flood of more urgent ones.
    static constexpr double lessUrgentFloor = 0.1;

    [[nodiscard]] auto precedes(const Demand& a, const Demand& b, const WorkShares& shares, Core::Instant now) const
        -> bool override;
};

/// Baseline: the request that arrived first goes first.
class FirstComeOrder : public WaitingOrder {
public:
    [[nodiscard]] auto precedes(const Demand& a, const Demand& b, const WorkShares& shares, Core::Instant now) const
        -> bool override;
};

/// Baseline: priority only, then the order of arrival.
class PriorityOrder : public WaitingOrder {
public:
    [[nodiscard]] auto precedes(const Demand& a, const Demand& b, const WorkShares& shares, Core::Instant now) const
        -> bool override;
};

} // namespace Admission
