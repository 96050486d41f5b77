#include "spreadpeer/replicapeer.h"

#include <nlohmann/json.hpp>

namespace SpreadPeer {

namespace {

    using nlohmann::json;
    using Spread::FetchAnswer;
    using Spread::ReplicatedObject;

    constexpr auto fetchKind = "spread.fetch";

    struct FetchRequest {
        ReplicatedObject object = ReplicatedObject::SteeringDocument;
        Core::Version newerThan;
    };

    auto toPayload(const json& value) -> std::string
    {
        std::string payload;
        json::to_cbor(value, payload);
        return payload;
    }

    auto invalidMessage(const std::exception& error) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidMessage,
            std::string("a copy from a peer cannot be read: ") + error.what(),
            "check that all entry VMs run compatible versions");
    }

    auto decodeRequest(const std::string& payload) -> Core::Result<FetchRequest>
    {
        try {
            const auto value = json::from_cbor(payload);
            const auto object = value.at(0).get<std::uint8_t>();
            if (object > static_cast<std::uint8_t>(ReplicatedObject::FleetList))
                throw std::out_of_range("unknown object");
            return FetchRequest { static_cast<ReplicatedObject>(object),
                Core::Version(value.at(1).get<std::uint64_t>()) };
        } catch (const std::exception& error) {
            return invalidMessage(error);
        }
    }

    auto encodeAnswer(const FetchAnswer& answer) -> std::string
    {
        return toPayload(answer ? json::array({ answer->version.value(), answer->text }) : json::array());
    }

    auto decodeAnswer(const std::string& payload) -> Core::Result<FetchAnswer>
    {
        try {
            const auto value = json::from_cbor(payload);
            if (value.empty())
                return FetchAnswer();
            return FetchAnswer(Ports::StoredObject {
                Core::Version(value.at(0).get<std::uint64_t>()), value.at(1).get<std::string>() });
        } catch (const std::exception& error) {
            return invalidMessage(error);
        }
    }

} // namespace

ReplicaPeer::ReplicaPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto ReplicaPeer::fetch(const Core::Address& peer, ReplicatedObject object, Core::Version newerThan,
    Core::Duration timeout, Callback callback) -> void
{
    const auto payload = toPayload(json::array({ static_cast<std::uint8_t>(object), newerThan.value() }));
    m_transport.call(peer, { fetchKind, payload }, timeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeAnswer(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerReplicaHandlers(Ports::PeerRouter& router, const Spread::ReplicaServer& server) -> void
{
    router.registerHandler(fetchKind, [&server](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
        const auto request = decodeRequest(payload);
        if (request)
            respond(encodeAnswer(server.answerFetch(request->object, request->newerThan)));
        else
            respond(tl::unexpected(request.error()));
    });
}

} // namespace SpreadPeer
