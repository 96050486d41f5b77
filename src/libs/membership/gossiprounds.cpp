#include "fleet/rendezvous.h"
#include "membership/gossipmember.h"

#include <algorithm>
#include <atomic>
#include <set>

namespace Membership {

namespace {

    const Ports::EventKind memberSuspected { "membership.suspected" };
    const Ports::EventKind memberDead { "membership.dead" };

    /// Delay before an urgent change is pushed, so that several changes are sent together.
    constexpr Core::Millis pushDelay { 5 };

    auto ringTargets(const std::vector<MemberRecord>& peers, const Core::EntryVmId& self, std::size_t count)
        -> std::vector<MemberRecord>
    {
        std::vector<MemberRecord> targets;
        const auto after = std::upper_bound(peers.begin(), peers.end(), self,
            [](const Core::EntryVmId& id, const MemberRecord& peer) { return id < peer.vm.id; });
        const auto first = static_cast<std::size_t>(after - peers.begin());
        for (std::size_t step = 0; step < std::min(count, peers.size()); ++step)
            targets.push_back(peers[(first + step) % peers.size()]);
        return targets;
    }

    auto liveNames(const std::vector<MemberRecord>& records) -> std::vector<std::string>
    {
        std::vector<std::string> names;
        for (const auto& record : records) {
            if (record.freshness.liveness == Liveness::Alive)
                names.push_back(record.vm.id.value());
        }
        return names;
    }

} // namespace

auto GossipMember::scheduleRound(Core::Duration delay) -> void
{
    const std::lock_guard lock(m_scheduleMutex);
    if (m_schedule.isStopped)
        return;
    m_schedule.timer = m_dependencies.scheduler.after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->runRound();
    });
}

auto GossipMember::schedulePush() -> void
{
    const std::lock_guard lock(m_scheduleMutex);
    if (m_schedule.isStopped || m_schedule.pushTimer)
        return;
    m_schedule.pushTimer = m_dependencies.scheduler.after(pushDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->pushNow();
    });
}

auto GossipMember::runRound() -> void
{
    const auto now = m_dependencies.clock.now();
    const auto peers = peersOf(m_table.records());
    bool isRefreshDue = false;
    {
        const std::lock_guard lock(m_scheduleMutex);
        isRefreshDue = m_schedule.nextRefresh <= now;
        if (isRefreshDue)
            m_schedule.nextRefresh = now + refreshInterval(m_timing, peers.size() + 1);
    }
    refreshOwnRecord(isRefreshDue);
    probePeers(peers);
    exchangeIfDue(peers, now);
    contactSeedIfDue(now);
    contactDomainsIfDue(peers, now);
    expire(now);
    scheduleRound(m_timing.heartbeatInterval);
}

