#include "crashreportpeer/crashreportpeer.h"

#include "cbor/cbor.h"

namespace CrashReportPeer {

namespace {

    using nlohmann::json;

    constexpr auto crashReportKind = "dispatch.suspicion";
    constexpr Core::Millis sendTimeout { 200 };

    auto encode(const Dispatch::CrashReport& crashReport) -> std::string
    {
        json upstreams = json::array();
        for (const auto& upstream : crashReport.upstreams)
            upstreams.push_back(upstream.value());
        return Cbor::pack(json { crashReport.fingerprint.high, crashReport.fingerprint.low, upstreams });
    }

    auto decode(const std::string& payload) -> Core::Result<Dispatch::CrashReport>
    {
        return Cbor::unpack(payload, "a crash report", [](const json& fields) {
            Dispatch::CrashReport crashReport;
            crashReport.fingerprint = { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>() };
            for (const auto& upstream : fields.at(2))
                crashReport.upstreams.insert(Core::UpstreamId(upstream.get<std::string>()));
            return crashReport;
        });
    }

} // namespace

CrashReportPeer::CrashReportPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto CrashReportPeer::send(
    const Fleet::EntryVm& target, const Dispatch::CrashReport& crashReport, std::function<void()> callback) -> void
{
    m_transport.call(target.peerAddress, { crashReportKind, encode(crashReport) }, sendTimeout,
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
