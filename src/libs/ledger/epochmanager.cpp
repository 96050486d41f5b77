#include "ledger/epochmanager.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Ledger {

namespace {

    const Ports::EventKind epochOpened { "booking.epoch.opened" };
    const Ports::EventKind epochClosed { "booking.epoch.closed" };

    /// Rendezvous weight of a candidate for one home, above 0.
    auto rendezvousWeight(const Core::EntryVmId& home, const Core::EntryVmId& candidate) -> std::uint64_t
    {
        return std::hash<std::string> {}(home.value() + '/' + candidate.value()) | 1U;
    }

} // namespace

auto prefixWithoutBackup(const std::string& prefix) -> std::string
{
    const auto parsed = Core::parseKeyPrefix(prefix);
    return parsed ? toString(withoutBackup(*parsed)) : std::string();
}

auto namesBackup(const std::string& prefix) -> bool
{
    const auto parsed = Core::parseKeyPrefix(prefix);
    return parsed && hasBackup(*parsed);
}

EpochManager::EpochManager(Collaborators collaborators, HomeIdentity identity, const LedgerLimits& limits)
    : m_collaborators(collaborators)
    , m_identity(std::move(identity))
    , m_limits(limits)
{
}

auto EpochManager::start() -> void
{
    refresh();
    schedule();
}

auto EpochManager::schedule() -> void
{
    auto timer = m_collaborators.scheduler.after(m_limits.refreshInterval, [this] {
        refresh();
        schedule();
    });
    const std::lock_guard lock(m_mutex);
    // The timer that is replaced belongs to the task that runs now, so destroying it cancels nothing.
    if (!m_isStopped)
        m_timer = std::move(timer);
}

auto EpochManager::incarnationOf(const Core::EntryVmId& vm) const -> std::optional<Core::Incarnation>
{
    if (const auto member = m_collaborators.members.find(vm)) {
        if (member->health != Membership::MemberHealth::Alive)
            return std::nullopt;
        if (member->incarnation != Core::Incarnation())
            return member->incarnation;
    }
    const std::lock_guard lock(m_mutex);
    const auto introduced = m_introduced.find(vm);
    return introduced == m_introduced.end() ? Core::Incarnation() : introduced->second;
}

auto EpochManager::candidates() const -> std::vector<Backup>
{
    Core::EntryVmId failed;
    {
        const std::lock_guard lock(m_mutex);
        failed = m_failedBackup;
    }
    std::vector<Backup> found;
    const auto fleet = m_collaborators.fleet.current();
    for (const auto& vm : fleet->entryVms) {
        if (vm.state != Fleet::MemberState::Live || vm.id == m_identity.vm
            || vm.failureDomain == m_identity.failureDomain)
            continue;
        if (const auto incarnation = incarnationOf(vm.id))
            found.push_back({ vm.id, *incarnation, vm.region == m_identity.region, vm.id == failed,
                rendezvousWeight(m_identity.vm, vm.id) });
    }
    std::sort(found.begin(), found.end(), [](const Backup& one, const Backup& other) {
        return std::tuple(one.hasFailed, !one.isInOwnRegion, other.weight)
            < std::tuple(other.hasFailed, !other.isInOwnRegion, one.weight);
    });
    return found;
}

auto EpochManager::chooseBackup() -> Backup
{
    const auto ordered = candidates();
    const auto known = std::find_if(
        ordered.begin(), ordered.end(), [](const Backup& backup) { return backup.incarnation != Core::Incarnation(); });
    if (!ordered.empty() && known != ordered.begin())
        introduce(ordered.front().vm);
    return known == ordered.end() ? Backup() : *known;
}

auto EpochManager::introduce(const Core::EntryVmId& vm) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isIntroducing, true))
            return;
    }
    m_collaborators.backups.introduce(
        vm, m_limits.resolveTimeout, [this, vm](const Core::Result<Core::Incarnation>& incarnation) {
            const std::lock_guard lock(m_mutex);
            m_isIntroducing = false;
            if (incarnation)
                m_introduced[vm] = *incarnation;
            else
                m_failedBackup = vm;
        });
}

auto EpochManager::isBackupGone(const Core::KeyPrefix& prefix) const -> bool
{
    if (!hasBackup(prefix))
        return false;
    // One that the view does not know shows by its missing acknowledgements whether it is gone.
    const auto member = m_collaborators.members.find(prefix.backup);
    return member
        && (member->health != Membership::MemberHealth::Alive || member->incarnation != prefix.backupIncarnation);
}

