#include "crashreportpeer/crashreportpeer.h"

#include "cbor/cbor.h"
#include "crashreportpeer/crashreportcodec.h"

namespace CrashReportPeer {

namespace {

    constexpr auto crashReportKind = "dispatch.suspicion";
    constexpr Core::Millis sendTimeout { 200 };

    auto decode(const std::string& payload) -> Core::Result<Dispatch::CrashReport>
    {
        return Cbor::unpack(payload, "a crash report", decodeCrashReport);
    }

} // namespace

CrashReportPeer::CrashReportPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto CrashReportPeer::send(
    const Fleet::EntryVm& target, const Dispatch::CrashReport& crashReport, std::function<void()> callback) -> void
{
    m_transport.call(target.peerAddress, { crashReportKind, Cbor::pack(encodeCrashReport(crashReport)) }, sendTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>&) { callback(); });
}

auto registerCrashReportHandler(Ports::PeerRouter& router, CrashReportReceiver receiver) -> void
{
    router.registerHandler(crashReportKind,
        [receiver = std::move(receiver)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto crashReport = decode(payload);
            if (!crashReport) {
                respond(tl::unexpected(crashReport.error()));
                return;
            }
            receiver(*crashReport);
            respond(std::string());
        });
}

} // namespace CrashReportPeer
