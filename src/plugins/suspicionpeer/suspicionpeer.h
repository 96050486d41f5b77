#pragma once

#include "ports/peertransport.h"
#include "suspicion/suspicionspread.h"

namespace SuspicionPeer {

/// Carries crash suspicions as CBOR over the transport between entry VMs.
class SuspicionPeer : public Suspicion::SuspicionPort {
public:
    explicit SuspicionPeer(Ports::PeerTransport& transport);

    auto send(const Fleet::EntryVm& target, const Dispatch::CrashSuspicion& suspicion, std::function<void()> callback)
        -> void override;

private:
    Ports::PeerTransport& m_transport;
};

using SuspicionReceiver = std::function<void(const Dispatch::CrashSuspicion&)>;

/// Registers the handler of crash suspicions.
auto registerSuspicionHandler(Ports::PeerRouter& router, SuspicionReceiver receiver) -> void;

} // namespace SuspicionPeer
