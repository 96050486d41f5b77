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

/// Intents and outcomes that this incarnation holds for epochs of other homes, in shards by home incarnation.
class BackupLedger {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
    };

    BackupLedger(Collaborators collaborators, Core::Incarnation self, const LedgerLimits& limits);

    /// Holds the intent unless the epoch is sealed, forgotten, or there is no room.
    auto acknowledge(const Intent& intent) -> IntentOutcome;
    /// Takes an outcome of an acknowledged key, also after the seal. Fails with NotFound when the key is not held.
    auto keep(const Outcome& outcome) -> Core::Result<void>;
    /// Says what became of a key. Seals the key's epoch first when the home is suspected.
    auto resolve(const Query& query) -> Resolution;
    /// Forgets epochs that nothing has touched for the retention time.
    auto dropExpired() -> void;

    [[nodiscard]] auto incarnation() const -> const Core::Incarnation& { return m_self; }
    [[nodiscard]] auto budget() const -> const LedgerBudget& { return m_budget; }

private:
    struct Held {
        Fingerprint fingerprint;
        bool isRefused = false;
        std::optional<Core::Answer> answer;
        std::size_t bytes = 0;
    };
    struct HeldEpoch {
        Core::KeyPrefix prefix;
        bool isSealed = false;
        Core::Instant touched {};
        std::unordered_map<std::string, Held> keys;
    };
    struct Home {
        /// Highest epoch that was forgotten; it and all lower ones that are not held acknowledge nothing more.
        Core::Epoch forgotten;
        std::map<Core::Epoch, HeldEpoch> epochs;
    };
    struct State {
        std::unordered_map<Core::Incarnation, Home> homes;
    };

    auto isSuspected(const Core::KeyPrefix& prefix) const -> bool;
    /// The epoch, made when it is new; null when it was forgotten, there is no room, or its prefix differs.
    auto epochFor(State& state, const Core::KeyPrefix& prefix) -> HeldEpoch*;
    auto acknowledgeIn(HeldEpoch& epoch, const Intent& intent) -> IntentOutcome;
    auto keepIn(Held& held, const Outcome& outcome) -> Core::Result<void>;
    auto resolveIn(HeldEpoch& epoch, const Query& query, bool suspected, bool& sealedNow) -> Resolution;
    auto dropExpiredOf(Home& home, Core::Instant before) -> void;

    Collaborators m_collaborators;
    const Core::Incarnation m_self;
    const LedgerLimits m_limits;
    LedgerBudget m_budget;
    Core::Sharded<State> m_state;
};

} // namespace Ledger
