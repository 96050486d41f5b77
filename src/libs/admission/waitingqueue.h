#pragma once

#include "admission/waiter.h"
#include "admission/waitingorder.h"

#include <optional>
#include <vector>

namespace Admission {

/// Bounded queue of the requests of one service that wait for a slot. Not thread-safe.
///
/// Answers the load of requests that are refused although a slot becomes free a moment later, within the time that
/// their callers have anyway.
class WaitingQueue {
public:
    WaitingQueue(std::size_t limit, std::unique_ptr<const WaitingOrder> order);

    /// Adds the request. If the queue is full, returns the request that has to be turned away instead: the new one or
    /// another.
    [[nodiscard]] auto add(WaiterPointer waiter, Core::Instant now) -> WaiterPointer;
    /// Adds a request that was removed a moment ago; the bound does not apply to it.
    auto putBack(WaiterPointer waiter) -> void { m_waiters.push_back(std::move(waiter)); }
    /// Returns false if the request was not in the queue.
    auto remove(const Waiter& waiter) -> bool;
    /// Removes and returns the requests that have left or can't be served any more.
    [[nodiscard]] auto takeLost(Core::Instant now) -> std::vector<WaiterPointer>;
    /// Returns the requests that are to be started first, in order, at most `limit`.
    [[nodiscard]] auto first(std::size_t limit, Core::Instant now) const -> std::vector<WaiterPointer>;
    /// Records that a request of the service was started, whether or not it had waited.
    auto recordStart(const Demand& demand, Core::Instant now) -> void { m_shares.record(demand, now); }
    /// Returns the next instant at which a request can't be served any more.
    [[nodiscard]] auto nextLoss() const -> std::optional<Core::Instant>;
    [[nodiscard]] auto size() const -> std::size_t { return m_waiters.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_waiters.empty(); }
    /// Returns true if a request waits that goes before the given one.
    [[nodiscard]] auto hasBefore(const Demand& demand, Core::Instant now) const -> bool;

private:
    [[nodiscard]] auto precedes(const WaiterPointer& a, const WaiterPointer& b, Core::Instant now) const -> bool;

    const std::size_t m_limit;
    const std::unique_ptr<const WaitingOrder> m_order;
    std::vector<WaiterPointer> m_waiters;
    WorkShares m_shares;
};

} // namespace Admission
