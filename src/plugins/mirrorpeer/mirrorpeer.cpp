#include "mirrorpeer/mirrorpeer.h"

#include "cbor/cbor.h"

namespace MirrorPeer {

namespace {

    using nlohmann::json;

    constexpr auto mirrorKind = "store.mirror";
    constexpr Core::Millis fetchTimeout { 600 };

    auto encodeKnown(const Following::KnownRevisions& known) -> std::string
    {
        auto fields = json::object();
        for (const auto& [name, revision] : known)
            fields[name.value()] = revision.value();
        return Cbor::pack(fields);
    }

    auto decodeKnown(const std::string& payload) -> Core::Result<Following::KnownRevisions>
    {
        return Cbor::unpack(payload, "a question for copies", [](const json& fields) {
            Following::KnownRevisions known;
            for (const auto& [name, revision] : fields.items())
                known[Ports::CollectionName(name)] = Ports::StoreRevision(revision.get<std::uint64_t>());
            return known;
        });
    }

    auto encodeAnswer(const Following::MirrorAnswer& answer) -> std::string
    {
        auto lists = json::object();
        for (const auto& [name, list] : answer.lists) {
            auto items = json::array();
            for (const auto& item : list.items)
                items.push_back({ item.name, item.revision.value(), item.text });
            lists[name.value()] = { list.revision.value(), items };
        }
        return Cbor::pack(json { answer.isStoreAnswering, lists });
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

    auto decodeAnswer(const std::string& payload) -> Core::Result<Following::MirrorAnswer>
    {
        return Cbor::unpack(payload, "copies of collections", [](const json& fields) {
            Following::MirrorAnswer answer;
            answer.isStoreAnswering = fields.at(0).get<bool>();
            for (const auto& [name, list] : fields.at(1).items())
                answer.lists[Ports::CollectionName(name)] = decodeList(list);
            return answer;
        });
    }

} // namespace

MirrorPeer::MirrorPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto MirrorPeer::fetch(const Core::Address& peer, const Following::KnownRevisions& known, Callback callback) -> void
{
    m_transport.call(peer, { mirrorKind, encodeKnown(known) }, fetchTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeAnswer(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerMirrorHandler(Ports::PeerRouter& router, const Following::CollectionMirror& mirror,
    std::function<bool()> isStoreAnswering) -> void
{
    router.registerHandler(mirrorKind,
        [&mirror, isStoreAnswering = std::move(isStoreAnswering)](
            const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto known = decodeKnown(payload);
            if (known)
                respond(encodeAnswer({ isStoreAnswering(), mirror.newerThan(*known) }));
            else
                respond(tl::unexpected(known.error()));
        });
}

} // namespace MirrorPeer
