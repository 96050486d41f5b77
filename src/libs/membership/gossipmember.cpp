#include "membership/gossipmember.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <set>

namespace Membership {

namespace {

    const Ports::EventKind suspicionRefuted { "membership.refuted" };
    const Ports::EventKind processReplaced { "membership.restarted" };
    const Ports::EventKind idUsedTwice { "membership.id-used-twice" };

    constexpr std::uint32_t maximumDeadSightings = 5;

} // namespace

GossipMember::GossipMember(Dependencies dependencies, Identity identity, GossipTiming timing)
    : m_dependencies(dependencies)
    , m_identity(std::move(identity))
    , m_timing(timing)
{
    m_ownRecord.vm = m_identity.vm;
    m_ownRecord.incarnation = m_identity.incarnation;
    m_ownRecord.freshness = { Generation(1), Sequence(1), Liveness::Alive };
    m_table.merge(m_ownRecord, m_dependencies.clock.now());
}

auto GossipMember::setAddresses(const Core::Address& address, const Core::Address& peerAddress) -> void
{
    m_identity.vm.address = address;
    m_identity.vm.peerAddress = peerAddress;
    const std::lock_guard lock(m_ownMutex);
    m_ownRecord.vm = m_identity.vm;
}

auto GossipMember::start() -> void
{
    refreshOwnRecord(true);
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
        m_ownRecord.isLeaving = true;
    }
    refreshOwnRecord(true);
    pushNow();
}