auto EpochManager::refresh() -> void
{
    const auto now = m_collaborators.clock.now();
    const auto candidate = chooseBackup();
    Core::KeyPrefix prefix;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        if (const auto* epoch = current())
            prefix = epoch->prefix;
    }
    const auto backupGone = isBackupGone(prefix);
    std::vector<Closing> closings;
    std::optional<Core::KeyPrefix> opened;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        const auto* epoch = current();
        closings = takeExpired(now, backupGone && epoch != nullptr && epoch->prefix == prefix);
        dropExpired(now);
        if (needsNext(now, candidate))
            opened = openNext(candidate);
    }
    recordClosings(closings);
    if (opened) {
        m_collaborators.events.record({ epochOpened, {},
            { { "epoch", std::to_string(opened->epoch.value()) }, { "backup", opened->backup.value() } } });
    }
}

auto EpochManager::takeExpired(Core::Instant now, bool backupGone) -> std::vector<Closing>
{
    std::vector<Closing> closings;
    const auto* newest = current();
    for (auto& epoch : m_epochs) {
        if (epoch.closed)
            continue;
        const auto isOver = epoch.replaced && now - *epoch.replaced >= m_limits.epochGrace;
        const auto lostBackup = backupGone && &epoch == newest;
        if (!isOver && !lostBackup)
            continue;
        epoch.closed = now;
        m_collaborators.records.close(epoch.prefix.epoch);
        closings.push_back({ epoch.prefix.epoch, lostBackup ? "backup lost" : "age" });
    }
    return closings;
}

auto EpochManager::dropExpired(Core::Instant now) -> void
{
    std::erase_if(m_epochs, [&](const OpenEpoch& epoch) {
        return epoch.closed && now - *epoch.closed >= m_limits.retention
            && m_collaborators.records.drop(epoch.prefix.epoch);
    });
}

auto EpochManager::current() const -> const OpenEpoch*
{
    return m_epochs.empty() || m_epochs.back().closed || m_epochs.back().replaced ? nullptr : &m_epochs.back();
}

auto EpochManager::needsNext(Core::Instant now, const Backup& candidate) const -> bool
{
    const auto& budget = m_collaborators.records.budget();
    if (m_epochs.size() >= m_limits.maximumEpochs || budget.records() >= m_limits.maximumRecords
        || budget.bytes() >= m_limits.maximumBytes)
        return false;
    const auto* epoch = current();
    return epoch == nullptr || now - epoch->opened >= m_limits.epochLifetime
        || (!hasBackup(epoch->prefix) && !candidate.vm.value().empty());
}

auto EpochManager::openNext(const Backup& backup) -> Core::KeyPrefix
{
    const auto now = m_collaborators.clock.now();
    if (current() != nullptr)
        m_epochs.back().replaced = now;
    m_last = Core::Epoch(m_last.value() + 1);
    const Core::KeyPrefix prefix { m_identity.vm, m_identity.incarnation, m_last, backup.vm, backup.incarnation };
    m_collaborators.records.open(prefix);
    m_epochs.push_back({ prefix, now, {}, {} });
    return prefix;
}

auto EpochManager::abandon(Core::Epoch epoch, const std::string& reason) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::find_if(m_epochs.begin(), m_epochs.end(),
            [&](const OpenEpoch& candidate) { return candidate.prefix.epoch == epoch; });
        if (found == m_epochs.end() || found->closed)
            return;
        found->closed = m_collaborators.clock.now();
        m_failedBackup = found->prefix.backup;
        m_introduced.erase(found->prefix.backup);
        m_collaborators.records.close(epoch);
    }
    recordClosings({ { epoch, reason } });
    refresh();
}

auto EpochManager::stop() -> void
{
    std::vector<Closing> closings;
    std::unique_ptr<Ports::Timer> timer;
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        timer = std::move(m_timer);
        for (auto& epoch : m_epochs) {
            if (epoch.closed)
                continue;
            epoch.closed = m_collaborators.clock.now();
            m_collaborators.records.close(epoch.prefix.epoch);
            closings.push_back({ epoch.prefix.epoch, "planned stop" });
        }
    }
    recordClosings(closings);
}

auto EpochManager::recordClosings(const std::vector<Closing>& closings) -> void
{
    for (const auto& closing : closings) {
        m_collaborators.events.record(
            { epochClosed, {}, { { "epoch", std::to_string(closing.epoch.value()) }, { "reason", closing.reason } } });
    }
}

auto EpochManager::currentPrefix() const -> std::string
{
    const std::lock_guard lock(m_mutex);
    const auto* epoch = current();
    return epoch == nullptr ? std::string() : toString(epoch->prefix);
}

auto EpochManager::currentPrefix(bool needsBackup) const -> std::string
{
    const std::lock_guard lock(m_mutex);
    const auto* epoch = current();
    if (epoch == nullptr || (needsBackup && !hasBackup(epoch->prefix)))
        return {};
    return toString(needsBackup ? epoch->prefix : withoutBackup(epoch->prefix));
}

} // namespace Ledger
