#include "crashreportpeer/quarantinepeer.h"

#include "cbor/cbor.h"
#include "crashreportpeer/crashreportcodec.h"

#include <stdexcept>

namespace CrashReportPeer {

namespace {

    using CrashReports::QuarantinePage;
    using nlohmann::json;

    constexpr auto quarantineKind = "dispatch.quarantine";
    constexpr Core::Millis fetchTimeout { 500 };

    /// Position behind which the page starts.
    using Position = std::optional<Dispatch::RequestFingerprint>;

    auto encodePosition(const Position& after) -> std::string
    {
        return Cbor::pack(after ? encodeFingerprint(*after) : json::array());
    }

    auto decodePosition(const std::string& payload) -> Core::Result<Position>
    {
        return Cbor::unpack(payload, "a request for quarantined requests",
            [](const json& fields) { return fields.empty() ? Position() : Position(decodeFingerprint(fields)); });
    }

    auto encodePage(const QuarantinePage& page) -> std::string
    {
        auto reports = json::array();
        for (const auto& report : page.reports)
            reports.push_back(encodeCrashReport(report));
        return Cbor::pack(json::array({ page.isLast, std::move(reports) }));
    }

    auto decodePage(const std::string& payload) -> Core::Result<QuarantinePage>
    {
        return Cbor::unpack(payload, "quarantined requests", [](const json& fields) {
            QuarantinePage page { {}, fields.at(0).get<bool>() };
            if (fields.at(1).size() > QuarantinePage::maximumReports)
                throw std::out_of_range("too many requests in one message");
            for (const auto& report : fields.at(1))
                page.reports.push_back(decodeCrashReport(report));
            return page;
        });
    }

} // namespace

QuarantinePeer::QuarantinePeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto QuarantinePeer::fetch(const Core::Address& entryVm, const Position& after, PageCallback callback) -> void
{
    m_transport.call(entryVm, { quarantineKind, encodePosition(after) }, fetchTimeout,
        [callback = std::move(callback)](
            const Core::Result<std::string>& reply) { callback(reply.and_then(decodePage)); });
}

auto registerQuarantineHandler(Ports::PeerRouter& router, PageProvider provider) -> void
{
    router.registerHandler(quarantineKind,
        [provider = std::move(provider)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            respond(decodePosition(payload).and_then(provider).map(encodePage));
        });
}

} // namespace CrashReportPeer
