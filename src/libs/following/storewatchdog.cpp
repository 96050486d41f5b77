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
    const auto askedAt = m_environment.clock.now();
    m_environment.store.ping([weak = weak_from_this(), askedAt](const Core::Result<Ports::StoreRevision>& result) {
        if (const auto self = weak.lock())
            self->onPing(result.has_value(), askedAt);
    });
}

auto StoreWatchdog::onPing(bool isAnswered, Core::Instant askedAt) -> void
{
    if (isAnswered)
        noteAnswer();
    else
        noteSilence(askedAt);
    schedule();
}

auto StoreWatchdog::noteSilence(Core::Instant askedAt) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        // The store has answered another call since.
        if (m_lastAnswer > askedAt || std::exchange(m_isLost, true))
            return;
    }
    m_listener.storeLost();
}

auto StoreWatchdog::noteAnswer() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_lastAnswer = m_environment.clock.now();
        if (!std::exchange(m_isLost, false))
            return;
    }
    m_listener.storeRegained();
    for (const auto& follower : m_followers)
        follower->refresh();
}

} // namespace Following
