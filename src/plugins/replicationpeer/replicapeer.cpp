#include "replicationpeer/replicapeer.h"

#include "cbor/cbor.h"

namespace ReplicationPeer {

namespace {

    using nlohmann::json;
    using Replication::FetchAnswer;
    using Replication::ReplicatedObject;

    constexpr auto fetchKind = "spread.fetch";

    struct FetchRequest {
        ReplicatedObject object = ReplicatedObject::SteeringDocument;
        Core::Version newerThan;
    };

    constexpr auto messageName = "a replica message";

    auto decodeRequest(const std::string& payload) -> Core::Result<FetchRequest>
    {
        return Cbor::unpack(payload, messageName, [](const json& value) {
            const auto object = value.at(0).get<std::uint8_t>();
            if (object > static_cast<std::uint8_t>(ReplicatedObject::FleetList))
                throw std::out_of_range("unknown object");
            return FetchRequest { static_cast<ReplicatedObject>(object),
                Core::Version(value.at(1).get<std::uint64_t>()) };
        });
    }

    auto encodeAnswer(const FetchAnswer& answer) -> std::string
    {
        return Cbor::pack(answer ? json::array({ answer->version.value(), answer->text }) : json::array());
    }

    auto decodeAnswer(const std::string& payload) -> Core::Result<FetchAnswer>
    {
        return Cbor::unpack(payload, messageName, [](const json& value) {
            if (value.empty())
                return FetchAnswer();
            return FetchAnswer(Ports::StoredObject {
                Core::Version(value.at(0).get<std::uint64_t>()), value.at(1).get<std::string>() });
        });
    }

} // namespace

ReplicaPeer::ReplicaPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto ReplicaPeer::fetch(const Core::Address& peer, ReplicatedObject object, Core::Version newerThan,
    Core::Duration timeout, Callback callback) -> void
{
    const auto payload = Cbor::pack(json::array({ static_cast<std::uint8_t>(object), newerThan.value() }));
    m_transport.call(peer, { fetchKind, payload }, timeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeAnswer(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerReplicaHandlers(Ports::PeerRouter& router, const Replication::ReplicaServer& server) -> void
{
    router.registerHandler(fetchKind, [&server](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
        const auto request = decodeRequest(payload);
        if (request)
            respond(encodeAnswer(server.answerFetch(request->object, request->newerThan)));
        else
            respond(tl::unexpected(request.error()));
    });
}

} // namespace ReplicationPeer
