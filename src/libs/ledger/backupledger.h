#pragma once

#include "core/sharded.h"
#include "ledger/booking.h"
#include "ledger/ledgerbudget.h"
#include "membership/membershipview.h"
#include "ports/clock.h"
#include "ports/eventsink.h"

#include <map>
#include <unordered_map>

namespace Ledger {

/// Stores intents and outcomes as the backup of other homes, sharded by home incarnation.
class BackupLedger {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
    };

    BackupLedger(Dependencies dependencies, Core::Incarnation self, const LedgerLimits& limits);

    /// Stores the intent unless its epoch is sealed or was dropped, or the budget is exhausted.
    auto acknowledge(const Intent& intent) -> IntentOutcome;
    /// Stores the outcome of an acknowledged key, even after its epoch was sealed. Fails with NotFound for other keys.
    auto storeOutcome(const Outcome& outcome) -> Core::Result<void>;
    /// Returns the resolution of a key. If the home is suspected, seals the key's epoch first.
    auto resolve(const Query& query) -> Resolution;
    /// Drops epochs that were not accessed during the retention time.
    auto dropExpired() -> void;

    [[nodiscard]] auto incarnation() const -> const Core::Incarnation& { return m_self; }
    [[nodiscard]] auto budget() const -> const LedgerBudget& { return m_budget; }

private:
    struct BackupRecord {
        Fingerprint fingerprint;
        bool isRefused = false;
        std::optional<Core::Answer> answer;
        std::size_t bytes = 0;
    };
    struct BackupEpoch {
        Core::KeyPrefix prefix;
        bool isSealed = false;
        Core::Instant lastAccess {};
        std::unordered_map<std::string, BackupRecord> keys;
    };
    struct Home {
        /// Highest dropped epoch. Intents for it and for lower epochs without stored records are not acknowledged.
        Core::Epoch highestDropped;
        std::map<Core::Epoch, BackupEpoch> epochs;
    };
    struct State {
        std::unordered_map<Core::Incarnation, Home> homes;
    };

    auto isSuspected(const Core::KeyPrefix& prefix) const -> bool;
    /// Returns the epoch, creating it if necessary, or null if it was dropped, a limit is reached or its prefix
    /// differs.
    auto findOrCreateEpoch(State& state, const Core::KeyPrefix& prefix) -> BackupEpoch*;
    auto acknowledgeIn(BackupEpoch& epoch, const Intent& intent) -> IntentOutcome;
    auto storeOutcomeIn(BackupRecord& record, const Outcome& outcome) -> Core::Result<void>;
    auto resolveIn(BackupEpoch& epoch, const Query& query, bool suspected, bool& isNewlySealed) -> Resolution;
    auto dropExpiredOf(Home& home, Core::Instant cutoff) -> void;

    Dependencies m_dependencies;
    const Core::Incarnation m_self;
    const LedgerLimits m_limits;
    LedgerBudget m_budget;
    Core::Sharded<State> m_state;
};

} // namespace Ledger