auto GossipMember::members() const -> std::vector<Member>
{
    std::vector<Member> members;
    std::set<Core::EntryVmId> leaving;
    for (const auto fleet = m_dependencies.fleet.current(); const auto& vm : fleet->entryVms) {
        if (vm.state == Fleet::MemberState::Leaving)
            leaving.insert(vm.id);
    }
    for (const auto& record : m_table.records()) {
        if (record.freshness.liveness == Liveness::Dead)
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
    if (!record || record->freshness.liveness == Liveness::Dead)
        return std::nullopt;
    return memberFrom(*record);
}

auto GossipMember::onProbe(const Gossip& gossip) -> Gossip
{
    applyGossip(gossip);
    auto reply = makeHeartbeat();
    // If the sender is suspected or declared dead, include its record so that it can refute it.
    const auto sender = m_table.find(gossip.sender);
    if (sender && sender->freshness.liveness != Liveness::Alive)
        reply.records.push_back(*sender);
    return reply;
}

auto GossipMember::onProbeThrough(const Core::Address& target, const Gossip& gossip, GossipPort::Callback respond)
    -> void
{
    applyGossip(gossip);
    m_dependencies.port.probe(target, makeHeartbeat(), m_timing.probeTimeout, std::move(respond));
}

auto GossipMember::onExchange(const Gossip& gossip) -> Gossip
{
    applyGossip(gossip);
    if (gossip.failureDomain != m_identity.vm.failureDomain) {
        for (const auto& entry : gossip.digest)
            m_table.overrideForeignRecord(entry);
    }
    auto reply = makeMessage(recordsNewerThan(gossip.digest, gossip.failureDomain), outdatedEntries(gossip.digest));
    reply.domains = m_dependencies.versions.domainReports();
    return reply;
}

auto GossipMember::applyGossip(const Gossip& gossip) -> void
{
    const auto now = m_dependencies.clock.now();
    bool hasUrgent = false;
    for (const auto& record : gossip.records) {
        if (record.vm.id == m_identity.vm.id) {
            hasUrgent = refute(record.incarnation, record.freshness) || hasUrgent;
            continue;
        }
        // Accept records from another failure domain only for its own members, so that a partition observed there does
        // not spread.
        if (gossip.failureDomain != m_identity.vm.failureDomain && record.vm.failureDomain != gossip.failureDomain)
            continue;
        hasUrgent = m_table.merge(record, now) == MergeEffect::Changed || hasUrgent;
    }
    for (const auto& entry : gossip.digest) {
        if (entry.vm == m_identity.vm.id)
            hasUrgent = refute(m_identity.incarnation, entry.freshness) || hasUrgent;
    }
    m_dependencies.versions.onGossip(gossip);
    if (hasUrgent)
        schedulePush();
}

auto GossipMember::mustYieldTo(const Core::Incarnation& other) -> bool
{
    m_duplicateSightings = other == m_duplicateIncarnation ? m_duplicateSightings + 1 : 1;
    m_duplicateIncarnation = other;
    // Records of a dead process arrive a few times until they expire; a process whose records keep arriving is alive.
    return m_duplicateSightings > maximumDeadSightings && m_identity.incarnation < other;
}

auto GossipMember::refute(const Core::Incarnation& incarnation, const Freshness& claimed) -> bool
{
    const bool isOtherProcess = incarnation != m_identity.incarnation;
    bool mustYield = false;
    {
        const std::lock_guard lock(m_ownMutex);
        if (isOtherProcess ? claimed.generation < m_ownRecord.freshness.generation
                           : claimed.liveness == Liveness::Alive || claimed < m_ownRecord.freshness)
            return false;
        mustYield = isOtherProcess && mustYieldTo(incarnation);
        if (isOtherProcess)
            m_ownRecord.freshness = { Generation(claimed.generation.value() + 1), Sequence(1), Liveness::Alive };
        else
            m_ownRecord.freshness.sequence = Sequence(claimed.sequence.value() + 1);
    }
    if (mustYield) {
        m_dependencies.events.record({ idUsedTwice, {}, { { "other", toString(incarnation) } } });
        stop();
        return false;
    }
    m_dependencies.events.record({ isOtherProcess ? processReplaced : suspicionRefuted, {}, {} });
    refreshOwnRecord(true);
    return true;
}

auto GossipMember::refreshOwnRecord(bool force) -> void
{
    const auto now = m_dependencies.clock.now();
    const auto prefix = m_dependencies.localState.keyPrefix();
    const auto loads = m_dependencies.localState.loads();
    const auto version = m_dependencies.versions.localVersions().document;
    MemberRecord own;
    {
        const std::lock_guard lock(m_ownMutex);
        if (!force && prefix == m_ownRecord.keyPrefix)
            return;
        m_ownRecord.keyPrefix = prefix;
        m_ownRecord.loads = loads;
        m_ownRecord.configurationVersion = version;
        m_ownRecord.freshness.sequence = Sequence(m_ownRecord.freshness.sequence.value() + 1);
        own = m_ownRecord;
    }
    if (m_table.merge(own, now) == MergeEffect::Changed)
        schedulePush();
}

auto GossipMember::makeMessage(std::vector<MemberRecord> records, std::vector<DigestEntry> digest) -> Gossip
{
    return { m_identity.vm.id, m_identity.vm.failureDomain, m_identity.vm.peerAddress,
        m_dependencies.versions.localVersions(), std::move(records), std::move(digest), {} };
}

auto GossipMember::makeHeartbeat() -> Gossip
{
    return makeMessage(m_table.takeUrgentRecords(m_timing.urgentRecords), {});
}

auto GossipMember::recordsNewerThan(
    const std::vector<DigestEntry>& digest, const Core::FailureDomainId& recipientDomain) -> std::vector<MemberRecord>
{
    std::map<Core::EntryVmId, Freshness> known;
    for (const auto& entry : digest)
        known[entry.vm] = entry.freshness;
    auto records = recipientDomain == m_identity.vm.failureDomain ? m_table.records() : representatives();
    std::erase_if(records, [&](const MemberRecord& record) {
        const auto found = known.find(record.vm.id);
        return found != known.end() && record.freshness <= found->second;
    });
    return records;
}

auto GossipMember::outdatedEntries(const std::vector<DigestEntry>& digest) const -> std::vector<DigestEntry>
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
    // Members that are leaving, suspected or dead do not count, but are also sent until their records are dropped, so
    // that the other failure domains receive the change.
    std::size_t alive = 0;
    std::erase_if(records, [&](const MemberRecord& record) {
        return record.freshness.liveness == Liveness::Alive && !record.isLeaving && ++alive > m_timing.representatives;
    });
    records.resize(std::min(records.size(), 2 * m_timing.representatives));
    return records;
}

auto GossipMember::peersOf(const std::vector<MemberRecord>& records) const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> peers;
    for (const auto& record : records) {
        if (record.vm.failureDomain == m_identity.vm.failureDomain && record.vm.id != m_identity.vm.id
            && record.freshness.liveness != Liveness::Dead)
            peers.push_back(record);
    }
    return peers;
}

auto GossipMember::candidateAddresses(const Core::FailureDomainId& domain) const -> std::vector<Core::Address>
{
    std::set<Core::Address> addresses;
    for (const auto fleet = m_dependencies.fleet.current(); const auto& vm : fleet->entryVms) {
        if (vm.failureDomain == domain && vm.id != m_identity.vm.id)
            addresses.insert(vm.peerAddress);
    }
    for (const auto& record : m_table.records()) {
        if (record.vm.failureDomain == domain && record.vm.id != m_identity.vm.id)
            addresses.insert(record.vm.peerAddress);
    }
    return { addresses.begin(), addresses.end() };
}

auto GossipMember::randomIndex(std::size_t count) -> std::size_t { return m_dependencies.random.next() % count; }

} // namespace Membership
