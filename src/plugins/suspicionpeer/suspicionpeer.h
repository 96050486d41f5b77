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

/// Registers the handler of crash suspicions; the spread must outlive the router's calls.
auto registerSuspicionHandler(Ports::PeerRouter& router, Suspicion::SuspicionSpread& spread) -> void;

} // namespace SuspicionPeer
