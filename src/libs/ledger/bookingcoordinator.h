#pragma once

#include "ledger/backupledger.h"
#include "ledger/bookingexecutor.h"
#include "ledger/homeledger.h"

namespace Ledger {

/// Routes each booking to the party that can resolve its key: the local ledger, the key's home, or its backup.
class BookingCoordinator : public BookingExecutor {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        HomeLedger& home;
        BackupLedger& backup;
        const KeyPrefixSource& prefixes;
        BackupPort& backupPort;
        HomeRelayPort& relayPort;
    };

    BookingCoordinator(Dependencies dependencies, HomeIdentity identity, const LedgerLimits& limits);

    auto execute(Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback)
        -> void override;
    /// Executes a booking relayed by another entry VM. Fails with NotFound if the key names another home incarnation.
    auto executeRelayed(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        HomeRelayPort::RelayCallback callback) -> void;

private:
    struct Booking {
        Core::ServiceRequest request;
        bool needsBackup = true;
        Core::ReplyCallback callback;
        bool wasRelayed = false;
    };
    using BookingPointer = std::shared_ptr<Booking>;

    auto isOwnIncarnation(const Core::KeyPrefix& prefix) const -> bool;
    auto isHomeUsable(const Core::KeyPrefix& prefix) const -> bool;
    auto isHomeReplaced(const Core::KeyPrefix& prefix) const -> bool;
    auto relay(const BookingPointer& booking) -> void;
    auto queryBackup(const BookingPointer& booking) -> void;
    auto handleResolution(const BookingPointer& booking, const Core::Result<Resolution>& result) -> void;
    auto respond(const BookingPointer& booking, Core::Reply reply) -> void;

    Dependencies m_dependencies;
    const HomeIdentity m_identity;
    const LedgerLimits m_limits;
};

} // namespace Ledger
