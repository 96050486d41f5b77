#include "mirrorpeer/mirrorpeer.h"

#include "cbor/cbor.h"

namespace MirrorPeer {

namespace {

    using nlohmann::json;

    constexpr auto mirrorKind = "store.mirror";
    constexpr Core::Millis fetchTimeout { 600 };

    auto encodeKnownRevisions(const StoreSync::KnownRevisions& known) -> std::string
    {
        auto fields = json::object();
        for (const auto& [name, revision] : known)
            fields[name.value()] = revision.value();
        return Cbor::pack(fields);
    }

    auto decodeKnownRevisions(const std::string& payload) -> Core::Result<StoreSync::KnownRevisions>
    {
        return Cbor::unpack(payload, "a request for copies of collections", [](const json& fields) {
            StoreSync::KnownRevisions known;
            for (const auto& [name, revision] : fields.items())
                known[Ports::CollectionName(name)] = Ports::StoreRevision(revision.get<std::uint64_t>());
            return known;
        });
    }

    auto encodeResponse(const StoreSync::MirrorResponse& response) -> std::string
    {
        auto lists = json::object();
        for (const auto& [name, list] : response.lists) {
            auto items = json::array();
            for (const auto& item : list.items)
                items.push_back({ item.name, item.revision.value(), item.text });
            lists[name.value()] = { list.revision.value(), items };
        }
        return Cbor::pack(json { response.isStoreReachable, lists });
    }

    auto decodeList(const json& fields) -> Ports::CollectionList
    {
        Ports::CollectionList list;
        list.revision = Ports::StoreRevision(fields.at(0).get<std::uint64_t>());
        for (const auto& item : fields.at(1))
            list.items.push_back({ item.at(0).get<std::string>(), Ports::StoreRevision(item.at(1).get<std::uint64_t>()),
                item.at(2).get<std::string>() });
        return list;
    }

    auto decodeResponse(const std::string& payload) -> Core::Result<StoreSync::MirrorResponse>
    {
        return Cbor::unpack(payload, "copies of collections", [](const json& fields) {
            StoreSync::MirrorResponse response;
            response.isStoreReachable = fields.at(0).get<bool>();
            for (const auto& [name, list] : fields.at(1).items())
                response.lists[Ports::CollectionName(name)] = decodeList(list);
            return response;
        });
    }

} // namespace

MirrorPeer::MirrorPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto MirrorPeer::fetch(const Core::Address& peer, const StoreSync::KnownRevisions& known, Callback callback) -> void
{
    m_transport.call(peer, { mirrorKind, encodeKnownRevisions(known) }, fetchTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeResponse(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerMirrorHandler(Ports::PeerRouter& router, const StoreSync::CollectionMirror& mirror,
    std::function<bool()> isStoreReachable) -> void
{
    router.registerHandler(mirrorKind,
        [&mirror, isStoreReachable = std::move(isStoreReachable)](
            const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto known = decodeKnownRevisions(payload);
            if (known)
                respond(encodeResponse({ isStoreReachable(), mirror.newerThan(*known) }));
            else
                respond(tl::unexpected(known.error()));
        });
}

} // namespace MirrorPeer
