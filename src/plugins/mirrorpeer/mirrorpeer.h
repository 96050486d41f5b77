#pragma once

#include "following/peerrefresh.h"
#include "ports/peertransport.h"

namespace MirrorPeer {

/// Fetches copies of collections with CBOR messages over the transport between entry VMs.
class MirrorPeer : public Following::MirrorPort {
public:
    explicit MirrorPeer(Ports::PeerTransport& transport);

    auto fetch(const Core::Address& peer, const Following::KnownRevisions& known, Callback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

/// Registers the handler that answers such requests. The mirror must outlive the router's calls.
auto registerMirrorHandler(Ports::PeerRouter& router, const Following::CollectionMirror& mirror,
    std::function<bool()> isStoreAnswering) -> void;

} // namespace MirrorPeer
