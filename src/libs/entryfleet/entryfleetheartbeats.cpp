#include "entryfleet/entryfleet.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace EntryFleet {

namespace {

    /// Upper bound on the entry VMs that are known although the store doesn't list them.
    constexpr std::size_t maximumIntroduced = 64;
    /// Largest number of heartbeats of a cycle that carry a digest to other entry VMs of the region.
    constexpr std::size_t maximumDigests = 16;

} // namespace

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

} // namespace EntryFleet
