#include "entryfleet/entryfleet.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <utility>

namespace EntryFleet {

namespace {

    /// Upper bound on the entry VMs that are known although the store doesn't list them.
    constexpr std::size_t maximumIntroduced = 64;
    /// Largest number of heartbeats of a cycle that carry a digest to other entry VMs of the region.
    constexpr std::size_t maximumDigests = 16;
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

auto EntryFleet::senderOf(const Heartbeat& heartbeat) -> Member*
{
    const auto found = m_members.find(heartbeat.sender);
    if (found != m_members.end())
        return &found->second;
    const auto& introduction = heartbeat.introduction;
    if (!introduction || introduction->id != heartbeat.sender || !isRegionalPeer(*introduction))
        return nullptr;
    const auto introduced
        = std::count_if(m_members.begin(), m_members.end(), [](const auto& item) { return !item.second.isListed(); });
    if (static_cast<std::size_t>(introduced) >= maximumIntroduced)
        return nullptr;
    return &m_members.try_emplace(heartbeat.sender, *introduction, m_environment.clock.now()).first->second;
}

auto EntryFleet::receive(const Heartbeat& heartbeat) -> void
{
    if (apply(heartbeat))
        forward(heartbeat);
    if (heartbeat.quarantine != Dispatch::QuarantineDigest())
        reportQuarantine(heartbeat);
}

auto EntryFleet::reportQuarantine(const Heartbeat& heartbeat) -> void
{
    Core::Address address;
    {
        const std::lock_guard lock(m_mutex);
        const auto sender = m_members.find(heartbeat.sender);
        if (sender == m_members.end())
            return;
        address = sender->second.entry().peers;
    }
    m_environment.onQuarantine(address, heartbeat.quarantine);
}

auto EntryFleet::apply(const Heartbeat& heartbeat) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_environment.clock.now();
    auto* member = senderOf(heartbeat);
    if (member == nullptr)
        return false;
    const bool didAccept = acceptsCallers(*member, now);
    if (!member->receive(heartbeat, now))
        return false;
    if (acceptsCallers(*member, now) != didAccept)
        m_usualTargetsUntil = Core::Instant::min();
    return !member->isListed() && heartbeat.introduction && !heartbeat.isForwarded;
}

auto EntryFleet::forward(Heartbeat heartbeat) -> void
{
    std::vector<Core::Address> addresses;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, member] : m_members) {
            if (!member.isListed() && id != heartbeat.sender)
                addresses.push_back(member.entry().heartbeats);
        }
    }
    heartbeat.isForwarded = true;
    for (const auto& address : addresses)
        m_environment.heartbeats.send(address, heartbeat);
}

auto EntryFleet::start() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStarted = true;
        m_lastCycle = m_environment.clock.now();
        if (m_hasList)
            deferOwnership(m_lastCycle);
    }
    runHeartbeatCycle();
}

auto EntryFleet::runHeartbeatCycle() -> void
{
    sendHeartbeats();
    bool wasPaused = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_environment.clock.now();
        wasPaused = detectPause(now);
        m_lastCycle = now;
        ++m_cycles;
        recordLivenessChanges(now);
        forgetUnlisted(now);
        m_timer = m_environment.scheduler.after(heartbeatInterval, [this] { runHeartbeatCycle(); });
    }
    if (wasPaused)
        m_environment.onPauseDetected();
}

auto EntryFleet::detectPause(Core::Instant now) -> bool
{
    const auto gap = now - m_lastCycle;
    if (gap <= maximumCycleGap)
        return false;
    for (auto& [id, member] : m_members)
        member.excludePause(gap, now);
    if (m_hasList)
        deferOwnership(now);
    m_environment.events.record({ Ports::EventKind("process.held-up"), {},
        { { "heldUpMs", std::to_string(std::chrono::duration_cast<Core::Millis>(gap).count()) } } });
    return true;
}

auto EntryFleet::observedUntil(Core::Instant now) const -> Core::Instant
{
    return std::min(now, m_lastCycle + maximumCycleGap);
}

