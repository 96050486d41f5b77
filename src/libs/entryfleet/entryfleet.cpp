#include "entryfleet/entryfleet.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <utility>

namespace EntryFleet {

namespace {

    /// The set of entry VMs that serve callers is computed again after this time, because some may have fallen silent.
    constexpr Core::Millis usualTargetsLifetime { 100 };

} // namespace

EntryFleet::EntryFleet(EntryVmEntry self, Environment environment)
    : m_self(std::move(self))
    , m_environment(environment)
{
}

auto EntryFleet::isRegionalPeer(const EntryVmEntry& entry) const -> bool
{
    return entry.id != m_self.id && entry.region == m_self.region;
}

auto EntryFleet::put(const EntryVmEntry& entry) -> void
{
    m_usualTargetsUntil = Core::Instant::min();
    if (entry.id == m_self.id) {
        m_isSelfListed = entry.start == m_self.start;
        m_isIdListed = true;
        return;
    }
    const auto now = m_environment.clock.now();
    m_members.try_emplace(entry.id, entry, now).first->second.list(entry, now);
}

auto EntryFleet::replaceAll(const std::vector<EntryVmEntry>& entries) -> void
{
    bool isFirstList = false;
    {
        const std::lock_guard lock(m_mutex);
        m_isSelfListed = false;
        m_isIdListed = false;
        m_usualTargetsUntil = Core::Instant::min();
        for (auto& [id, member] : m_members)
            member.markUnlisted();
        for (const auto& entry : entries)
            put(entry);
        const auto now = m_environment.clock.now();
        forgetUnlisted(now);
        isFirstList = !std::exchange(m_hasList, true) && m_isStarted;
        if (isFirstList)
            deferOwnership(now);
    }
    if (isFirstList)
        sendHeartbeats();
}

auto EntryFleet::mergeReturned(const std::vector<EntryVmEntry>& entries) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isSelfListed = false;
    for (const auto& entry : entries) {
        const auto found = m_members.find(entry.id);
        const bool isOutdated = found != m_members.end() && entry.start < found->second.entry().start;
        if (!isOutdated)
            put(entry);
    }
}

auto EntryFleet::isSelfListed() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_isSelfListed;
}

auto EntryFleet::forgetUnlisted(Core::Instant now) -> void
{
    std::erase_if(m_members, [&](const auto& item) { return !item.second.isListed() && !isAlive(item.second, now); });
}

auto EntryFleet::deferOwnership(Core::Instant now) -> void { m_ownershipStart = now + 2 * heartbeatInterval; }

auto EntryFleet::upsert(const EntryVmEntry& entry) -> void
{
    const std::lock_guard lock(m_mutex);
    put(entry);
}

auto EntryFleet::remove(const Core::EntryVmId& id) -> void
{
    const std::lock_guard lock(m_mutex);
    m_usualTargetsUntil = Core::Instant::min();
    if (id == m_self.id) {
        m_isSelfListed = false;
        m_isIdListed = false;
    }
    m_members.erase(id);
}

auto EntryFleet::observedUntil(Core::Instant now) const -> Core::Instant
{
    return std::min(now, m_lastCycle + maximumCycleGap);
}

auto EntryFleet::isAlive(const Member& member, Core::Instant now) const -> bool
{
    return member.isAlive(observedUntil(now));
}

auto EntryFleet::acceptsCallers(const Member& member, Core::Instant now) const -> bool
{
    return isRegionalPeer(member.entry()) && !member.isLeaving() && isAlive(member, now);
}

auto EntryFleet::callerTargets(Core::Instant now) const -> CallerTargets
{
    CallerTargets targets;
    if (!m_isLeaving)
        targets.push_back({ m_self.id, m_self.failureDomain, m_self.processor, m_isBusy });
    for (const auto& [id, member] : m_members) {
        if (acceptsCallers(member, now))
            targets.push_back({ id, member.entry().failureDomain, member.entry().processor, member.isBusy() });
    }
    return targets;
}

auto EntryFleet::usualTargets(Core::Instant now) const -> const std::set<Core::EntryVmId>&
{
    if (m_usualTargetsUntil > now)
        return m_usualTargets;
    auto targets = callerTargets(now);
    for (auto& target : targets)
        target.isBusy = false;
    m_usualTargets = selectForCallers(std::move(targets));
    m_usualTargetsUntil = now + usualTargetsLifetime;
    return m_usualTargets;
}

auto EntryFleet::setBusy(bool isBusy) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isBusy = isBusy;
}

