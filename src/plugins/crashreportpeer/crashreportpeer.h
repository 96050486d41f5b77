#pragma once

#include "crashreports/crashreportgossip.h"
#include "ports/peertransport.h"

namespace CrashReportPeer {

/// Sends crash reports, encoded as CBOR, over the peer transport between entry VMs.
class CrashReportPeer : public CrashReports::CrashReportSender {
public:
    explicit CrashReportPeer(Ports::PeerTransport& transport);

    auto send(const Fleet::EntryVm& target, const Dispatch::CrashReport& crashReport, std::function<void()> callback)
        -> void override;

private:
    Ports::PeerTransport& m_transport;
};

using CrashReportReceiver = std::function<void(const Dispatch::CrashReport&)>;

/// Registers a handler that decodes incoming crash reports and passes them to the receiver.
auto registerCrashReportHandler(Ports::PeerRouter& router, CrashReportReceiver receiver) -> void;

} // namespace CrashReportPeer
