#include "membership/gossipmember.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <set>

namespace Membership {

namespace {

    const Ports::EventKind suspicionRefuted { "membership.refuted" };
    const Ports::EventKind processReplaced { "membership.restarted" };
    const Ports::EventKind idTaken { "membership.id-used-twice" };

    constexpr std::uint32_t rivalSightingsOfDead = 5;

} // namespace

GossipMember::GossipMember(Collaborators collaborators, Identity identity, GossipTiming timing)
    : m_collaborators(collaborators)
    , m_identity(std::move(identity))
    , m_timing(timing)
{
    m_own.vm = m_identity.vm;
    m_own.incarnation = m_identity.incarnation;
    m_own.freshness = { Generation(1), Sequence(1), Belief::Alive };
    m_table.merge(m_own, m_collaborators.clock.now());
}

auto GossipMember::setAddresses(const Core::Address& address, const Core::Address& peerAddress) -> void
{
    m_identity.vm.address = address;
    m_identity.vm.peerAddress = peerAddress;
    const std::lock_guard lock(m_ownMutex);
    m_own.vm = m_identity.vm;
}

auto GossipMember::start() -> void
{
    refreshOwn(true);
    scheduleRound(Core::Duration(0));
}

auto GossipMember::stop() -> void
{
    const std::lock_guard lock(m_scheduleMutex);
    m_schedule.isStopped = true;
    m_schedule.timer.reset();
    m_schedule.pushTimer.reset();
}

auto GossipMember::announceLeaving() -> void
{
    {
        const std::lock_guard lock(m_ownMutex);
        m_own.isLeaving = true;
    }
    refreshOwn(true);
    pushNow();
}

auto GossipMember::members() const -> std::vector<Member>
{
    std::vector<Member> members;
    std::set<Core::EntryVmId> leaving;
    for (const auto fleet = m_collaborators.fleet.current(); const auto& vm : fleet->entryVms) {
        if (vm.state == Fleet::MemberState::Leaving)
            leaving.insert(vm.id);
    }
    for (const auto& record : m_table.records()) {
        if (record.freshness.belief == Belief::Dead)
            continue;
        members.push_back(memberFrom(record));
        if (members.back().health == MemberHealth::Alive && leaving.contains(record.vm.id))
            members.back().health = MemberHealth::Leaving;
    }
    return members;
}

auto GossipMember::find(const Core::EntryVmId& vm) const -> std::optional<Member>
{
    const auto record = m_table.find(vm);
    if (!record || record->freshness.belief == Belief::Dead)
        return std::nullopt;
    return memberFrom(*record);
}

auto GossipMember::onProbe(const Gossip& gossip) -> Gossip
{
    take(gossip);
    auto reply = heartbeat();
    // A member that this one takes for suspected or dead learns it here, and refutes.
    const auto sender = m_table.find(gossip.sender);
    if (sender && sender->freshness.belief != Belief::Alive)
        reply.records.push_back(*sender);
    return reply;
}

auto GossipMember::onProbeThrough(const Core::Address& target, const Gossip& gossip, GossipPort::Callback respond)
    -> void
{
    take(gossip);
    m_collaborators.port.probe(target, heartbeat(), m_timing.probeTimeout, std::move(respond));
}

auto GossipMember::onExchange(const Gossip& gossip) -> Gossip
{
    take(gossip);
    if (gossip.failureDomain != m_identity.vm.failureDomain) {
        for (const auto& entry : gossip.digest)
            m_table.upholdBelief(entry);
    }
    auto reply = message(recordsNewerThan(gossip.digest, gossip.failureDomain), wantedOf(gossip.digest));
    reply.domains = m_collaborators.versions.domainReports();
    return reply;
}

auto GossipMember::take(const Gossip& gossip) -> void
{
    const auto now = m_collaborators.clock.now();
    bool hasUrgent = false;
    for (const auto& record : gossip.records) {
        if (record.vm.id == m_identity.vm.id) {
            hasUrgent = refuteOwn(record.incarnation, record.freshness) || hasUrgent;
            continue;
        }
        // Another failure domain speaks for its own members only, so that a partition seen there stays there.
        if (gossip.failureDomain != m_identity.vm.failureDomain && record.vm.failureDomain != gossip.failureDomain)
            continue;
        hasUrgent = m_table.merge(record, now) == MergeEffect::Changed || hasUrgent;
    }
    for (const auto& entry : gossip.digest) {
        if (entry.vm == m_identity.vm.id)
            hasUrgent = refuteOwn(m_identity.incarnation, entry.freshness) || hasUrgent;
    }
    m_collaborators.versions.seen(gossip);
    if (hasUrgent)
        schedulePush();
}

auto GossipMember::mustYieldTo(const Core::Incarnation& other) -> bool
{
    m_rivalSeen = other == m_rival ? m_rivalSeen + 1 : 1;
    m_rival = other;
    // A dead process is seen a few times while its records die out; one that comes back each time is alive.
    return m_rivalSeen > rivalSightingsOfDead && m_identity.incarnation < other;
}

auto GossipMember::refuteOwn(const Core::Incarnation& incarnation, const Freshness& seen) -> bool
{
    const bool isOtherProcess = incarnation != m_identity.incarnation;
    bool mustYield = false;
    {
        const std::lock_guard lock(m_ownMutex);
        if (isOtherProcess ? seen.generation < m_own.freshness.generation
                           : seen.belief == Belief::Alive || seen < m_own.freshness)
            return false;
        mustYield = isOtherProcess && mustYieldTo(incarnation);
        if (isOtherProcess)
            m_own.freshness = { Generation(seen.generation.value() + 1), Sequence(1), Belief::Alive };
        else
            m_own.freshness.sequence = Sequence(seen.sequence.value() + 1);
    }
    if (mustYield) {
        m_collaborators.events.record({ idTaken, {}, { { "other", toString(incarnation) } } });
        stop();
        return false;
    }
    m_collaborators.events.record({ isOtherProcess ? processReplaced : suspicionRefuted, {}, {} });
    refreshOwn(true);
    return true;
}

auto GossipMember::refreshOwn(bool force) -> void
{
    const auto now = m_collaborators.clock.now();
    const auto prefix = m_collaborators.ownState.keyPrefix();
    const auto loads = m_collaborators.ownState.loads();
    const auto version = m_collaborators.versions.heldVersions().document;
    MemberRecord own;
    {
        const std::lock_guard lock(m_ownMutex);
        if (!force && prefix == m_own.keyPrefix)
            return;
        m_own.keyPrefix = prefix;
        m_own.loads = loads;
        m_own.configurationVersion = version;
        m_own.freshness.sequence = Sequence(m_own.freshness.sequence.value() + 1);
        own = m_own;
    }
    if (m_table.merge(own, now) == MergeEffect::Changed)
        schedulePush();
}

auto GossipMember::message(std::vector<MemberRecord> records, std::vector<DigestEntry> digest) -> Gossip
{
    return { m_identity.vm.id, m_identity.vm.failureDomain, m_identity.vm.peerAddress,
        m_collaborators.versions.heldVersions(), std::move(records), std::move(digest), {} };
}

auto GossipMember::heartbeat() -> Gossip { return message(m_table.takeUrgent(m_timing.urgentRecords), {}); }

auto GossipMember::recordsNewerThan(const std::vector<DigestEntry>& digest, const Core::FailureDomainId& reader)
    -> std::vector<MemberRecord>
{
    std::map<Core::EntryVmId, Freshness> known;
    for (const auto& entry : digest)
        known[entry.vm] = entry.freshness;
    auto records = reader == m_identity.vm.failureDomain ? m_table.records() : representatives();
    std::erase_if(records, [&](const MemberRecord& record) {
        const auto found = known.find(record.vm.id);
        return found != known.end() && record.freshness <= found->second;
    });
    return records;
}

auto GossipMember::wantedOf(const std::vector<DigestEntry>& digest) const -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> wanted;
    for (const auto& entry : digest) {
        const auto record = m_table.find(entry.vm);
        if (!record)
            wanted.push_back({ entry.vm, {} });
        else if (record->freshness < entry.freshness)
            wanted.push_back({ entry.vm, record->freshness });
    }
    return wanted;
}

