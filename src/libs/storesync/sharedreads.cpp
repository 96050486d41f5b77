#include "storesync/sharedreads.h"

#include "storesync/sharedreadstiming.h"

#include <algorithm>
#include <utility>

namespace StoreSync {

using namespace detail;

namespace {

    /// Time for which a source may hold a poll. It bounds how late a silent source is noticed.
    constexpr Core::Millis pollHold { 400 };
    /// Interval at which a VM that reads the store checks whether it still has to.
    constexpr Core::Millis roleInterval { 500 };
    /// Time at the start within which another VM must have passed on its copies. Jitter is added.
    constexpr Core::Millis startPatience { 800 };
    /// Time for which a VM reads the store at the start, where the view of the other VMs is complete soon.
    constexpr Core::Millis shortestReadTimeAtStart { 1500 };
    /// Interval of the pings of a VM that reads the store for others. They have to turn to another one in time.
    constexpr Core::Millis sharedPingInterval { 500 };
    constexpr Core::Duration::rep jitterRange = 1'000'000;

} // namespace

SharedReads::SharedReads(Environment environment)
    : m_environment(std::move(environment))
    , m_choice(m_environment.watchers)
{
}

auto SharedReads::add(const Ports::CollectionName& name, std::shared_ptr<CollectionFollower> follower) -> void
{
    m_followers[name] = std::move(follower);
}

auto SharedReads::jitter() -> Core::Duration
{
    const auto random = static_cast<Core::Duration::rep>(m_environment.follower.random.next() % 1024);
    return std::chrono::duration_cast<Core::Duration>(std::chrono::microseconds(random * jitterRange / 1024));
}

auto SharedReads::start() -> void
{
    const auto deadline = m_environment.follower.clock.now() + startPatience + jitter() / 2;
    {
        const std::lock_guard lock(m_mutex);
        m_startDeadline = deadline;
    }
    if (m_environment.watchers == 0)
        step();
    else
        scheduleStep(deadline - m_environment.follower.clock.now());
}

auto SharedReads::handleRegistration(bool isRegistered) -> void
{
    if (!isUndecided())
        return;
    if (!isRegistered) {
        readStoreFromStart();
        return;
    }
    m_environment.follower.store.list(
        m_environment.fleet, [weak = weak_from_this()](const Core::Result<Ports::CollectionList>& list) {
            if (const auto self = weak.lock())
                self->handleFleetList(list);
        });
}

auto SharedReads::isUndecided() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_mode == Mode::Undecided && !m_isStopped;
}

auto SharedReads::readStoreFromStart() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_startDeadline = m_environment.follower.clock.now();
    }
    step();
}

auto SharedReads::handleFleetList(const Core::Result<Ports::CollectionList>& list) -> void
{
    if (!isUndecided())
        return;
    const auto fleet = m_followers.find(m_environment.fleet);
    if (list && fleet != m_followers.end())
        fleet->second->applyIfNewer(*list);
    if (!list)
        readStoreFromStart();
    else
        step();
}

auto SharedReads::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    ++m_pollNumber;
    m_timer.reset();
}

auto SharedReads::wake() -> void
{
    if (isReadingStore())
        scheduleStep({});
}

auto SharedReads::isReadingStore() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_mode == Mode::ReadingStore;
}

auto SharedReads::isReadingAll() const -> bool
{
    return std::all_of(
        m_followers.begin(), m_followers.end(), [](const auto& item) { return item.second->isReading(); });
}

auto SharedReads::contact() const -> StoreContact
{
    const auto lastAnswer = m_environment.watchdog.lastAnswer();
    const bool isReachable = m_environment.watchdog.isStoreReachable();
    const bool isComplete = !isReadingStore() || isReadingAll();
    const auto now = m_environment.follower.clock.now();
    const std::lock_guard lock(m_mutex);
    // Pings alone do not show that all changes arrive.
    if (isComplete)
        m_completeUntil = std::max(m_completeUntil, lastAnswer);
    StoreContact contact { isReachable, {}, m_hops, m_environment.watchdog.latestEra() };
    if (m_completeUntil != Core::Instant())
        contact.age = now - m_completeUntil;
    return contact;
}

auto SharedReads::isCurrent() const -> bool
{
    if (contact().isCurrent())
        return true;
    const auto now = m_environment.follower.clock.now();
    const std::lock_guard lock(m_mutex);
    return m_refreshedAt != Core::Instant() && now - m_refreshedAt <= StoreContact::maximumAge;
}

auto SharedReads::choose(Core::Instant now) -> SourceChoice::Choice
{
    const auto ranking = m_environment.view.ranking();
    const auto overdue = age() - StoreContact::maximumAge;
    const bool isKnown = hasCopies();
    {
        const std::lock_guard lock(m_mutex);
        if (!ranking.empty())
            m_isRegionLarge = !m_choice.isSmall(ranking.size());
        // Silent VMs must not keep one that has just started from all copies.
        const bool mustRead = !isKnown && now >= m_startDeadline;
        if (m_environment.watchers == 0 || mustRead || now < m_readUntil || (!ranking.empty() && !m_isRegionLarge))
            return {};
        if (!ranking.empty())
            return m_choice.fromRanking(ranking, overdue, now);
    }
    return chooseBeforeViewIsKnown(now);
}

