#include "relaypeer/relaypeer.h"

#include "relaypeer/relaycodec.h"

namespace RelayPeer {

namespace {

    constexpr auto relayKind = "steering.relay";
    constexpr auto creditKind = "steering.credit";
    /// Added to the request's remaining time, so that a refusal by the receiver can still arrive.
    constexpr Core::Millis replyGrace { 50 };
    constexpr Core::Millis creditTimeout { 200 };

    auto toRelayResult(const Core::Result<std::string>& payload) -> Steering::RelayResult
    {
        if (!payload) {
            if (payload.error().kind == Core::ErrorKind::Unreachable)
                return Steering::NotSent { payload.error() };
            return Steering::Lost { payload.error() };
        }
        auto reply = decodeReply(*payload);
        if (!reply)
            return Steering::Lost { reply.error() };
        return std::move(*reply);
    }

} // namespace

RelayPeer::RelayPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto RelayPeer::relay(const Fleet::EntryVm& target, Steering::RelayCall call, Steering::RelayCallback callback) -> void
{
    m_transport.call(target.peerAddress, { relayKind, encode(call) }, call.timeLeft + replyGrace,
        [callback = std::move(callback)](
            const Core::Result<std::string>& payload) { callback(toRelayResult(payload)); });
}

auto RelayPeer::requestCredits(
    const Fleet::EntryVm& destination, Steering::CreditRequest request, GrantCallback callback) -> void
{
    m_transport.call(destination.peerAddress, { creditKind, encode(request) }, creditTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>& payload) {
            callback(payload ? decodeCreditGrant(*payload) : tl::unexpected(payload.error()));
        });
}

auto registerRelayHandlers(Ports::PeerRouter& router, Steering::RelayHandler& relays, Steering::CreditHandler& credits)
    -> void
{
    using Respond = Ports::PeerRouter::Respond;
    router.registerHandler(relayKind, [&relays](const std::string& payload, const Respond& respond) {
        auto call = decodeRelayCall(payload);
        if (call)
            relays.accept(std::move(*call), [respond](const Core::Reply& reply) { respond(encode(reply)); });
        else
            respond(tl::unexpected(call.error()));
    });
    router.registerHandler(creditKind, [&credits](const std::string& payload, const Respond& respond) {
        const auto request = decodeCreditRequest(payload);
        if (request)
            respond(encode(credits.grant(*request)));
        else
            respond(tl::unexpected(request.error()));
    });
}

} // namespace RelayPeer
