#include "following/collectionfollower.h"

#include <algorithm>

namespace Following {

namespace {

    /// Longest wait of one watch call.
    constexpr Core::Millis watchWait { 28'000 };
    /// Pause after an answer, in which further changes gather; each call to the store has a price.
    constexpr Core::Millis gatherPause { 500 };
    constexpr Core::Millis firstRetryDelay { 100 };
    constexpr Core::Millis longestRetryDelay { 800 };

} // namespace

CollectionFollower::CollectionFollower(
    Ports::CollectionName name, CollectionListener& listener, Environment environment)
    : m_name(std::move(name))
    , m_listener(listener)
    , m_environment(environment)
{
}

auto CollectionFollower::start() -> void { list(); }

auto CollectionFollower::stop() -> void
{
    std::shared_ptr<Ports::StoreCall> call;
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        m_timer.reset();
        call = std::exchange(m_call, nullptr);
    }
    if (call)
        call->cancel();
}

auto CollectionFollower::schedule(Core::Duration delay, void (CollectionFollower::*step)()) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_timer = m_environment.scheduler.after(delay, [weak = weak_from_this(), step] {
        if (const auto self = weak.lock())
            (self.get()->*step)();
    });
}

auto CollectionFollower::list() -> void
{
    const auto askedAt = m_environment.clock.now();
    m_environment.store.list(m_name, [weak = weak_from_this(), askedAt](Core::Result<Ports::CollectionList> result) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (result)
            result->age = self->m_environment.clock.now() - askedAt;
        self->onList(result);
    });
}

auto CollectionFollower::onList(const Core::Result<Ports::CollectionList>& result) -> void
{
    if (!result) {
        retryLater(result.error());
        return;
    }
    take(*result);
    m_environment.events.record({ Ports::EventKind("store.listed"), {},
        { { "collection", m_name.value() }, { "items", std::to_string(result->items.size()) },
            { "revision", std::to_string(result->revision.value()) } } });
    recordRecovery();
    m_environment.storeAnswered();
    watch();
}

auto CollectionFollower::take(const Ports::CollectionList& list) -> void
{
    const std::lock_guard listenerLock(m_listenerMutex);
    m_environment.mirror.replaceAll(m_name, list);
    m_listener.replaceAll(list);
    m_listener.commit();
    const std::lock_guard lock(m_mutex);
    m_revision = list.revision;
    m_isLoaded = true;
}

auto CollectionFollower::adopt(const Ports::CollectionList& list) -> bool
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped || list.revision <= m_revision)
            return false;
    }
    take(list);
    return true;
}

auto CollectionFollower::watch() -> void
{
    std::uint64_t number = 0;
    Ports::StoreRevision revision;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        number = ++m_watchNumber;
        revision = m_revision;
    }
    auto call = m_environment.store.watch(m_name, revision, watchWait,
        [weak = weak_from_this(), number](const Core::Result<Ports::CollectionChanges>& result) {
            const auto self = weak.lock();
            if (!self)
                return;
            {
                const std::lock_guard lock(self->m_mutex);
                if (number != self->m_watchNumber || self->m_isStopped)
                    return;
            }
            self->onChanges(result);
        });
    const std::lock_guard lock(m_mutex);
    if (number == m_watchNumber)
        m_call = std::move(call);
}

auto CollectionFollower::refresh() -> void
{
    std::shared_ptr<Ports::StoreCall> call;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isLoaded || !m_call)
            return;
        call = std::exchange(m_call, nullptr);
        ++m_watchNumber;
    }
    call->cancel();
    list();
}

auto CollectionFollower::onChanges(const Core::Result<Ports::CollectionChanges>& result) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_call.reset();
    }
    if (!result) {
        if (result.error().kind == Core::ErrorKind::Conflict) {
            m_environment.events.record({ Ports::EventKind("store.history-lost"), {},
                { { "collection", m_name.value() }, { "detail", result.error().message } } });
            schedule(Core::Duration(0), &CollectionFollower::list);
        } else {
            retryLater(result.error());
        }
        return;
    }
    {
        const std::lock_guard listenerLock(m_listenerMutex);
        m_environment.mirror.apply(m_name, *result);
        for (const auto& change : result->changes) {
            if (change.isDeleted)
                m_listener.remove(change.item.name);
            else
                m_listener.upsert(change.item);
        }
        m_listener.commit();
    }
    {
        const std::lock_guard lock(m_mutex);
        m_revision = std::max(m_revision, result->revision);
    }
    m_environment.events.record({ Ports::EventKind("store.watched"), {},
        { { "collection", m_name.value() }, { "changes", std::to_string(result->changes.size()) },
            { "revision", std::to_string(result->revision.value()) } } });
    recordRecovery();
    schedule(gatherPause, &CollectionFollower::watch);
}

auto CollectionFollower::retryLater(const Core::Error& error) -> void
{
    std::uint32_t failures = 0;
    {
        const std::lock_guard lock(m_mutex);
        failures = m_failures++;
    }
    if (failures == 0) {
        m_environment.events.record({ Ports::EventKind("store.lost"), {},
            { { "collection", m_name.value() }, { "detail", describe(error) } } });
        m_environment.storeFailed();
    }
    const auto delay = std::min<Core::Duration>(longestRetryDelay, firstRetryDelay * (1U << std::min(failures, 4U)));
    // Entry VMs that lost the store together must not come back together.
    const auto jitter = static_cast<Core::Duration::rep>(m_environment.random.next() % 512) * delay / 1024;
    // A watch from the old revision may wait at a store that has dropped what happened since.
    schedule(delay / 2 + jitter, &CollectionFollower::list);
}

auto CollectionFollower::recordRecovery() -> void
{
    std::uint32_t failures = 0;
    {
        const std::lock_guard lock(m_mutex);
        failures = std::exchange(m_failures, 0U);
    }
    if (failures > 0) {
        m_environment.events.record({ Ports::EventKind("store.regained"), {},
            { { "collection", m_name.value() }, { "failedCalls", std::to_string(failures) } } });
    }
}

} // namespace Following