auto GossipMember::representatives() const -> std::vector<MemberRecord>
{
    auto records = m_table.records();
    std::erase_if(
        records, [&](const MemberRecord& record) { return record.vm.failureDomain != m_identity.vm.failureDomain; });
    const auto& key = m_identity.vm.failureDomain.value();
    std::sort(records.begin(), records.end(), [&](const MemberRecord& left, const MemberRecord& right) {
        return Fleet::rendezvousScore(key, left.vm.id.value()) > Fleet::rendezvousScore(key, right.vm.id.value());
    });
    // Members that left the first places are sent too until they are forgotten, so that the others learn of it.
    std::size_t alive = 0;
    std::erase_if(records, [&](const MemberRecord& record) {
        return record.freshness.belief == Belief::Alive && !record.isLeaving && ++alive > m_timing.representatives;
    });
    records.resize(std::min(records.size(), 2 * m_timing.representatives));
    return records;
}

auto GossipMember::peersOf(const std::vector<MemberRecord>& records) const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> peers;
    for (const auto& record : records) {
        if (record.vm.failureDomain == m_identity.vm.failureDomain && record.vm.id != m_identity.vm.id
            && record.freshness.belief != Belief::Dead)
            peers.push_back(record);
    }
    return peers;
}

auto GossipMember::candidateAddresses(const Core::FailureDomainId& domain) const -> std::vector<Core::Address>
{
    std::set<Core::Address> addresses;
    for (const auto fleet = m_collaborators.fleet.current(); const auto& vm : fleet->entryVms) {
        if (vm.failureDomain == domain && vm.id != m_identity.vm.id)
            addresses.insert(vm.peerAddress);
    }
    for (const auto& record : m_table.records()) {
        if (record.vm.failureDomain == domain && record.vm.id != m_identity.vm.id)
            addresses.insert(record.vm.peerAddress);
    }
    return { addresses.begin(), addresses.end() };
}

auto GossipMember::pick(std::size_t count) -> std::size_t { return m_collaborators.random.next() % count; }

} // namespace Membership
