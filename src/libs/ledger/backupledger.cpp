#include "ledger/backupledger.h"

#include "core/invariant.h"

namespace Ledger {

namespace {

    const Ports::EventKind bookingSealed { "booking.sealed" };
    /// Fixed cost of a held key beside its strings: its node and bucket in the table.
    constexpr std::size_t heldOverhead = 64;

} // namespace

BackupLedger::BackupLedger(Collaborators collaborators, Core::Incarnation self, const LedgerLimits& limits)
    : m_collaborators(collaborators)
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
        auto* epoch = epochFor(state, prefix);
        return epoch == nullptr ? IntentOutcome::Full : acknowledgeIn(*epoch, intent);
    });
}

auto BackupLedger::acknowledgeIn(HeldEpoch& epoch, const Intent& intent) -> IntentOutcome
{
    if (epoch.isSealed)
        return IntentOutcome::Sealed;
    epoch.touched = m_collaborators.clock.now();
    if (epoch.keys.contains(intent.key.unique))
        return IntentOutcome::Acknowledged;
    const auto bytes = sizeof(Held) + heldOverhead + intent.key.unique.size() + m_limits.answerReserve.value();
    if (!m_budget.reserve(bytes))
        return IntentOutcome::Full;
    auto& held = epoch.keys[intent.key.unique];
    held.fingerprint = intent.fingerprint;
    held.bytes = bytes;
    Core::invariant(!epoch.isSealed, "booking.sealed-epoch-acknowledges-nothing");
    return IntentOutcome::Acknowledged;
}

auto BackupLedger::epochFor(State& state, const Core::KeyPrefix& prefix) -> HeldEpoch*
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
    if (prefix.epoch <= home->second.forgotten || epochs.size() >= m_limits.maximumEpochs)
        return nullptr;
    auto& epoch = epochs[prefix.epoch];
    epoch.prefix = prefix;
    epoch.touched = m_collaborators.clock.now();
    return &epoch;
}

auto BackupLedger::keep(const Outcome& outcome) -> Core::Result<void>
{
    const auto notHeld = Core::fail(Core::ErrorKind::NotFound, "the backup does not hold this key",
        "nothing to do: a retry of the booking gets an unknown outcome here");
    const auto& prefix = outcome.key.prefix;
    if (prefix.backupIncarnation != m_self)
        return notHeld;
    return m_state.with(prefix.homeIncarnation, [&](State& state) -> Core::Result<void> {
        const auto home = state.homes.find(prefix.homeIncarnation);
        if (home == state.homes.end())
            return notHeld;
        const auto epoch = home->second.epochs.find(prefix.epoch);
        if (epoch == home->second.epochs.end() || epoch->second.prefix != prefix)
            return notHeld;
        const auto held = epoch->second.keys.find(outcome.key.unique);
        if (held == epoch->second.keys.end())
            return notHeld;
        epoch->second.touched = m_collaborators.clock.now();
        return keepIn(held->second, outcome);
    });
}

auto BackupLedger::keepIn(Held& held, const Outcome& outcome) -> Core::Result<void>
{
    if (held.isRefused != !outcome.answer && (held.isRefused || held.answer)) {
        return Core::fail(Core::ErrorKind::Conflict, "the backup holds another outcome of this key",
            "report a fault: a home must not send two outcomes of one key");
    }
    if (!outcome.answer) {
        held.isRefused = true;
        return {};
    }
    if (held.answer)
        return {};
    const auto bytes = held.bytes - m_limits.answerReserve.value() + sizeOf(*outcome.answer);
    m_budget.resize(held.bytes, bytes);
    held.bytes = bytes;
    held.answer = outcome.answer;
    return {};
}

auto BackupLedger::isSuspected(const Core::KeyPrefix& prefix) const -> bool
{
    const auto member = m_collaborators.members.find(prefix.home);
    return !member || member->health != Membership::MemberHealth::Alive
        || member->incarnation != prefix.homeIncarnation;
}

auto BackupLedger::resolve(const Query& query) -> Resolution
{
    const auto& prefix = query.key.prefix;
    if (prefix.backupIncarnation != m_self)
        return { ResolutionKind::NotHeld, {} };
    const auto suspected = isSuspected(prefix);
    auto sealedNow = false;
    auto resolution = m_state.with(prefix.homeIncarnation, [&](State& state) -> Resolution {
        auto* epoch = epochFor(state, prefix);
        return epoch == nullptr ? Resolution {} : resolveIn(*epoch, query, suspected, sealedNow);
    });
    if (sealedNow) {
        m_collaborators.events.record({ bookingSealed, query.request,
            { { "home", prefix.home.value() }, { "epoch", std::to_string(prefix.epoch.value()) } } });
    }
    return resolution;
}

auto BackupLedger::resolveIn(HeldEpoch& epoch, const Query& query, bool suspected, bool& sealedNow) -> Resolution
{
    epoch.touched = m_collaborators.clock.now();
    sealedNow = suspected && !epoch.isSealed;
    epoch.isSealed = epoch.isSealed || suspected;
    const auto held = epoch.keys.find(query.key.unique);
    if (held == epoch.keys.end())
        return { epoch.isSealed ? ResolutionKind::NotRun : ResolutionKind::Undecided, {} };
    if (held->second.fingerprint != query.fingerprint)
        return { ResolutionKind::OtherRequest, {} };
    if (held->second.answer)
        return { ResolutionKind::Answered, held->second.answer };
    if (held->second.isRefused)
        return { ResolutionKind::NotRun, {} };
    return { epoch.isSealed ? ResolutionKind::Started : ResolutionKind::Undecided, {} };
}

auto BackupLedger::dropExpired() -> void
{
    const auto before = m_collaborators.clock.now() - m_limits.retention;
    m_state.forEach([&](State& state) {
        for (auto& [incarnation, home] : state.homes)
            dropExpiredOf(home, before);
    });
}

auto BackupLedger::dropExpiredOf(Home& home, Core::Instant before) -> void
{
    for (auto epoch = home.epochs.begin(); epoch != home.epochs.end();) {
        if (epoch->second.touched > before) {
            ++epoch;
            continue;
        }
        std::size_t bytes = 0;
        for (const auto& [unique, held] : epoch->second.keys)
            bytes += held.bytes;
        m_budget.release(epoch->second.keys.size(), bytes);
        home.forgotten = std::max(home.forgotten, epoch->first);
        epoch = home.epochs.erase(epoch);
    }
}

} // namespace Ledger
