#pragma once

#include "configuration/steeringconfiguration.h"
#include "ledger/bookingcoordinator.h"
#include "ledger/peerports.h"
#include "ports/peertransport.h"

namespace LedgerPeer {

/// Sends the ledger's messages to other entry VMs, using the peer addresses of the membership view or the fleet list.
class LedgerPeerClient : public Ledger::BackupPort, public Ledger::HomeRelayPort {
public:
    LedgerPeerClient(Ports::PeerTransport& transport, const Membership::MembershipView& members,
        const Fleet::FleetSource& fleet, const Ports::Clock& clock);

    auto fetchIncarnation(const Core::EntryVmId& vm, Core::Duration timeout, IncarnationCallback callback)
        -> void override;
    auto announce(Ledger::Intent intent, Core::Duration timeout, IntentCallback callback) -> void override;
    auto storeOutcome(Ledger::Outcome outcome, Core::Duration timeout, StoreCallback callback) -> void override;
    auto resolve(Ledger::Query query, Core::Duration timeout, ResolveCallback callback) -> void override;
    auto relay(Core::ServiceRequest request, Core::Duration timeout, RelayCallback callback) -> void override;

private:
    auto addressOf(const Core::EntryVmId& peer) const -> std::optional<Core::Address>;
    auto call(const Core::EntryVmId& peer, Ports::PeerMessage message, Core::Duration timeout,
        Ports::PeerTransport::ReplyCallback callback) -> void;

    Ports::PeerTransport& m_transport;
    const Membership::MembershipView& m_members;
    const Fleet::FleetSource& m_fleet;
    const Ports::Clock& m_clock;
};

/// Registers handlers for the ledger's message kinds. A malformed message is answered with an error and changes no
/// state. All references must outlive the router.
auto registerHandlers(Ports::PeerRouter& router, Ledger::BackupLedger& backup, Ledger::BookingCoordinator& coordinator,
    const Configuration::ConfigurationSource& configuration, const Ports::Clock& clock) -> void;

} // namespace LedgerPeer