auto EntryFleet::callerAddresses() const -> std::vector<Core::Address>
{
    const std::lock_guard lock(m_mutex);
    const auto selected = selectForCallers(callerTargets(m_environment.clock.now()));
    std::vector<Core::Address> addresses;
    if (selected.contains(m_self.id))
        addresses.push_back(m_self.front);
    for (const auto& [id, member] : m_members) {
        if (selected.contains(id))
            addresses.push_back(member.entry().front);
    }
    return addresses;
}

auto EntryFleet::peerAddresses() const -> std::vector<Core::Address>
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_environment.clock.now();
    std::vector<Core::Address> preferred;
    std::vector<Core::Address> others;
    for (const auto& [id, member] : m_members) {
        const bool isPreferred = isRegionalPeer(member.entry()) && isAlive(member, now);
        (isPreferred ? preferred : others).push_back(member.entry().peers);
    }
    preferred.insert(preferred.end(), others.begin(), others.end());
    return preferred;
}

auto EntryFleet::regionalCount() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return std::max<std::size_t>(1, usualTargets(m_environment.clock.now()).size());
}

auto EntryFleet::knownCount() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return m_members.size() + 1;
}

auto EntryFleet::listed() const -> std::optional<std::vector<EntryVmEntry>>
{
    const std::lock_guard lock(m_mutex);
    if (!m_hasList)
        return std::nullopt;
    std::vector<EntryVmEntry> entries;
    if (m_isIdListed)
        entries.push_back(m_self);
    for (const auto& [id, member] : m_members) {
        if (member.isListed())
            entries.push_back(member.entry());
    }
    return entries;
}

auto EntryFleet::isViewIncomplete(Core::Instant now) const -> bool
{
    return now < m_ownershipStart || now - m_lastCycle > maximumCycleGap;
}

auto EntryFleet::rank(std::vector<EntryVmEntry> entries) const -> std::vector<EntryVmEntry>
{
    // Those that come first work for the others, so the large VMs do.
    const auto isBefore = [this](const EntryVmEntry& one, const EntryVmEntry& other) {
        if (one.processor != other.processor)
            return one.processor > other.processor;
        const auto score = [this](const EntryVmEntry& entry) {
            return Fleet::rendezvousScore(m_self.region.value(), entry.id.value());
        };
        return score(one) > score(other);
    };
    std::sort(entries.begin(), entries.end(), isBefore);
    // Each failure domain has its first VM in the first round, its second one in the second round, and so on.
    std::map<Core::FailureDomainId, std::size_t> sizes;
    std::vector<std::pair<std::size_t, EntryVmEntry>> rounds;
    for (auto& entry : entries) {
        const auto round = sizes[entry.failureDomain]++;
        rounds.emplace_back(round, std::move(entry));
    }
    std::stable_sort(
        rounds.begin(), rounds.end(), [](const auto& one, const auto& other) { return one.first < other.first; });
    entries.clear();
    for (auto& [round, entry] : rounds)
        entries.push_back(std::move(entry));
    return entries;
}

auto EntryFleet::regionalRanking() const -> std::vector<EntryVmEntry>
{
    std::vector<EntryVmEntry> entries;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_environment.clock.now();
        if (isViewIncomplete(now))
            return {};
        if (!m_isLeaving)
            entries.push_back(m_self);
        for (const auto& [id, member] : m_members) {
            if (acceptsCallers(member, now))
                entries.push_back(member.entry());
        }
    }
    return rank(std::move(entries));
}

auto EntryFleet::knownRanking() const -> std::vector<EntryVmEntry>
{
    std::vector<EntryVmEntry> entries { m_self };
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, member] : m_members) {
            if (isRegionalPeer(member.entry()))
                entries.push_back(member.entry());
        }
    }
    return rank(std::move(entries));
}

auto EntryFleet::isOwner(const Forwarding::UpstreamEntry& upstream) const -> bool
{
    if (upstream.region != m_self.region)
        return false;
    const std::lock_guard lock(m_mutex);
    const auto now = m_environment.clock.now();
    if (isViewIncomplete(now) || m_isLeaving)
        return false;
    const auto& serving = usualTargets(now);
    if (!serving.contains(m_self.id))
        return false;
    const auto& key = upstream.target.id.value();
    const auto own = Fleet::rendezvousScore(key, m_self.id.value());
    return std::none_of(serving.begin(), serving.end(),
        [&](const Core::EntryVmId& id) { return Fleet::rendezvousScore(key, id.value()) > own; });
}

} // namespace EntryFleet
