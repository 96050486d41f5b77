#include "storesync/storewatchdog.h"

namespace StoreSync {

namespace {

    constexpr Core::Millis pingInterval { 1000 };
    constexpr Core::Millis outagePingInterval { 300 };

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

auto StoreWatchdog::isStoreReachable() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return !m_isOutage;
}

auto StoreWatchdog::schedule() -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_timer = m_environment.scheduler.after(m_isOutage ? outagePingInterval : pingInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ping();
    });
}

auto StoreWatchdog::ping() -> void
{
    const auto sentAt = m_environment.clock.now();
    m_environment.store.ping([weak = weak_from_this(), sentAt](const Core::Result<Ports::StoreRevision>& result) {
        if (const auto self = weak.lock())
            self->handlePingResult(result.has_value(), sentAt);
    });
}

auto StoreWatchdog::handlePingResult(bool isSuccessful, Core::Instant sentAt) -> void
{
    if (isSuccessful)
        recordResponse();
    else
        recordPingFailure(sentAt);
    schedule();
}

auto StoreWatchdog::recordPingFailure(Core::Instant sentAt) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        // Ignores the failure if the store has answered another call since the ping was sent.
        if (m_lastAnswer > sentAt || std::exchange(m_isOutage, true))
            return;
    }
    m_listener.storeLost();
}

auto StoreWatchdog::recordResponse() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_lastAnswer = m_environment.clock.now();
        if (!std::exchange(m_isOutage, false))
            return;
    }
    m_listener.storeRegained();
    for (const auto& follower : m_followers)
        follower->refresh();
}

} // namespace StoreSync
