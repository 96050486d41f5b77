#include "storesync/collectionfollower.h"

#include <algorithm>

namespace StoreSync {

namespace {

    constexpr Core::Millis watchTimeout { 28'000 };
    constexpr Core::Millis maximumRetryDelay { 800 };
    constexpr Core::Millis patientRetryDelay { 1600 };

    auto numberOf(const Ports::StoreRevision& revision) -> std::string { return std::to_string(revision.number()); }

    auto eraOf(const Ports::StoreRevision& revision) -> std::string { return std::to_string(revision.era().value()); }

} // namespace

CollectionFollower::CollectionFollower(
    Ports::CollectionName name, CollectionListener& listener, Environment environment)
    : m_name(std::move(name))
    , m_environment(environment)
    , m_copy(std::make_shared<CollectionCopy>(m_name, listener,
          CollectionCopy::Environment { environment.clock, environment.scheduler, environment.events,
              environment.mirror, environment.returnHold, environment.isCurrent, environment.changed }))
{
}

auto CollectionFollower::start() -> void { resume(); }

auto CollectionFollower::stop() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_copy->stop();
    cancelCall();
}

auto CollectionFollower::suspend() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isSuspended = true;
        m_failures = 0;
        m_pace.recordProgress();
    }
    cancelCall();
}

auto CollectionFollower::resume() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_isSuspended, false))
            return;
    }
    list();
}

auto CollectionFollower::setPatient(bool isPatient) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isPatient = isPatient;
}

auto CollectionFollower::isReading() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_isLoadedByStore && !m_isSuspended && m_failures == 0;
}

auto CollectionFollower::cancelCall() -> void
{
    std::shared_ptr<Ports::StoreCall> call;
    {
        const std::lock_guard lock(m_mutex);
        m_isLoadedByStore = false;
        m_isListing = false;
        call = endRead();
    }
    if (call)
        call->cancel();
}

auto CollectionFollower::endRead() -> std::shared_ptr<Ports::StoreCall>
{
    m_timer.reset();
    ++m_callNumber;
    return std::exchange(m_call, nullptr);
}

auto CollectionFollower::beginCall(Read read) -> std::optional<std::uint64_t>
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped || m_isSuspended)
        return std::nullopt;
    m_isListing = read == Read::List;
    m_watchedEra.reset();
    if (read == Read::Watch) {
        m_watchedEra = m_copy->revision().era();
        m_pace.recordWatchBegun(m_environment.clock.now());
    }
    return ++m_callNumber;
}

auto CollectionFollower::isCurrent(std::uint64_t callNumber) const -> bool
{
    const std::lock_guard lock(m_mutex);
    return callNumber == m_callNumber && !m_isStopped && !m_isSuspended;
}

auto CollectionFollower::schedule(Core::Duration delay, void (CollectionFollower::*step)()) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped || m_isSuspended)
        return;
    m_timer = m_environment.scheduler.after(delay, [weak = weak_from_this(), step] {
        if (const auto self = weak.lock())
            (self.get()->*step)();
    });
}

auto CollectionFollower::list() -> void
{
    const auto number = beginCall(Read::List);
    if (!number)
        return;
    const auto sentAt = m_environment.clock.now();
    m_environment.store.list(m_name,
        [weak = weak_from_this(), number = *number, known = revision(), sentAt](
            Core::Result<Ports::CollectionList> result) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (result)
                result->age = self->m_environment.clock.now() - sentAt;
            self->handleList(result, known, number);
        });
}

auto CollectionFollower::handleList(const Core::Result<Ports::CollectionList>& result, Ports::StoreRevision knownBefore,
    std::uint64_t callNumber) -> void
{
    if (isCurrent(callNumber)) {
        const std::lock_guard lock(m_mutex);
        m_isListing = false;
    }
    if (!result) {
        if (isCurrent(callNumber))
            retryLater(result.error());
        return;
    }
    const auto revision = result->revision;
    const bool isApplied = m_copy->applyUnlessOlder(*result);
    countList(isApplied);
    m_environment.events.record({ Ports::EventKind("store.listed"), {},
        { { "collection", m_name.value() }, { "items", std::to_string(result->items.size()) },
            { "revision", numberOf(revision) }, { "era", eraOf(revision) }, { "knownRevision", numberOf(knownBefore) },
            { "knownEra", eraOf(knownBefore) }, { "unreadable", std::to_string(result->unreadableItems) },
            { "applied", isApplied ? "yes" : "no" } } });
    m_environment.eraSeen(revision.era());
    if (!isCurrent(callNumber))
        return;
    recordRecovery();
    const bool isOutdated = m_copy->isOutdated(revision.era());
    {
        const std::lock_guard lock(m_mutex);
        // A list that is older than what was known before it was asked for shows nothing of the store's present state.
        m_isLoadedByStore = !isOutdated && revision >= knownBefore;
    }
    m_environment.storeAnswered();
    if (isOutdated)
        listAfterUselessAnswer();
    else
        watch();
}

auto CollectionFollower::applyIfNewer(const Ports::CollectionList& list) -> bool
{
    if (!m_copy->applyIfNewer(list))
        return false;
    m_environment.eraSeen(list.revision.era());
    return true;
}