auto GossipMember::pushNow() -> void
{
    {
        const std::lock_guard lock(m_scheduleMutex);
        m_schedule.pushTimer.reset();
    }
    auto peers = peersOf(m_table.records());
    for (std::size_t sent = 0; sent < m_timing.pushFanout && !peers.empty(); ++sent) {
        const auto index = randomIndex(peers.size());
        probe(peers[index]);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

auto GossipMember::probePeers(const std::vector<MemberRecord>& peers) -> void
{
    const auto ring = ringTargets(peers, m_identity.vm.id, m_timing.ringProbes);
    std::set<Core::EntryVmId> probed;
    for (const auto& target : ring) {
        probed.insert(target.vm.id);
        probe(target);
    }
    for (std::size_t count = 0; count < m_timing.randomProbes && probed.size() < peers.size(); ++count) {
        const auto& target = peers[randomIndex(peers.size())];
        if (probed.insert(target.vm.id).second)
            probe(target);
    }
}

auto GossipMember::probe(const MemberRecord& target) -> void
{
    probe(target, [this, target] { probeIndirectly(target); });
}

auto GossipMember::probe(const MemberRecord& target, std::function<void()> onFailure) -> void
{
    m_dependencies.port.probe(target.vm.peerAddress, makeHeartbeat(), m_timing.probeTimeout,
        [weak = weak_from_this(), onFailure = std::move(onFailure)](const Core::Result<Gossip>& reply) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (reply)
                self->applyGossip(*reply);
            else
                onFailure();
        });
}

auto GossipMember::probeIndirectly(const MemberRecord& target) -> void
{
    auto relays = peersOf(m_table.records());
    std::erase_if(relays, [&](const MemberRecord& relay) {
        return relay.vm.id == target.vm.id || relay.freshness.liveness != Liveness::Alive;
    });
    auto pending = std::make_shared<std::atomic<std::size_t>>(std::min(m_timing.relays, relays.size()));
    if (*pending == 0) {
        suspect(target);
        return;
    }
    for (std::size_t remaining = pending->load(); remaining > 0; --remaining) {
        const auto index = randomIndex(relays.size());
        m_dependencies.port.probeThrough(relays[index].vm.peerAddress, target.vm.peerAddress, makeHeartbeat(),
            m_timing.relayTimeout, [weak = weak_from_this(), target, pending](const Core::Result<Gossip>& reply) {
                const auto self = weak.lock();
                if (!self)
                    return;
                if (reply) {
                    pending->store(0);
                    self->applyGossip(*reply);
                } else if (pending->load() > 0 && pending->fetch_sub(1) == 1) {
                    self->suspect(target);
                }
            });
        relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

auto GossipMember::suspect(const MemberRecord& target) -> void
{
    // Use the newest record, not the one known when the probe was sent, since the probe failed only now.
    const auto current = m_table.find(target.vm.id);
    if (!current || current->incarnation != target.incarnation)
        return;
    if (!m_table.downgradeLiveness(target.vm.id, current->freshness, Liveness::Suspected, m_dependencies.clock.now()))
        return;
    m_dependencies.events.record({ memberSuspected, {}, { { "vm", target.vm.id.value() } } });
    schedulePush();
}

auto GossipMember::expire(Core::Instant now) -> void
{
    for (const auto& record : m_table.recordsDowngradedBefore(Liveness::Suspected, now - m_timing.suspicionTimeout)) {
        // Only a member's own failure domain may declare it dead; another one may merely be partitioned from it.
        if (record.vm.failureDomain != m_identity.vm.failureDomain)
            continue;
        if (m_table.downgradeLiveness(record.vm.id, record.freshness, Liveness::Dead, now))
            m_dependencies.events.record({ memberDead, {}, { { "vm", record.vm.id.value() } } });
    }
    m_table.dropExpired(m_identity.vm.id, now - m_timing.retention);
}

auto GossipMember::exchangeWith(const Core::Address& peer) -> void
{
    auto gossip = makeMessage({}, m_table.digest());
    gossip.domains = m_dependencies.versions.domainReports();
    m_dependencies.port.exchange(peer, std::move(gossip), m_timing.exchangeTimeout,
        [weak = weak_from_this(), peer](const Core::Result<Gossip>& reply) {
            const auto self = weak.lock();
            if (!self || !reply)
                return;
            self->applyGossip(*reply);
            auto wanted = self->recordsNewerThan(reply->digest, reply->failureDomain);
            std::set<Core::EntryVmId> names;
            for (const auto& entry : reply->digest)
                names.insert(entry.vm);
            std::erase_if(wanted, [&](const MemberRecord& record) { return !names.contains(record.vm.id); });
            if (wanted.empty())
                return;
            self->m_dependencies.port.probe(peer, self->makeMessage(std::move(wanted), {}),
                self->m_timing.exchangeTimeout, [](const Core::Result<Gossip>&) {});
        });
}

auto GossipMember::exchangeIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void
{
    {
        const std::lock_guard lock(m_scheduleMutex);
        if (peers.empty() || now < m_schedule.nextExchange)
            return;
        m_schedule.nextExchange = now + exchangeInterval(m_timing, peers.size() + 1);
    }
    exchangeWith(peers[randomIndex(peers.size())].vm.peerAddress);
}

auto GossipMember::contactSeedIfDue(Core::Instant now) -> void
{
    {
        const std::lock_guard lock(m_scheduleMutex);
        if (now < m_schedule.nextSeedContact)
            return;
        m_schedule.nextSeedContact = now + m_timing.seedInterval;
    }
    std::set<Core::Address> liveAddresses { m_identity.vm.peerAddress };
    for (const auto& record : m_table.records()) {
        if (record.freshness.liveness == Liveness::Alive)
            liveAddresses.insert(record.vm.peerAddress);
    }
    auto candidates = candidateAddresses(m_identity.vm.failureDomain);
    candidates.insert(candidates.end(), m_identity.seeds.begin(), m_identity.seeds.end());
    std::erase_if(candidates, [&](const Core::Address& address) { return liveAddresses.contains(address); });
    if (!candidates.empty())
        exchangeWith(candidates[randomIndex(candidates.size())]);
}

auto GossipMember::contactDomainsIfDue(const std::vector<MemberRecord>& peers, Core::Instant now) -> void
{
    const auto position
        = Fleet::rendezvousPosition(m_identity.vm.failureDomain.value(), m_identity.vm.id.value(), liveNames(peers));
    const auto delegates = delegateCount(m_timing, peers.size() + 1);
    if (position >= delegates)
        return;
    std::set<Core::FailureDomainId> domains;
    for (const auto fleet = m_dependencies.fleet.current(); const auto& vm : fleet->entryVms)
        domains.insert(vm.failureDomain);
    for (const auto& record : m_table.records())
        domains.insert(record.vm.failureDomain);
    domains.erase(m_identity.vm.failureDomain);
    if (domains.empty())
        return;
    const auto interval
        = std::max<Core::Duration>(m_timing.minimumDomainExchange, m_timing.domainExchangePerDomain * domains.size());
    // Each delegate contacts its share of the failure domains once per interval, so that all of them are contacted.
    const auto share = std::max<std::size_t>(1, domains.size() * 2 / delegates);
    std::vector<Core::FailureDomainId> due;
    {
        const std::lock_guard lock(m_scheduleMutex);
        while (m_schedule.nextDomainExchange <= now && due.size() < share) {
            due.push_back(*std::next(domains.begin(),
                static_cast<std::ptrdiff_t>((m_schedule.domainCursor++ + position * share) % domains.size())));
            m_schedule.nextDomainExchange = std::max(m_schedule.nextDomainExchange, now - m_timing.heartbeatInterval)
                + interval / static_cast<std::int64_t>(share);
        }
    }
    for (const auto& domain : due)
        exchangeWithDomain(domain);
}

auto GossipMember::exchangeWithDomain(const Core::FailureDomainId& domain) -> void
{
    const auto addresses = candidateAddresses(domain);
    if (addresses.empty())
        return;
    const auto peer = addresses[randomIndex(addresses.size())];
    auto digest = m_table.digest();
    auto records = m_table.records();
    std::erase_if(records, [&](const MemberRecord& record) { return record.vm.failureDomain != domain; });
    std::erase_if(digest, [&](const DigestEntry& entry) {
        return std::none_of(
            records.begin(), records.end(), [&](const MemberRecord& record) { return record.vm.id == entry.vm; });
    });
    auto gossip = makeMessage(representatives(), std::move(digest));
    gossip.domains = m_dependencies.versions.domainReports();
    m_dependencies.port.exchange(peer, std::move(gossip), m_timing.exchangeTimeout,
        [weak = weak_from_this(), peer, records](const Core::Result<Gossip>& reply) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (reply) {
                self->applyGossip(*reply);
                return;
            }
            for (const auto& record : records) {
                if (record.vm.peerAddress == peer && record.freshness.liveness == Liveness::Alive)
                    self->confirmUnreachable(record);
            }
        });
}

auto GossipMember::confirmUnreachable(const MemberRecord& target) -> void
{
    probe(target, [this, target] { suspect(target); });
}

} // namespace Membership