auto SharedReads::chooseBeforeViewIsKnown(Core::Instant now) -> SourceChoice::Choice
{
    const auto ranking = m_environment.view.knownRanking();
    const auto overdue = age() - StoreContact::maximumAge;
    const bool isKnown = hasCopies();
    const std::lock_guard lock(m_mutex);
    if (m_mode == Mode::ReadingStore || m_choice.isSmall(ranking.size()))
        return {};
    if (m_mode == Mode::Following && m_isSourceProven)
        return { SourceChoice::Kind::Follow, m_source };
    return m_choice.fromRanking(ranking, isKnown ? overdue : Core::Duration(0), now);
}

auto SharedReads::age() const -> Core::Duration
{
    return m_environment.follower.clock.now() - m_environment.watchdog.lastAnswer();
}

auto SharedReads::hasCopies() const -> bool { return m_environment.watchdog.lastAnswer() != Core::Instant(); }

auto SharedReads::isStarting(const MirrorResponse& response) const -> bool
{
    return !isReadingStore() && !hasCopies() && !response.contact.age;
}

auto SharedReads::step() -> void
{
    const auto choice = choose(m_environment.follower.clock.now());
    const bool isReading = isReadingStore();
    if (isReading && choice.kind == SourceChoice::Kind::Follow)
        probe(choice.source);
    else if (isReading || choice.kind == SourceChoice::Kind::ReadStore)
        readStore();
    else
        follow(choice);
}

auto SharedReads::probe(const Core::Address& source) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_probed = source;
    }
    poll(source, Core::Millis(0));
}

auto SharedReads::isRegionLarge() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_isRegionLarge;
}

auto SharedReads::setMode(Mode mode, const Core::Address& source) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto readTime = m_mode == Mode::Undecided ? shortestReadTimeAtStart : shortestReadTime;
    const bool isModeNew = std::exchange(m_mode, mode) != mode;
    const bool isSourceNew = std::exchange(m_source, source) != source;
    if (isModeNew && mode == Mode::ReadingStore)
        m_readUntil = std::max(m_readUntil, m_environment.follower.clock.now() + readTime);
    if (isModeNew || isSourceNew)
        m_isSourceProven = false;
    if (mode == Mode::ReadingStore)
        m_hops = 0;
    return isModeNew;
}

auto SharedReads::readStore() -> void
{
    if (setMode(Mode::ReadingStore, {})) {
        m_environment.follower.events.record(
            { Ports::EventKind("store.read-directly"), {}, { { "ageMs", describeAge(contact()) } } });
    }
    const bool isShared = isRegionLarge();
    m_environment.watchdog.setPingInterval(isShared ? sharedPingInterval : StoreWatchdog::usualPingInterval);
    for (const auto& [name, follower] : m_followers) {
        // Another thread may have suspended it for a decision that is out of date.
        follower->resume();
        follower->setPatient(isShared);
    }
    if (m_environment.watchdog.isStoreReachable()) {
        scheduleStep(roleInterval);
        return;
    }
    refreshFromNextPeer();
}

auto SharedReads::refreshFromNextPeer() -> void
{
    const auto peers = m_environment.view.knownPeers();
    if (peers.empty()) {
        scheduleStep(retryInterval);
        return;
    }
    std::size_t next = 0;
    {
        const std::lock_guard lock(m_mutex);
        next = m_nextPeer++;
    }
    poll(peers[next % peers.size()], Core::Millis(0));
}

auto SharedReads::follow(const SourceChoice::Choice& choice) -> void
{
    beginFollowing(choice.source);
    checkAge();
    if (choice.kind == SourceChoice::Kind::Wait) {
        scheduleStep(hasCopies() ? retryInterval : startRetryInterval);
        return;
    }
    bool isProven = false;
    {
        const std::lock_guard lock(m_mutex);
        isProven = m_isSourceProven;
    }
    // A new source answers at once, so that a silent one is noticed sooner.
    poll(choice.source, isProven ? pollHold : Core::Millis(0));
}

auto SharedReads::beginFollowing(const Core::Address& source) -> void
{
    if (!setMode(Mode::Following, source))
        return;
    m_environment.watchdog.setPingInterval(Core::Millis(0));
    for (const auto& [name, follower] : m_followers)
        follower->suspend();
}

auto SharedReads::checkAge() -> void
{
    bool isToldOfOutage = false;
    {
        const std::lock_guard lock(m_mutex);
        isToldOfOutage = m_isToldOfOutage;
    }
    // Other VMs that do not answer are no sign of an outage of the store.
    if (hasCopies() && isToldOfOutage && age() > StoreContact::maximumAge)
        m_environment.watchdog.recordSilence();
}

auto SharedReads::poll(const Core::Address& source, Core::Millis hold) -> void
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        number = ++m_pollNumber;
        m_timer.reset();
    }
    m_environment.port.poll(source, { m_environment.mirror.revisions(), hold },
        [weak = weak_from_this(), source, number, era = m_environment.watchdog.latestEra()](
            const Core::Result<MirrorResponse>& response) {
            const auto self = weak.lock();
            if (!self)
                return;
            {
                const std::lock_guard lock(self->m_mutex);
                if (number != self->m_pollNumber || self->m_isStopped)
                    return;
            }
            self->handleResponse(source, response, era);
        });
}

auto SharedReads::scheduleStep(Core::Duration delay) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_timer = m_environment.follower.scheduler.after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->step();
    });
}

} // namespace StoreSync
