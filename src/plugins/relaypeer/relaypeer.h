#pragma once

#include "ports/peertransport.h"
#include "steering/creditports.h"
#include "steering/relayport.h"

namespace RelayPeer {

/// Sends relayed requests and credit requests over the transport between entry VMs.
class RelayPeer : public Steering::RelayPort, public Steering::CreditPort {
public:
    explicit RelayPeer(Ports::PeerTransport& transport);

    auto relay(const Fleet::EntryVm& target, Steering::RelayCall call, Steering::RelayCallback callback)
        -> void override;
    auto requestCredits(const Fleet::EntryVm& destination, Steering::CreditRequest request, GrantCallback callback)
        -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handlers for relay and credit messages. `relays` and `credits` must outlive all calls by the router.
auto registerRelayHandlers(Ports::PeerRouter& router, Steering::RelayHandler& relays, Steering::CreditHandler& credits)
    -> void;

} // namespace RelayPeer
