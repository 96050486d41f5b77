#include "noticepeer/noticepeer.h"

#include "cbor/cbor.h"

#include <stdexcept>

namespace NoticePeer {

namespace {

    using nlohmann::json;

    constexpr auto noticesKind = "upstream.notices";
    constexpr Core::Millis sendTimeout { 300 };
    /// A notice of a longer time is not believed.
    constexpr std::chrono::hours maximumColdTime { 24 };

    auto encode(const Forwarding::UpstreamNotices& notices) -> std::string
    {
        json entries = json::array();
        for (const auto& notice : notices)
            entries.push_back(
                { notice.service.value(), notice.upstream.value(), notice.isHealthy, notice.coldRemaining.count() });
        return Cbor::pack(entries);
    }

    auto decodeNotice(const json& fields) -> Forwarding::UpstreamNotice
    {
        Forwarding::UpstreamNotice notice;
        notice.service = Core::ServiceId(fields.at(0).get<std::string>());
        notice.upstream = Core::UpstreamId(fields.at(1).get<std::string>());
        notice.isHealthy = fields.at(2).get<bool>();
        notice.coldRemaining = Core::Duration(fields.at(3).get<Core::Duration::rep>());
        if (notice.coldRemaining < Core::Duration(0) || notice.coldRemaining > maximumColdTime)
            throw std::out_of_range("the cold time is not in the expected range");
        return notice;
    }

    auto decode(const std::string& payload) -> Core::Result<Forwarding::UpstreamNotices>
    {
        return Cbor::unpack(payload, "notices about upstreams", [](const json& entries) {
            Forwarding::UpstreamNotices notices;
            for (const auto& fields : entries)
                notices.push_back(decodeNotice(fields));
            return notices;
        });
    }

} // namespace

NoticePeer::NoticePeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto NoticePeer::send(const Core::Address& entryVm, const Forwarding::UpstreamNotices& notices, DoneCallback callback)
    -> void
{
    m_transport.call(entryVm, { noticesKind, encode(notices) }, sendTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback({});
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerNoticeHandler(Ports::PeerRouter& router, Forwarding::UpstreamNoticeReceiver receiver) -> void
{
    router.registerHandler(noticesKind,
        [receiver = std::move(receiver)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto notices = decode(payload);
            if (!notices) {
                respond(tl::unexpected(notices.error()));
                return;
            }
            receiver(*notices);
            respond(std::string());
        });
}

} // namespace NoticePeer
