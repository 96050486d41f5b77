#pragma once

#include "ports/peertransport.h"
#include "storesync/peerrefresh.h"

namespace MirrorPeer {

/// Fetches copies of collections with CBOR messages over the transport between entry VMs.
class MirrorPeer : public StoreSync::MirrorPort {
public:
    explicit MirrorPeer(Ports::PeerTransport& transport);

    auto fetch(const Core::Address& peer, const StoreSync::KnownRevisions& known, Callback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handler that answers such requests. The mirror must outlive the router's calls.
auto registerMirrorHandler(Ports::PeerRouter& router, const StoreSync::CollectionMirror& mirror,
    std::function<bool()> isStoreReachable) -> void;

} // namespace MirrorPeer
