#include "forwarding/waitingroom.h"

#include <algorithm>

namespace Forwarding {

namespace {

    /// Number of requests of one service that wait in this VM.
    constexpr std::size_t maximumWaiting = 64;
    /// Number of waiting requests that are tried without success before the others are left for the next slot.
    constexpr std::size_t maximumMisses = 4;
    /// Number of looks at the queue in a row; a timer takes over then, since the thread has a request of its own.
    constexpr int maximumRounds = 3;
    /// Number of routes whose callers' times are remembered.
    constexpr std::size_t maximumRoutes = 256;

} // namespace

WaitingRoom::WaitingRoom(const Ports::Clock& clock, Ports::Scheduler& scheduler)
    : m_clock(clock)
    , m_scheduler(scheduler)
    , m_queue(maximumWaiting, std::make_unique<const Admission::LeastCostOrder>())
{
}

auto WaitingRoom::enter(const Admission::WaiterPointer& waiter, Core::Duration roomExpected) -> void
{
    const auto now = m_clock.now();
    Admission::WaiterPointer turnedAway;
    {
        const std::lock_guard lock(m_mutex);
        turnedAway = m_queue.add(waiter, now);
        noteRoom(roomExpected, now);
        armTimer(now);
    }
    if (turnedAway)
        turnedAway->turnAway(Admission::TurnAwayReason::QueueFull);
}

auto WaitingRoom::leave(const Admission::Waiter& waiter) -> void
{
    const std::lock_guard lock(m_mutex);
    m_queue.remove(waiter);
}

auto WaitingRoom::claim(const Admission::Waiter& waiter) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_queue.remove(waiter);
}

auto WaitingRoom::wake() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        // While another thread tries a request, that one is not in the queue.
        if (m_queue.isEmpty() && !m_isWaking)
            return;
        m_roomAt = Core::Instant::max();
        m_mustWakeAgain = true;
        if (std::exchange(m_isWaking, true))
            return;
    }
    for (int round = 0; finishWaking(round); ++round) {
        turnAwayLost();
        startReady();
    }
}

auto WaitingRoom::finishWaking(int round) -> bool
{
    const std::lock_guard lock(m_mutex);
    const bool isSlotFree = std::exchange(m_mustWakeAgain, false);
    if (isSlotFree && round < maximumRounds)
        return true;
    m_isWaking = false;
    const auto now = m_clock.now();
    if (isSlotFree)
        m_roomAt = now;
    armTimer(now);
    return false;
}

auto WaitingRoom::startReady() -> void
{
    std::vector<Admission::WaiterPointer> waiters;
    {
        const std::lock_guard lock(m_mutex);
        waiters = m_queue.first(maximumWaiting, m_clock.now());
    }
    std::size_t misses = 0;
    for (const auto& waiter : waiters) {
        if (!claim(*waiter) || waiter->tryStart())
            continue;
        const auto now = m_clock.now();
        {
            const std::lock_guard lock(m_mutex);
            // The request had its place before.
            m_queue.putBack(waiter);
            noteRoom(waiter->roomExpected(), now);
        }
        if (++misses == maximumMisses)
            return;
    }
}

auto WaitingRoom::turnAwayLost() -> void
{
    std::vector<Admission::WaiterPointer> lost;
    {
        const std::lock_guard lock(m_mutex);
        lost = m_queue.takeLost(m_clock.now());
    }
    for (const auto& waiter : lost)
        waiter->turnAway(Admission::TurnAwayReason::NoRoomInTime);
}

auto WaitingRoom::noteRoom(Core::Duration expected, Core::Instant now) -> void
{
    if (expected.count() > 0)
        m_roomAt = std::min(m_roomAt, now + expected);
}

auto WaitingRoom::armTimer(Core::Instant now) -> void
{
    const auto next = std::min(m_roomAt, m_queue.nextLoss().value_or(Core::Instant::max()));
    if (next == m_timerAt)
        return;
    m_timerAt = next;
    m_timer.reset();
    if (next == Core::Instant::max())
        return;
    m_timer = m_scheduler.after(std::max<Core::Duration>(next - now, {}), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_timerAt = Core::Instant::max();
        }
        self->wake();
    });
}

auto WaitingRoom::recordStart(const Admission::Demand& demand) -> void
{
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    m_queue.recordStart(demand, now);
    m_returns.recordStart(now);
}

auto WaitingRoom::placeReturn(const Admission::ReturnRequest& request, double jitter) -> std::optional<Core::Duration>
{
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    return m_returns.place(request, jitter, now);
}

auto WaitingRoom::recordArrival(const RouteId& route, Core::Duration timeLeft) -> Core::Duration
{
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if (m_patience.size() >= maximumRoutes && !m_patience.contains(route))
        m_patience.clear();
    auto& patience = m_patience[route];
    patience.record(timeLeft, now);
    return patience.elapsed(timeLeft);
}

auto WaitingRoom::isEmpty() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_queue.isEmpty();
}

} // namespace Forwarding
