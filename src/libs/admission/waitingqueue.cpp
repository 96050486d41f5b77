#include "admission/waitingqueue.h"

#include <algorithm>
#include <iterator>

namespace Admission {

WaitingQueue::WaitingQueue(std::size_t limit, std::unique_ptr<const WaitingOrder> order)
    : m_limit(limit)
    , m_order(std::move(order))
{
}

auto WaitingQueue::precedes(const WaiterPointer& a, const WaiterPointer& b, Core::Instant now) const -> bool
{
    return m_order->precedes(a->demand(), b->demand(), m_shares, now);
}

auto WaitingQueue::add(WaiterPointer waiter, Core::Instant now) -> WaiterPointer
{
    m_waiters.push_back(std::move(waiter));
    if (m_waiters.size() <= m_limit)
        return nullptr;
    const auto cheapest = std::max_element(m_waiters.begin(), m_waiters.end(),
        [&](const WaiterPointer& a, const WaiterPointer& b) { return precedes(a, b, now); });
    auto turnedAway = std::move(*cheapest);
    m_waiters.erase(cheapest);
    return turnedAway;
}

auto WaitingQueue::remove(const Waiter& waiter) -> bool
{
    return std::erase_if(m_waiters, [&](const WaiterPointer& one) { return one.get() == &waiter; }) > 0;
}

auto WaitingQueue::takeLost(Core::Instant now) -> std::vector<WaiterPointer>
{
    const auto firstLost = std::stable_partition(m_waiters.begin(), m_waiters.end(),
        [now](const WaiterPointer& one) { return now < one->demand().servableUntil && !one->hasLeft(); });
    std::vector<WaiterPointer> lost(std::make_move_iterator(firstLost), std::make_move_iterator(m_waiters.end()));
    m_waiters.erase(firstLost, m_waiters.end());
    return lost;
}

auto WaitingQueue::first(std::size_t limit, Core::Instant now) const -> std::vector<WaiterPointer>
{
    auto waiters = m_waiters;
    std::stable_sort(waiters.begin(), waiters.end(),
        [&](const WaiterPointer& a, const WaiterPointer& b) { return precedes(a, b, now); });
    waiters.resize(std::min(limit, waiters.size()));
    return waiters;
}

auto WaitingQueue::nextLoss() const -> std::optional<Core::Instant>
{
    const auto next = std::min_element(m_waiters.begin(), m_waiters.end(),
        [](const auto& a, const auto& b) { return a->demand().servableUntil < b->demand().servableUntil; });
    return next == m_waiters.end() ? std::nullopt : std::optional((*next)->demand().servableUntil);
}

auto WaitingQueue::hasBefore(const Demand& demand, Core::Instant now) const -> bool
{
    return std::any_of(m_waiters.begin(), m_waiters.end(),
        [&](const WaiterPointer& one) { return m_order->precedes(one->demand(), demand, m_shares, now); });
}

} // namespace Admission
