#pragma once

#include "crashreports/quarantineport.h"
#include "ports/peertransport.h"

namespace CrashReportPeer {

/// Asks for quarantined requests with CBOR messages over the transport between entry VMs.
class QuarantinePeer : public CrashReports::QuarantinePort {
public:
    explicit QuarantinePeer(Ports::PeerTransport& transport);

    auto fetch(const Core::Address& entryVm, const std::optional<Dispatch::RequestFingerprint>& after,
        PageCallback callback) -> void override;

private:
    Ports::PeerTransport& m_transport;
};

using PageProvider
    = std::function<Core::Result<CrashReports::QuarantinePage>(const std::optional<Dispatch::RequestFingerprint>&)>;

/// Registers the handler that answers such messages with pages of the provider.
auto registerQuarantineHandler(Ports::PeerRouter& router, PageProvider provider) -> void;

} // namespace CrashReportPeer
