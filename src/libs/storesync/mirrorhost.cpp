#include "storesync/mirrorhost.h"

#include <algorithm>
#include <utility>

namespace StoreSync {

namespace {

    /// Polls beyond this number are answered at once.
    constexpr std::size_t maximumWaiters = 2000;

    auto latestEra(const KnownRevisions& known) -> Ports::StoreEra
    {
        Ports::StoreEra latest;
        for (const auto& [name, revision] : known)
            latest = std::max(latest, revision.era());
        return latest;
    }

} // namespace

MirrorHost::MirrorHost(Environment environment)
    : m_environment(std::move(environment))
{
}

auto MirrorHost::responseTo(const KnownRevisions& known) const -> MirrorResponse
{
    // The contact is taken first, so that the news is not older than it says.
    const auto contact = m_environment.contact();
    return { contact, m_environment.mirror.newsSince(known) };
}

auto MirrorHost::isDue(const MirrorResponse& response) -> bool
{
    return !response.news.empty() || !response.contact.isFresh();
}

auto MirrorHost::poll(const MirrorPoll& poll, Respond respond) -> void
{
    const auto known = poll.statesEras ? poll.known : m_environment.mirror.inOwnEras(poll.known);
    if (poll.statesEras && !known.empty())
        m_environment.eraSeen(latestEra(known));
    const auto response = responseTo(known);
    if (poll.hold.count() <= 0 || isDue(response) || waiting() >= maximumWaiters) {
        respond(response);
        return;
    }
    hold({ known, poll.hold }, std::move(respond));
    // News that arrived before the poll was held would otherwise wait for the next one.
    if (isDue(responseTo(known)))
        notify();
}

auto MirrorHost::hold(const MirrorPoll& poll, Respond respond) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto number = m_nextNumber++;
    auto timer = m_environment.scheduler.after(poll.hold, [weak = weak_from_this(), number] {
        if (const auto self = weak.lock())
            self->answer(number);
    });
    m_waiters.emplace(number, Waiter { poll.known, std::move(respond), std::move(timer) });
}

auto MirrorHost::answer(std::uint64_t number) -> void
{
    std::map<std::uint64_t, Waiter>::node_type waiter;
    {
        const std::lock_guard lock(m_mutex);
        waiter = m_waiters.extract(number);
    }
    if (!waiter.empty())
        waiter.mapped().respond(responseTo(waiter.mapped().known));
}

auto MirrorHost::notify() -> void
{
    std::vector<std::pair<std::uint64_t, KnownRevisions>> held;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [number, waiter] : m_waiters)
            held.emplace_back(number, waiter.known);
    }
    for (const auto& [number, known] : held) {
        if (isDue(responseTo(known)))
            answer(number);
    }
}

auto MirrorHost::waiting() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return m_waiters.size();
}

} // namespace StoreSync
