#include "quotas/treeneighbours.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Quotas {

namespace {

    /// Part of the unused permits that may be held in the fleet. The rest is for those in flight, and for room that two
    /// parents have from the same child while one takes the other's place.
    constexpr double heldShare = 0.75;
    /// A child that is silent for this time has another parent.
    constexpr Core::Millis childTimeout { 1000 };
    constexpr Core::Millis firstProbeDelay { 250 };
    /// The time between probes of a VM that is down doubles this often.
    constexpr int maximumDoublings = 5;
    constexpr Core::Millis forgivenAfter { 60'000 };
    constexpr Core::Millis probeInterval { 200 };
    /// Largest number of VMs that are probed at once.
    constexpr std::size_t maximumProbes = 8;
    constexpr Core::Millis scarceLifetime { 1000 };
    constexpr Core::Millis scarceInterval { 400 };
    constexpr std::size_t maximumScarce = 256;
    constexpr std::size_t maximumChildren = 1024;
    /// A message of an earlier start may arrive this late.
    constexpr Core::Millis replacedAfter { 10'000 };
    /// Time in which the others learn that this VM has joined them, before it mints.
    constexpr Core::Millis joinDelay { 1500 };
    /// A VM that is no longer listed may go on minting; its part stays free for this time.
    constexpr std::chrono::minutes unlistedLifetime { 10 };

} // namespace

TreeNeighbours::TreeNeighbours(TreeMember self, Core::ProcessStartId start)
    : m_self(std::move(self))
    , m_start(start)
{
}

auto TreeNeighbours::setMembers(std::vector<TreeMember> members, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto isSelf = [this](const TreeMember& member) { return member.id == m_self.id; };
    const bool isListed = std::any_of(members.begin(), members.end(), isSelf);
    // The list was in force until now, also if it has not changed for long.
    for (const auto& id : m_listed)
        m_known[id] = now;
    m_listed.clear();
    for (const auto& member : members) {
        m_listed.insert(member.id);
        m_known[member.id] = now;
    }
    std::erase_if(m_known, [now](const auto& item) { return now - item.second > unlistedLifetime; });
    // A VM that the first list contains was counted by the others already when its previous process ran.
    if (isListed && m_mintsFrom == Core::Instant::max())
        m_mintsFrom = m_hasList ? now + joinDelay : now;
    m_hasList = true;
    if (!isListed)
        members.push_back(m_self);
    m_tree = PermitTree(std::move(members), m_self.id);
    updateParent();
}

auto TreeNeighbours::divisor(Core::Instant now) const -> double
{
    const auto counted = std::count_if(m_known.begin(), m_known.end(),
        [&](const auto& item) { return m_listed.contains(item.first) || now - item.second <= unlistedLifetime; });
    const auto told = now - m_toldAt < unlistedLifetime ? m_toldCount : 0;
    return static_cast<double>(std::max<std::size_t>({ 1, static_cast<std::size_t>(counted), told }));
}

auto TreeNeighbours::totalRoom(Core::Instant now) const -> double
{
    double room = 1;
    for (const auto& [id, child] : m_children) {
        if (now - child.heardAt < childTimeout)
            room += child.delegatedRoom;
    }
    return room;
}

auto TreeNeighbours::part(Core::Instant now) const -> FleetPart
{
    const std::lock_guard lock(m_mutex);
    const auto kept = m_parent ? totalRoom(now) / 2 : totalRoom(now);
    return { now >= m_mintsFrom ? 1 / divisor(now) : 0, heldShare * kept / divisor(now) };
}

auto TreeNeighbours::isDown(const Core::EntryVmId& vm) const -> bool
{
    const auto found = m_silences.find(vm);
    return found != m_silences.end() && found->second.isDown;
}

auto TreeNeighbours::updateParent() -> void
{
    const auto* parent = m_tree.parent([this](const Core::EntryVmId& vm) { return isDown(vm); });
    if (parent == nullptr)
        m_parent.reset();
    else
        m_parent = *parent;
}

auto TreeNeighbours::parent() const -> std::optional<TreeMember>
{
    const std::lock_guard lock(m_mutex);
    return m_parent;
}

auto TreeNeighbours::noteSilence(const Core::EntryVmId& vm, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_silences.size() > m_known.size())
        m_silences.clear();
    auto& silence = m_silences[vm];
    if (now - silence.failedAt > forgivenAfter)
        silence.failures = 0;
    silence.failures = std::min(silence.failures + 1, maximumDoublings);
    silence.isDown = true;
    silence.failedAt = now;
    silence.nextProbe = now + firstProbeDelay * (1 << silence.failures);
    m_isParentLost = m_isParentLost || (m_parent && m_parent->id == vm);
    updateParent();
}

auto TreeNeighbours::noteAnswer(const Core::EntryVmId& vm, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_silences.find(vm);
    if (found == m_silences.end() || !found->second.isDown)
        return;
    found->second.isDown = false;
    found->second.failedAt = now;
    updateParent();
}

auto TreeNeighbours::takeProbes(Core::Instant now) -> std::vector<TreeMember>
{
    const std::lock_guard lock(m_mutex);
    std::vector<TreeMember> probes;
    if (now < m_nextProbes)
        return probes;
    m_nextProbes = now + probeInterval;
    for (auto& [vm, silence] : m_silences) {
        const auto* member = silence.isDown && silence.nextProbe <= now ? m_tree.find(vm) : nullptr;
        if (member == nullptr)
            continue;
        silence.nextProbe = now + firstProbeDelay * (1 << silence.failures);
        probes.push_back(*member);
        break;
    }
    if (!std::exchange(m_isParentLost, false))
        return probes;
    std::set<Core::EntryVmId> excluded;
    while (probes.size() < maximumProbes) {
        const auto* next
            = m_tree.parent([&](const Core::EntryVmId& vm) { return isDown(vm) || excluded.contains(vm); });
        if (next == nullptr)
            break;
        probes.push_back(*next);
        excluded.insert(next->id);
    }
    return probes;
}

auto TreeNeighbours::nextMessage(bool isToParent, Core::Instant now) -> PermitMessage
{
    const std::lock_guard lock(m_mutex);
    PermitMessage message;
    message.sender = m_self.id;
    message.start = m_start;
    message.sequence = ++m_sequence;
    message.delegatedRoom = isToParent ? totalRoom(now) / 2 : 0;
    message.vmCount = m_listed.size();
    return message;
}

auto TreeNeighbours::noteChild(const PermitMessage& message, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    if (!m_children.contains(message.sender)) {
        std::erase_if(m_children, [now](const auto& item) { return now - item.second.heardAt > unlistedLifetime; });
        if (m_children.size() >= maximumChildren)
            return false;
    }
    auto& child = m_children[message.sender];
    if (!noteArrival(child, message, now))
        return false;
    if (message.sequence == child.sequence) {
        child.delegatedRoom
            = std::isfinite(message.delegatedRoom) ? std::clamp(message.delegatedRoom, 0.0, divisor(now)) : 0;
    }
    child.heardAt = now;
    return true;
}

auto TreeNeighbours::noteArrival(Child& child, const PermitMessage& message, Core::Instant now) -> bool
{
    constexpr std::uint64_t rememberedMessages = 64;
    // The clock of a VM can step back before its process restarts; then the later start stays silent.
    if (message.start < child.start && now - child.heardAt < replacedAfter)
        return false;
    if (message.start != child.start)
        child = { message.start, 0, 0, 0, {}, {} };
    if (message.sequence > child.sequence) {
        const auto newer = message.sequence - child.sequence;
        child.arrived = newer < rememberedMessages ? child.arrived << newer : 0;
        child.sequence = message.sequence;
    }
    const auto age = child.sequence - message.sequence;
    const auto bit = age < rememberedMessages ? std::uint64_t { 1 } << age : 0;
    if (bit == 0 || (child.arrived & bit) != 0)
        return false;
    child.arrived |= bit;
    return true;
}

auto TreeNeighbours::noteVmCount(std::size_t count, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    if (count < m_toldCount && now - m_toldAt < unlistedLifetime)
        return;
    m_toldCount = count;
    m_toldAt = now;
}

auto TreeNeighbours::vmCount() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return m_listed.size();
}

auto TreeNeighbours::markScarce(const Core::OrganisationId& organisation, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_scarceUntil.size() >= maximumScarce)
        std::erase_if(m_scarceUntil, [now](const auto& item) { return item.second <= now; });
    if (m_scarceUntil.size() < maximumScarce)
        m_scarceUntil[organisation] = now + scarceLifetime;
}

auto TreeNeighbours::isScarce(const Core::OrganisationId& organisation, Core::Instant now) const -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_scarceUntil.find(organisation);
    return found != m_scarceUntil.end() && now < found->second;
}

auto TreeNeighbours::takeScarce(const Core::EntryVmId& child, Core::Instant now) -> std::vector<Core::OrganisationId>
{
    const std::lock_guard lock(m_mutex);
    std::vector<Core::OrganisationId> result;
    const auto found = m_children.find(child);
    if (found == m_children.end() || now < found->second.nextScarce)
        return result;
    found->second.nextScarce = now + scarceInterval;
    for (const auto& [organisation, until] : m_scarceUntil) {
        if (now < until)
            result.push_back(organisation);
    }
    return result;
}

} // namespace Quotas
