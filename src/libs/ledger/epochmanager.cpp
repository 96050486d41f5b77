#include "ledger/epochmanager.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Ledger {

namespace {

    const Ports::EventKind epochOpened { "booking.epoch.opened" };
    const Ports::EventKind epochClosed { "booking.epoch.closed" };

    /// Returns the rendezvous weight of a candidate for the given home; never 0.
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

EpochManager::EpochManager(Dependencies dependencies, HomeIdentity identity, const LedgerLimits& limits)
    : m_dependencies(dependencies)
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
    auto timer = m_dependencies.scheduler.after(m_limits.refreshInterval, [this] {
        refresh();
        schedule();
    });
    const std::lock_guard lock(m_mutex);
    // The replaced timer belongs to the task that is running, so destroying it cancels nothing.
    if (!m_isStopped)
        m_timer = std::move(timer);
}

auto EpochManager::incarnationOf(const Core::EntryVmId& vm) const -> std::optional<Core::Incarnation>
{
    if (const auto member = m_dependencies.members.find(vm)) {
        if (member->health != Membership::MemberHealth::Alive)
            return std::nullopt;
        if (member->incarnation != Core::Incarnation())
            return member->incarnation;
    }
    const std::lock_guard lock(m_mutex);
    const auto fetched = m_fetchedIncarnations.find(vm);
    return fetched == m_fetchedIncarnations.end() ? Core::Incarnation() : fetched->second;
}

auto EpochManager::candidates() const -> std::vector<Backup>
{
    Core::EntryVmId failed;
    {
        const std::lock_guard lock(m_mutex);
        failed = m_failedBackup;
    }
    std::vector<Backup> found;
    const auto fleet = m_dependencies.fleet.current();
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
        fetchIncarnation(ordered.front().vm);
    return known == ordered.end() ? Backup() : *known;
}

auto EpochManager::fetchIncarnation(const Core::EntryVmId& vm) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isFetchingIncarnation, true))
            return;
    }
    m_dependencies.backups.fetchIncarnation(
        vm, m_limits.resolveTimeout, [this, vm](const Core::Result<Core::Incarnation>& incarnation) {
            const std::lock_guard lock(m_mutex);
            m_isFetchingIncarnation = false;
            if (incarnation)
                m_fetchedIncarnations[vm] = *incarnation;
            else
                m_failedBackup = vm;
        });
}

auto EpochManager::isBackupLost(const Core::KeyPrefix& prefix) const -> bool
{
    if (!hasBackup(prefix))
        return false;
    // The loss of a backup that is missing from the view is detected by its missing acknowledgements.
    const auto member = m_dependencies.members.find(prefix.backup);
    return member
        && (member->health != Membership::MemberHealth::Alive || member->incarnation != prefix.backupIncarnation);
}

auto EpochManager::refresh() -> void
{
    const auto now = m_dependencies.clock.now();
    const auto candidate = chooseBackup();
    Core::KeyPrefix prefix;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        if (const auto* epoch = current())
            prefix = epoch->prefix;
    }
    const auto isCurrentBackupLost = isBackupLost(prefix);
    std::vector<ClosedEpoch> closedEpochs;
    std::optional<Core::KeyPrefix> opened;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        const auto* epoch = current();
        closedEpochs = closeExpired(now, isCurrentBackupLost && epoch != nullptr && epoch->prefix == prefix);
        dropExpired(now);
        if (needsNewEpoch(now, candidate))
            opened = openNewEpoch(candidate);
    }
    recordClosedEpochs(closedEpochs);
    if (opened) {
        m_dependencies.events.record({ epochOpened, {},
            { { "epoch", std::to_string(opened->epoch.value()) }, { "backup", opened->backup.value() } } });
    }
}

auto EpochManager::closeExpired(Core::Instant now, bool isCurrentBackupLost) -> std::vector<ClosedEpoch>
{
    std::vector<ClosedEpoch> closedEpochs;
    const auto* newest = current();
    for (auto& epoch : m_epochs) {
        if (epoch.closed)
            continue;
        const auto isGraceOver = epoch.replaced && now - *epoch.replaced >= m_limits.epochGrace;
        const auto hasLostBackup = isCurrentBackupLost && &epoch == newest;
        if (!isGraceOver && !hasLostBackup)
            continue;
        epoch.closed = now;
        m_dependencies.records.close(epoch.prefix.epoch);
        closedEpochs.push_back({ epoch.prefix.epoch, hasLostBackup ? "backup lost" : "age" });
    }
    return closedEpochs;
}

auto EpochManager::dropExpired(Core::Instant now) -> void
{
    std::erase_if(m_epochs, [&](const EpochState& epoch) {
        return epoch.closed && now - *epoch.closed >= m_limits.retention
            && m_dependencies.records.drop(epoch.prefix.epoch);
    });
}

auto EpochManager::current() const -> const EpochState*
{
    return m_epochs.empty() || m_epochs.back().closed || m_epochs.back().replaced ? nullptr : &m_epochs.back();
}

auto EpochManager::needsNewEpoch(Core::Instant now, const Backup& candidate) const -> bool
{
    const auto& budget = m_dependencies.records.budget();
    if (m_epochs.size() >= m_limits.maximumEpochs || budget.records() >= m_limits.maximumRecords
        || budget.bytes() >= m_limits.maximumBytes)
        return false;
    const auto* epoch = current();
    return epoch == nullptr || now - epoch->opened >= m_limits.epochLifetime
        || (!hasBackup(epoch->prefix) && !candidate.vm.value().empty());
}

auto EpochManager::openNewEpoch(const Backup& backup) -> Core::KeyPrefix
{
    const auto now = m_dependencies.clock.now();
    if (current() != nullptr)
        m_epochs.back().replaced = now;
    m_lastEpoch = Core::Epoch(m_lastEpoch.value() + 1);
    const Core::KeyPrefix prefix { m_identity.vm, m_identity.incarnation, m_lastEpoch, backup.vm, backup.incarnation };
    m_dependencies.records.open(prefix);
    m_epochs.push_back({ prefix, now, {}, {} });
    return prefix;
}

auto EpochManager::abandon(Core::Epoch epoch, const std::string& reason) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::find_if(m_epochs.begin(), m_epochs.end(),
            [&](const EpochState& candidate) { return candidate.prefix.epoch == epoch; });
        if (found == m_epochs.end() || found->closed)
            return;
        found->closed = m_dependencies.clock.now();
        m_failedBackup = found->prefix.backup;
        m_fetchedIncarnations.erase(found->prefix.backup);
        m_dependencies.records.close(epoch);
    }
    recordClosedEpochs({ { epoch, reason } });
    refresh();
}

auto EpochManager::stop() -> void
{
    std::vector<ClosedEpoch> closedEpochs;
    std::unique_ptr<Ports::Timer> timer;
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        timer = std::move(m_timer);
        for (auto& epoch : m_epochs) {
            if (epoch.closed)
                continue;
            epoch.closed = m_dependencies.clock.now();
            m_dependencies.records.close(epoch.prefix.epoch);
            closedEpochs.push_back({ epoch.prefix.epoch, "planned stop" });
        }
    }
    recordClosedEpochs(closedEpochs);
}

auto EpochManager::recordClosedEpochs(const std::vector<ClosedEpoch>& closedEpochs) -> void
{
    for (const auto& closedEpoch : closedEpochs) {
        m_dependencies.events.record({ epochClosed, {},
            { { "epoch", std::to_string(closedEpoch.epoch.value()) }, { "reason", closedEpoch.reason } } });
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
