#pragma once

#include "ports/peertransport.h"
#include "replication/replicaport.h"

namespace ReplicationPeer {

/// Fetches copies from peers over the peer transport, encoded as CBOR.
class ReplicaPeer : public Replication::ReplicaPort {
public:
    explicit ReplicaPeer(Ports::PeerTransport& transport);

    auto fetch(const Core::Address& peer, Replication::ReplicatedObject object, Core::Version newerThan,
        Core::Duration timeout, Callback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handler that serves fetches. The server must outlive the router's calls.
auto registerReplicaHandlers(Ports::PeerRouter& router, const Replication::ReplicaServer& server) -> void;

} // namespace ReplicationPeer
