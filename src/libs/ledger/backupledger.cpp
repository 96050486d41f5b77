#include "ledger/backupledger.h"

#include "core/invariant.h"

namespace Ledger {

namespace {

    const Ports::EventKind bookingSealed { "booking.sealed" };
    /// Size of the hash table node and bucket of one record.
    constexpr std::size_t recordOverhead = 64;

} // namespace

BackupLedger::BackupLedger(Dependencies dependencies, Core::Incarnation self, const LedgerLimits& limits)
    : m_dependencies(dependencies)
    , m_self(self)
    , m_limits(limits)
    , m_budget(limits)
{
}

auto BackupLedger::acknowledge(const Intent& intent) -> IntentOutcome
{
    const auto& prefix = intent.key.prefix;
    if (prefix.backupIncarnation != m_self)
        return IntentOutcome::NotBackup;
    return m_state.with(prefix.homeIncarnation, [&](State& state) {
        auto* epoch = findOrCreateEpoch(state, prefix);
        return epoch == nullptr ? IntentOutcome::Full : acknowledgeIn(*epoch, intent);
    });
}

auto BackupLedger::acknowledgeIn(BackupEpoch& epoch, const Intent& intent) -> IntentOutcome
{
    if (epoch.isSealed)
        return IntentOutcome::Sealed;
    epoch.lastAccess = m_dependencies.clock.now();
    if (epoch.keys.contains(intent.key.unique))
        return IntentOutcome::Acknowledged;
    const auto bytes
        = sizeof(BackupRecord) + recordOverhead + intent.key.unique.size() + m_limits.answerReserve.value();
    if (!m_budget.reserve(bytes))
        return IntentOutcome::Full;
    auto& record = epoch.keys[intent.key.unique];
    record.fingerprint = intent.fingerprint;
    record.bytes = bytes;
    Core::invariant(!epoch.isSealed, "booking.sealed-epoch-acknowledges-nothing");
    return IntentOutcome::Acknowledged;
}

auto BackupLedger::findOrCreateEpoch(State& state, const Core::KeyPrefix& prefix) -> BackupEpoch*
{
    auto home = state.homes.find(prefix.homeIncarnation);
    if (home == state.homes.end()) {
        if (state.homes.size() >= m_limits.maximumHomes / Core::defaultShardCount)
            return nullptr;
        home = state.homes.try_emplace(prefix.homeIncarnation).first;
    }
    auto& epochs = home->second.epochs;
    const auto found = epochs.find(prefix.epoch);
    if (found != epochs.end())
        return found->second.prefix == prefix ? &found->second : nullptr;
    if (prefix.epoch <= home->second.highestDropped || epochs.size() >= m_limits.maximumEpochs)
        return nullptr;
    auto& epoch = epochs[prefix.epoch];
    epoch.prefix = prefix;
    epoch.lastAccess = m_dependencies.clock.now();
    return &epoch;
}

auto BackupLedger::storeOutcome(const Outcome& outcome) -> Core::Result<void>
{
    const auto notFound = Core::fail(Core::ErrorKind::NotFound, "the backup has no record of this key",
        "no action needed: a retry of the booking gets an unknown outcome from this backup");
    const auto& prefix = outcome.key.prefix;
    if (prefix.backupIncarnation != m_self)
        return notFound;
    return m_state.with(prefix.homeIncarnation, [&](State& state) -> Core::Result<void> {
        const auto home = state.homes.find(prefix.homeIncarnation);
        if (home == state.homes.end())
            return notFound;
        const auto epoch = home->second.epochs.find(prefix.epoch);
        if (epoch == home->second.epochs.end() || epoch->second.prefix != prefix)
            return notFound;
        const auto record = epoch->second.keys.find(outcome.key.unique);
        if (record == epoch->second.keys.end())
            return notFound;
        epoch->second.lastAccess = m_dependencies.clock.now();
        return storeOutcomeIn(record->second, outcome);
    });
}

auto BackupLedger::storeOutcomeIn(BackupRecord& record, const Outcome& outcome) -> Core::Result<void>
{
    if (record.isRefused != !outcome.answer && (record.isRefused || record.answer)) {
        return Core::fail(Core::ErrorKind::Conflict, "the backup has stored a different outcome of this key",
            "report this as a bug: a home must not send two different outcomes of one key");
    }
    if (!outcome.answer) {
        record.isRefused = true;
        return {};
    }
    if (record.answer)
        return {};
    const auto bytes = record.bytes - m_limits.answerReserve.value() + sizeOf(*outcome.answer);
    m_budget.resize(record.bytes, bytes);
    record.bytes = bytes;
    record.answer = outcome.answer;
    return {};
}

auto BackupLedger::isSuspected(const Core::KeyPrefix& prefix) const -> bool
{
    const auto member = m_dependencies.members.find(prefix.home);
    return !member || member->health != Membership::MemberHealth::Alive
        || member->incarnation != prefix.homeIncarnation;
}

auto BackupLedger::resolve(const Query& query) -> Resolution
{
    const auto& prefix = query.key.prefix;
    if (prefix.backupIncarnation != m_self)
        return { ResolutionKind::NotHeld, {} };
    const auto suspected = isSuspected(prefix);
    auto isNewlySealed = false;
    auto resolution = m_state.with(prefix.homeIncarnation, [&](State& state) -> Resolution {
        auto* epoch = findOrCreateEpoch(state, prefix);
        return epoch == nullptr ? Resolution {} : resolveIn(*epoch, query, suspected, isNewlySealed);
    });
    if (isNewlySealed) {
        m_dependencies.events.record({ bookingSealed, query.request,
            { { "home", prefix.home.value() }, { "epoch", std::to_string(prefix.epoch.value()) } } });
    }
    return resolution;
}

auto BackupLedger::resolveIn(BackupEpoch& epoch, const Query& query, bool suspected, bool& isNewlySealed) -> Resolution
{
    epoch.lastAccess = m_dependencies.clock.now();
    isNewlySealed = suspected && !epoch.isSealed;
    epoch.isSealed = epoch.isSealed || suspected;
    const auto record = epoch.keys.find(query.key.unique);
    if (record == epoch.keys.end())
        return { epoch.isSealed ? ResolutionKind::NotRun : ResolutionKind::Undecided, {} };
    if (record->second.fingerprint != query.fingerprint)
        return { ResolutionKind::OtherRequest, {} };
    if (record->second.answer)
        return { ResolutionKind::Answered, record->second.answer };
    if (record->second.isRefused)
        return { ResolutionKind::NotRun, {} };
    return { epoch.isSealed ? ResolutionKind::Started : ResolutionKind::Undecided, {} };
}

auto BackupLedger::dropExpired() -> void
{
    const auto cutoff = m_dependencies.clock.now() - m_limits.retention;
    m_state.forEach([&](State& state) {
        for (auto& [incarnation, home] : state.homes)
            dropExpiredOf(home, cutoff);
    });
}

auto BackupLedger::dropExpiredOf(Home& home, Core::Instant cutoff) -> void
{
    for (auto epoch = home.epochs.begin(); epoch != home.epochs.end();) {
        if (epoch->second.lastAccess > cutoff) {
            ++epoch;
            continue;
        }
        std::size_t bytes = 0;
        for (const auto& [unique, record] : epoch->second.keys)
            bytes += record.bytes;
        m_budget.release(epoch->second.keys.size(), bytes);
        home.highestDropped = std::max(home.highestDropped, epoch->first);
        epoch = home.epochs.erase(epoch);
    }
}

} // namespace Ledger
