#include "noticepeer/noticepeer.h"

#include "cbor/cbor.h"

namespace NoticePeer {

namespace {

    using nlohmann::json;

    constexpr auto noticeKind = "upstream.notice";
    constexpr Core::Millis sendTimeout { 200 };
    constexpr int maximumAttempts = 3;

    auto encode(const Forwarding::UpstreamNotice& notice) -> std::string
    {
        return Cbor::pack(
            json { notice.service.value(), notice.upstream.value(), notice.isHealthy, notice.coldRemaining.count() });
    }

    auto decode(const std::string& payload) -> Core::Result<Forwarding::UpstreamNotice>
    {
        return Cbor::unpack(payload, "a notice about an upstream", [](const json& fields) {
            Forwarding::UpstreamNotice notice;
            notice.service = Core::ServiceId(fields.at(0).get<std::string>());
            notice.upstream = Core::UpstreamId(fields.at(1).get<std::string>());
            notice.isHealthy = fields.at(2).get<bool>();
            notice.coldRemaining = Core::Duration(fields.at(3).get<Core::Duration::rep>());
            return notice;
        });
    }

} // namespace

NoticePeer::NoticePeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto NoticePeer::send(const Core::Address& entryVm, const Forwarding::UpstreamNotice& notice) -> void
{
    send(entryVm, { noticeKind, encode(notice) }, maximumAttempts);
}

auto NoticePeer::send(const Core::Address& entryVm, const Ports::PeerMessage& message, int attemptsLeft) -> void
{
    m_transport.call(
        entryVm, message, sendTimeout, [this, entryVm, message, attemptsLeft](const Core::Result<std::string>& reply) {
            // The notice is dropped after the last attempt: the upstream reports to the store as well.
            if (!reply && attemptsLeft > 1)
                send(entryVm, message, attemptsLeft - 1);
        });
}

auto registerNoticeHandler(Ports::PeerRouter& router, Forwarding::UpstreamNoticeReceiver receiver) -> void
{
    router.registerHandler(noticeKind,
        [receiver = std::move(receiver)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto notice = decode(payload);
            if (!notice) {
                respond(tl::unexpected(notice.error()));
                return;
            }
            receiver(*notice);
            respond(std::string());
        });
}

} // namespace NoticePeer