auto CollectionFollower::applyChangesSince(const ChangesSince& since) -> bool
{
    return m_copy->applyChanges(since.changes, since.base);
}

auto CollectionFollower::revision() const -> Ports::StoreRevision { return m_copy->revision(); }

auto CollectionFollower::watch() -> void
{
    const auto number = beginCall(Read::Watch);
    if (!number)
        return;
    const auto base = revision();
    auto call = m_environment.store.watch(m_name, base, watchTimeout,
        [weak = weak_from_this(), number = *number, base](const Core::Result<Ports::CollectionChanges>& result) {
            const auto self = weak.lock();
            if (self && self->isCurrent(number))
                self->handleChanges(result, base);
        });
    const std::lock_guard lock(m_mutex);
    if (number == m_callNumber)
        m_call = std::move(call);
}

auto CollectionFollower::refresh() -> void
{
    std::shared_ptr<Ports::StoreCall> call;
    {
        const std::lock_guard lock(m_mutex);
        const bool isWaitingToRetry = m_isPatient && m_failures > 0 && m_timer;
        if (!isWaitingToRetry && (!m_copy->isLoaded() || !m_call))
            return;
        call = endRead();
    }
    if (call)
        call->cancel();
    list();
}

auto CollectionFollower::expectEra(Ports::StoreEra era) -> void
{
    m_copy->expectEra(era);
    std::shared_ptr<Ports::StoreCall> call;
    {
        const std::lock_guard lock(m_mutex);
        const bool isWatchOutdated = m_watchedEra && *m_watchedEra < era;
        const bool isCopyOutdated = m_copy->revision().era() < era;
        // A list that is under way is looked at when it is answered.
        if (!m_copy->isLoaded() || m_isListing || m_isSuspended || !(isCopyOutdated || isWatchOutdated))
            return;
        m_isLoadedByStore = false;
        call = endRead();
    }
    if (call)
        call->cancel();
    list();
}

auto CollectionFollower::handleChanges(const Core::Result<Ports::CollectionChanges>& result, Ports::StoreRevision base)
    -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_call.reset();
        m_watchedEra.reset();
        m_pace.recordWatchEnded(m_environment.clock.now());
    }
    if (!result) {
        if (result.error().kind == Core::ErrorKind::Conflict) {
            recordHistoryLoss(result.error(), base);
            listAfterUselessAnswer();
        } else {
            retryLater(result.error());
        }
        return;
    }
    const bool isApplied = m_copy->applyChanges(*result, base);
    m_environment.events.record({ Ports::EventKind("store.watched"), {},
        { { "collection", m_name.value() }, { "changes", std::to_string(result->changes.size()) },
            { "revision", numberOf(result->revision) }, { "era", eraOf(result->revision) },
            { "knownRevision", numberOf(base) }, { "knownEra", eraOf(base) },
            { "unreadable", std::to_string(result->unreadableItems) }, { "applied", isApplied ? "yes" : "no" } } });
    recordRecovery();
    if (result->revision.era() != base.era()) {
        // The changes lead from a revision of another era.
        m_copy->expectEra(result->revision.era());
        m_environment.eraSeen(result->revision.era());
        listAfterUselessAnswer();
        return;
    }
    Core::Duration delay = m_environment.batchingDelay;
    {
        const std::lock_guard lock(m_mutex);
        m_pace.recordProgress();
        // A VM that reads for others leaves them time to follow.
        if (m_isPatient)
            delay /= 2;
    }
    schedule(delay, &CollectionFollower::watch);
}

auto CollectionFollower::recordHistoryLoss(const Core::Error& error, Ports::StoreRevision base) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts.lostHistories;
    }
    m_environment.events.record({ Ports::EventKind("store.history-lost"), {},
        { { "collection", m_name.value() }, { "knownRevision", numberOf(base) }, { "knownEra", eraOf(base) },
            { "detail", error.message } } });
}

auto CollectionFollower::countList(bool isApplied) -> void
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.lists;
    if (!isApplied)
        ++m_counts.unappliedLists;
}

auto CollectionFollower::counts() const -> ReadCounts
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

auto CollectionFollower::retryLater(const Core::Error& error) -> void
{
    std::uint32_t failures = 0;
    Core::Duration delay;
    {
        const std::lock_guard lock(m_mutex);
        failures = m_failures++;
        delay = m_pace.delayAfterFailure(longestRetryDelay(), m_environment.random);
    }
    if (failures == 0) {
        m_environment.events.record({ Ports::EventKind("store.lost"), {},
            { { "collection", m_name.value() }, { "detail", describe(error) } } });
        m_environment.storeFailed();
    }
    // Lists again, because a watch from the old revision may wait for ever if the store has dropped the changes since.
    schedule(delay, &CollectionFollower::list);
}

auto CollectionFollower::listAfterUselessAnswer() -> void
{
    Core::Duration delay;
    {
        const std::lock_guard lock(m_mutex);
        m_isLoadedByStore = false;
        delay = m_pace.delayAfterUselessAnswer(longestRetryDelay(), m_environment.random);
    }
    schedule(delay, &CollectionFollower::list);
}

auto CollectionFollower::longestRetryDelay() const -> Core::Duration
{
    return m_isPatient ? patientRetryDelay : maximumRetryDelay;
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

} // namespace StoreSync
