#include "membershippeer/gossippeer.h"

#include "membershippeer/gossipcodec.h"

namespace MembershipPeer {

namespace {

    constexpr auto probeKind = "membership.probe";
    constexpr auto relayKind = "membership.probe-through";
    constexpr auto exchangeKind = "membership.exchange";

} // namespace

GossipPeer::GossipPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto GossipPeer::probe(const Core::Address& peer, Membership::Gossip gossip, Core::Duration timeout, Callback callback)
    -> void
{
    send(peer, probeKind, encodeGossip(gossip), timeout, std::move(callback));
}

auto GossipPeer::probeThrough(const Core::Address& relay, const Core::Address& target, Membership::Gossip gossip,
    Core::Duration timeout, Callback callback) -> void
{
    send(relay, relayKind, encodeRelayedProbe({ target, std::move(gossip) }), timeout, std::move(callback));
}

auto GossipPeer::exchange(
    const Core::Address& peer, Membership::Gossip gossip, Core::Duration timeout, Callback callback) -> void
{
    send(peer, exchangeKind, encodeGossip(gossip), timeout, std::move(callback));
}

auto GossipPeer::send(
    const Core::Address& peer, const char* kind, std::string payload, Core::Duration timeout, Callback callback) -> void
{
    m_transport.call(peer, { kind, std::move(payload) }, timeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeGossip(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerGossipHandlers(Ports::PeerRouter& router, Membership::GossipReceiver& receiver) -> void
{
    using Respond = Ports::PeerRouter::Respond;
    router.registerHandler(probeKind, [&receiver](const std::string& payload, const Respond& respond) {
        const auto gossip = decodeGossip(payload);
        if (gossip)
            respond(encodeGossip(receiver.onProbe(*gossip)));
        else
            respond(tl::unexpected(gossip.error()));
    });
    router.registerHandler(exchangeKind, [&receiver](const std::string& payload, const Respond& respond) {
        const auto gossip = decodeGossip(payload);
        if (gossip)
            respond(encodeGossip(receiver.onExchange(*gossip)));
        else
            respond(tl::unexpected(gossip.error()));
    });
    router.registerHandler(relayKind, [&receiver](const std::string& payload, const Respond& respond) {
        const auto probe = decodeRelayedProbe(payload);
        if (!probe) {
            respond(tl::unexpected(probe.error()));
            return;
        }
        receiver.onProbeThrough(probe->target, probe->gossip, [respond](const Core::Result<Membership::Gossip>& reply) {
            if (reply)
                respond(encodeGossip(*reply));
            else
                respond(tl::unexpected(reply.error()));
        });
    });
}

} // namespace MembershipPeer
