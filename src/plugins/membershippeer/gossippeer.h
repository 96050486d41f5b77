#pragma once

#include "membership/gossip.h"
#include "ports/peertransport.h"

namespace MembershipPeer {

/// Sends gossip over the transport between entry VMs.
class GossipPeer : public Membership::GossipPort {
public:
    explicit GossipPeer(Ports::PeerTransport& transport);

    auto probe(const Core::Address& peer, Membership::Gossip gossip, Core::Duration timeout, Callback callback)
        -> void override;
    auto probeThrough(const Core::Address& relay, const Core::Address& target, Membership::Gossip gossip,
        Core::Duration timeout, Callback callback) -> void override;
    auto exchange(const Core::Address& peer, Membership::Gossip gossip, Core::Duration timeout, Callback callback)
        -> void override;

private:
    auto send(const Core::Address& peer, const char* kind, std::string payload, Core::Duration timeout,
        Callback callback) -> void;

    Ports::PeerTransport& m_transport;
};

/// Registers handlers that decode gossip and pass it to the receiver, which must outlive the router's calls.
auto registerGossipHandlers(Ports::PeerRouter& router, Membership::GossipReceiver& receiver) -> void;

} // namespace MembershipPeer
