#pragma once

#include "ports/peertransport.h"
#include "suspicion/suspicionspread.h"

namespace SuspicionPeer {

/// Sends crash reports, encoded as CBOR, over the peer transport between entry VMs.
class SuspicionPeer : public Suspicion::SuspicionPort {
public:
    explicit SuspicionPeer(Ports::PeerTransport& transport);

    auto send(const Fleet::EntryVm& target, const Dispatch::CrashSuspicion& crashReport, std::function<void()> callback)
        -> void override;

private:
    Ports::PeerTransport& m_transport;
};

using CrashReportReceiver = std::function<void(const Dispatch::CrashSuspicion&)>;

/// Registers a handler that decodes incoming crash reports and passes them to the receiver.
auto registerSuspicionHandler(Ports::PeerRouter& router, CrashReportReceiver receiver) -> void;

} // namespace SuspicionPeer
