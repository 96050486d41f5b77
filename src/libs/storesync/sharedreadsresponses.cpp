#include "storesync/sharedreads.h"
#include "storesync/sharedreadstiming.h"

#include <algorithm>
#include <utility>

namespace StoreSync {

using namespace detail;

namespace {

    /// Shortest time between two polls.
    constexpr Core::Millis shortestPollInterval { 50 };
    constexpr Core::Millis unansweredAvoidance { 2000 };
    constexpr Core::Millis outdatedAvoidance { 1000 };
    /// After this many VMs in a row that do not answer, this VM is probably the one that is cut off.
    constexpr std::size_t unansweredBeforeStore = 3;
    /// The same if one VM does not answer and the copies are older than this.
    constexpr Core::Millis maximumUnansweredAge { 1200 };

} // namespace

auto SharedReads::handleResponse(
    const Core::Address& source, const Core::Result<MirrorResponse>& response, Ports::StoreEra sentIn) -> void
{
    if (!response) {
        handleFailure(source, response.error());
        return;
    }
    // A VM that has not heard of the era in which it was asked has outdated copies, whatever their age.
    const bool isFresh = response->contact.isFresh() && response->contact.era >= sentIn;
    const bool isProbe = endProbe(source);
    if (isProbe && isFresh)
        beginFollowing(source);
    const auto avoidance = hasCopies() || isReadingStore() ? outdatedAvoidance : startRetryInterval;
    const bool mayBeStarting = isStarting(*response);
    {
        const std::lock_guard lock(m_mutex);
        m_unansweredPolls = 0;
        if (isFresh)
            m_choice.accept(source);
        else if (!mayBeStarting)
            m_choice.avoid(source, m_environment.follower.clock.now() + avoidance);
    }
    if (isReadingStore())
        handleWhileReading(source, *response, isFresh, isProbe);
    else
        handleWhileFollowing(source, *response, isFresh);
}

auto SharedReads::handleWhileReading(
    const Core::Address& source, const MirrorResponse& response, bool isFresh, bool isProbe) -> void
{
    apply(source, response.news);
    if (isFresh) {
        {
            const std::lock_guard lock(m_mutex);
            m_refreshedAt = m_environment.follower.clock.now();
        }
        m_environment.onRefreshed();
    }
    // After a probe without success, the next VM is probed at once.
    scheduleStep(isProbe ? Core::Millis(0) : retryInterval);
}

auto SharedReads::handleWhileFollowing(const Core::Address& source, const MirrorResponse& response, bool isFresh)
    -> void
{
    bool wasProven = false;
    {
        const std::lock_guard lock(m_mutex);
        wasProven = std::exchange(m_isSourceProven, isFresh);
        m_isToldOfOutage = !response.contact.isReachable;
        m_hops = response.contact.hops + 1;
    }
    // Entries that expired in an outage are kept for a while if its end is known before they are seen to be gone.
    if (isFresh) {
        const auto heardAt = m_environment.follower.clock.now() - *response.contact.age;
        m_environment.watchdog.recordRelayedResponse(heardAt);
        const std::lock_guard lock(m_mutex);
        m_completeUntil = std::max(m_completeUntil, heardAt);
    }
    apply(source, response.news);
    if (isFresh != wasProven) {
        m_environment.follower.events.record(
            { Ports::EventKind(isFresh ? "store.followed-through-peer" : "store.peer-outdated"), {},
                { { "peer", source.value() }, { "ageMs", describeAge(response.contact) },
                    { "reachable", response.contact.isReachable ? "yes" : "no" } } });
        m_environment.sourceLost(!isFresh);
    }
    scheduleStep(isFresh ? shortestPollInterval : isStarting(response) ? startRetryInterval : Core::Millis(0));
}

auto SharedReads::endProbe(const Core::Address& source) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_mode == Mode::ReadingStore && std::exchange(m_probed, {}) == source;
}

auto SharedReads::handleFailure(const Core::Address& source, const Core::Error& error) -> void
{
    const auto now = m_environment.follower.clock.now();
    const bool isReading = isReadingStore();
    const bool isKnown = hasCopies();
    const bool isOverdue = age() > maximumUnansweredAge;
    const auto avoidance = isKnown || isReading ? unansweredAvoidance : startRetryInterval;
    bool wasProven = false;
    {
        const std::lock_guard lock(m_mutex);
        wasProven = std::exchange(m_isSourceProven, false);
        m_choice.avoid(source, now + avoidance);
        const bool isCutOff = ++m_unansweredPolls >= unansweredBeforeStore || isOverdue;
        if (!isReading && isKnown && isCutOff) {
            m_unansweredPolls = 0;
            m_readUntil = now + shortestReadTime + jitter() * 2;
        }
    }
    if (wasProven) {
        m_environment.follower.events.record(
            { Ports::EventKind("store.peer-lost"), {}, { { "peer", source.value() }, { "detail", describe(error) } } });
        m_environment.sourceLost(true);
    }
    scheduleStep(isReading ? retryInterval : Core::Millis(0));
}

auto SharedReads::apply(const Core::Address& source, const MirrorNews& news) -> void
{
    for (const auto& [name, update] : news) {
        const auto found = m_followers.find(name);
        if (found == m_followers.end())
            continue;
        auto& follower = *found->second;
        const auto* list = std::get_if<Ports::CollectionList>(&update);
        const bool isApplied = list != nullptr ? follower.applyIfNewer(*list)
                                               : follower.applyChangesSince(std::get<ChangesSince>(update));
        if (!isApplied)
            continue;
        const auto revision = list != nullptr ? list->revision : std::get<ChangesSince>(update).changes.revision;
        m_environment.follower.events.record({ Ports::EventKind("store.learnt-from-peer"), {},
            { { "collection", name.value() }, { "peer", source.value() },
                { "revision", std::to_string(revision.number()) },
                { "era", std::to_string(revision.era().value()) } } });
    }
}

} // namespace StoreSync
