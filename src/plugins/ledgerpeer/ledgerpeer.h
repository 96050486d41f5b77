#pragma once

#include "configuration/steeringconfiguration.h"
#include "ledger/bookingcoordinator.h"
#include "ledger/peerports.h"
#include "ports/peertransport.h"

namespace LedgerPeer {

/// Carries the ledger's messages to other entry VMs, at the peer addresses that the membership view or the
/// fleet list names.
class LedgerPeerClient : public Ledger::BackupPort, public Ledger::HomeRelayPort {
public:
    LedgerPeerClient(Ports::PeerTransport& transport, const Membership::MembershipView& members,
        const Fleet::FleetSource& fleet, const Ports::Clock& clock);

    auto introduce(const Core::EntryVmId& vm, Core::Duration timeout, IntroduceCallback callback) -> void override;
    auto announce(Ledger::Intent intent, Core::Duration timeout, IntentCallback callback) -> void override;
    auto keep(Ledger::Outcome outcome, Core::Duration timeout, KeepCallback callback) -> void override;
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

/// Registers the ledger's message kinds; a message that cannot be read is answered by an error and changes nothing.
/// All references must outlive the router.
auto registerHandlers(Ports::PeerRouter& router, Ledger::BackupLedger& backup, Ledger::BookingCoordinator& coordinator,
    const Configuration::ConfigurationSource& configuration, const Ports::Clock& clock) -> void;

} // namespace LedgerPeer