auto EntryFleet::sendHeartbeats() -> void
{
    std::vector<Core::Address> addresses;
    std::vector<Core::Address> digestAddresses;
    Heartbeat heartbeat { m_self.id, m_self.start, false };
    const auto quarantine = m_environment.quarantine();
    {
        const std::lock_guard lock(m_mutex);
        heartbeat.isLeaving = m_isLeaving;
        heartbeat.isBusy = m_isBusy;
        if (!m_isSelfListed)
            heartbeat.introduction = m_self;
        for (const auto& [id, member] : m_members) {
            if (isRegionalPeer(member.entry()))
                addresses.push_back(member.entry().heartbeats);
        }
        if (quarantine != Dispatch::QuarantineDigest())
            digestAddresses = takeDigestAddresses(addresses);
    }
    for (const auto& address : addresses)
        m_environment.heartbeats.send(address, heartbeat);
    heartbeat.introduction = m_self;
    heartbeat.quarantine = quarantine;
    for (const auto& address : digestAddresses)
        m_environment.heartbeats.send(address, heartbeat);
}

auto EntryFleet::takeDigestAddresses(std::vector<Core::Address>& regional) const -> std::vector<Core::Address>
{
    std::vector<Core::Address> taken;
    if (!regional.empty()) {
        // Each VM goes round the others from a place of its own.
        const auto start = Fleet::rendezvousScore(m_self.region.value(), m_self.id.value());
        const auto first = (start + m_cycles * maximumDigests) % regional.size();
        std::rotate(regional.begin(), regional.begin() + static_cast<std::ptrdiff_t>(first), regional.end());
        const auto rest = regional.size() - std::min(regional.size(), maximumDigests);
        taken.assign(regional.begin() + static_cast<std::ptrdiff_t>(rest), regional.end());
        regional.resize(rest);
    }
    if (speaksForRegion(m_environment.clock.now())) {
        const auto others = addressesInOtherRegions();
        taken.insert(taken.end(), others.begin(), others.end());
    }
    return taken;
}

auto EntryFleet::speaksForRegion(Core::Instant now) const -> bool
{
    return !m_isLeaving && std::none_of(m_members.begin(), m_members.end(), [&](const auto& item) {
        return item.first < m_self.id && acceptsCallers(item.second, now);
    });
}

auto EntryFleet::addressesInOtherRegions() const -> std::vector<Core::Address>
{
    std::map<Core::RegionId, std::vector<Core::Address>> regions;
    for (const auto& [id, member] : m_members) {
        const auto& entry = member.entry();
        if (entry.region != m_self.region)
            regions[entry.region].push_back(entry.heartbeats);
    }
    std::vector<Core::Address> addresses;
    for (const auto& [region, candidates] : regions)
        addresses.push_back(candidates[m_cycles % candidates.size()]);
    return addresses;
}

auto EntryFleet::leave() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_isLeaving = true;
        m_usualTargetsUntil = Core::Instant::min();
    }
    sendHeartbeats();
}

auto EntryFleet::isAlive(const Member& member, Core::Instant now) const -> bool
{
    return member.isAlive(observedUntil(now));
}

auto EntryFleet::acceptsCallers(const Member& member, Core::Instant now) const -> bool
{
    return isRegionalPeer(member.entry()) && !member.isLeaving() && isAlive(member, now);
}

auto EntryFleet::recordLivenessChanges(Core::Instant now) -> void
{
    for (auto& [id, member] : m_members) {
        const bool isAliveNow = isAlive(member, now);
        if (!isRegionalPeer(member.entry()) || !member.setWasAlive(isAliveNow))
            continue;
        m_environment.events.record({ Ports::EventKind(isAliveNow ? "member.alive" : "member.suspected"), {},
            { { "vm", id.value() }, { "failureDomain", member.entry().failureDomain.value() },
                { "silentMs",
                    std::to_string(
                        std::chrono::duration_cast<Core::Millis>(now - member.lastHeartbeat()).count()) } } });
    }
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
