#include "following/storewatchdog.h"

namespace Following {

namespace {

    constexpr Core::Millis pingInterval { 1000 };
    /// Interval while the store does not answer.
    constexpr Core::Millis lostPingInterval { 300 };

} // namespace

StoreWatchdog::StoreWatchdog(CollectionFollower::Environment environment, StoreListener& listener)
    : m_environment(environment)
    , m_listener(listener)
{
}

auto StoreWatchdog::start() -> void { schedule(); }

auto StoreWatchdog::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_timer.reset();
}

auto StoreWatchdog::isAnswering() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return !m_isLost;
}

auto StoreWatchdog::schedule() -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_timer = m_environment.scheduler.after(m_isLost ? lostPingInterval : pingInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ping();
    });
}

auto StoreWatchdog::ping() -> void
{
    m_environment.store.ping([weak = weak_from_this()](const Core::Result<Ports::StoreRevision>& result) {
        if (const auto self = weak.lock())
            self->onPing(result.has_value());
    });
}

auto StoreWatchdog::onPing(bool isAnswered) -> void
{
    bool wasLost = false;
    {
        const std::lock_guard lock(m_mutex);
        wasLost = std::exchange(m_isLost, !isAnswered);
    }
    if (!isAnswered && !wasLost)
        m_listener.storeLost();
    if (isAnswered && wasLost) {
        m_listener.storeRegained();
        for (const auto& follower : m_followers)
            follower->refresh();
    }
    schedule();
}

} // namespace Following
