#include "storesync/storewatchdog.h"

#include <algorithm>
#include <utility>

namespace StoreSync {

namespace {

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

auto StoreWatchdog::setPingInterval(Core::Millis interval) -> void
{
    bool isIdle = false;
    {
        const std::lock_guard lock(m_mutex);
        isIdle = std::exchange(m_pingInterval, interval) == Core::Millis(0);
        if (interval == Core::Millis(0))
            m_timer.reset();
    }
    if (isIdle && interval != Core::Millis(0))
        schedule();
}

auto StoreWatchdog::isStoreReachable() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return !m_isOutage;
}

auto StoreWatchdog::lastAnswer() const -> Core::Instant
{
    const std::lock_guard lock(m_mutex);
    return m_lastAnswer;
}

auto StoreWatchdog::schedule() -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped || m_pingInterval == Core::Millis(0))
        return;
    m_timer
        = m_environment.scheduler.after(m_isOutage ? outagePingInterval : m_pingInterval, [weak = weak_from_this()] {
              if (const auto self = weak.lock())
                  self->ping();
          });
}

auto StoreWatchdog::ping() -> void
{
    const auto sentAt = m_environment.clock.now();
    m_environment.store.ping([weak = weak_from_this(), sentAt](const Core::Result<Ports::StoreRevision>& result) {
        if (const auto self = weak.lock())
            self->handlePingResult(result, sentAt);
    });
}

auto StoreWatchdog::handlePingResult(const Core::Result<Ports::StoreRevision>& result, Core::Instant sentAt) -> void
{
    if (result) {
        recordEra(result->era());
        recordResponse();
    } else {
        recordPingFailure(sentAt);
    }
    schedule();
}

auto StoreWatchdog::recordEra(Ports::StoreEra era) -> void
{
    std::optional<Ports::StoreEra> before;
    {
        const std::lock_guard lock(m_mutex);
        if (m_era && era <= *m_era)
            return;
        before = std::exchange(m_era, era);
    }
    if (before) {
        m_environment.events.record({ Ports::EventKind("store.era-changed"), {},
            { { "era", std::to_string(era.value()) }, { "knownEra", std::to_string(before->value()) },
                { "detail", "collections of earlier eras are listed again" } } });
    }
    for (const auto& follower : m_followers)
        follower->expectEra(era);
}

auto StoreWatchdog::checkEra(Ports::StoreEra era) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        const bool isKnown = m_era && era <= *m_era;
        if (m_isStopped || m_pingInterval == Core::Millis(0) || isKnown || era <= m_claimedEra)
            return;
        m_claimedEra = era;
        // The answer schedules the next ping.
        m_timer.reset();
    }
    ping();
}

auto StoreWatchdog::latestEra() const -> Ports::StoreEra
{
    const std::lock_guard lock(m_mutex);
    return m_era.value_or(Ports::StoreEra());
}

auto StoreWatchdog::recordPingFailure(Core::Instant sentAt) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        // Ignores the failure if the store has answered another call since the ping was sent, or if the ping is of a
        // time when this VM still read the store itself.
        if (m_pingInterval == Core::Millis(0) || m_lastAnswer > sentAt || std::exchange(m_isOutage, true))
            return;
    }
    m_listener.storeLost();
}

auto StoreWatchdog::recordSilence() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isOutage, true))
            return;
    }
    m_listener.storeLost();
}

auto StoreWatchdog::recordResponse() -> void { recordAnswerAt(m_environment.clock.now()); }

auto StoreWatchdog::recordRelayedResponse(Core::Instant heardAt) -> void { recordAnswerAt(heardAt); }

auto StoreWatchdog::recordAnswerAt(Core::Instant heardAt) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_lastAnswer = std::max(m_lastAnswer, heardAt);
        if (!std::exchange(m_isOutage, false))
            return;
    }
    m_listener.storeRegained();
    for (const auto& follower : m_followers)
        follower->refresh();
}

} // namespace StoreSync
