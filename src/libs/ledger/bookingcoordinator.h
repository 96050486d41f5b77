#pragma once

#include "ledger/backupledger.h"
#include "ledger/bookinggate.h"
#include "ledger/homeledger.h"

namespace Ledger {

/// Takes each booking to where its key can be decided: the own ledger, the home, or the backup.
class BookingCoordinator : public BookingGate {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        HomeLedger& home;
        BackupLedger& backup;
        const KeyPrefixSource& prefixes;
        BackupPort& backupPort;
        HomeRelayPort& relayPort;
    };

    BookingCoordinator(Collaborators collaborators, HomeIdentity identity, const LedgerLimits& limits);

    auto execute(Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback)
        -> void override;
    /// Takes a booking that another entry VM relayed. Fails with NotFound when its home is another incarnation.
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
    auto isHomeGone(const Core::KeyPrefix& prefix) const -> bool;
    auto relay(const BookingPointer& booking) -> void;
    auto askBackup(const BookingPointer& booking) -> void;
    auto handleResolution(const BookingPointer& booking, const Core::Result<Resolution>& result) -> void;
    auto respond(const BookingPointer& booking, Core::Reply reply) -> void;

    Collaborators m_collaborators;
    const HomeIdentity m_identity;
    const LedgerLimits m_limits;
};

} // namespace Ledger
