#include "mirrorpeer/mirrorpeer.h"

#include "cbor/cbor.h"

namespace MirrorPeer {

namespace {

    using nlohmann::json;

    constexpr auto mirrorKind = "store.mirror";
    /// Time for an answer, in addition to that for which it may be held.
    constexpr Core::Millis answerTime { 400 };
    /// Time for an answer with whole collections.
    constexpr Core::Millis firstAnswerTime { 1000 };
    constexpr Core::Millis longestHold { 5000 };
    /// Copies may be kept for as long as the store is away.
    constexpr Core::Millis longestAge { std::chrono::hours(24 * 365) };
    constexpr std::uint32_t mostHops = 1000;

    auto decodeMillis(const json& value, Core::Millis most) -> Core::Millis
    {
        const Core::Millis time(value.get<Core::Millis::rep>());
        if (time.count() < 0 || time > most)
            throw std::out_of_range("a time is not in the expected range");
        return time;
    }

    auto encodePoll(const StoreSync::MirrorPoll& poll) -> std::string
    {
        auto known = json::object();
        for (const auto& [name, revision] : poll.known)
            known[name.value()] = revision.number();
        return Cbor::pack(json { poll.hold.count(), known });
    }

    auto decodePoll(const std::string& payload) -> Core::Result<StoreSync::MirrorPoll>
    {
        return Cbor::unpack(payload, "a poll for news of collections", [](const json& fields) {
            StoreSync::MirrorPoll poll;
            poll.hold = decodeMillis(fields.at(0), longestHold);
            for (const auto& [name, revision] : fields.at(1).items())
                poll.known[Ports::CollectionName(name)] = Ports::StoreRevision(revision.get<std::uint64_t>());
            return poll;
        });
    }

    auto encodeDuration(Core::Duration duration) -> json
    {
        return std::chrono::duration_cast<Core::Millis>(duration).count();
    }

    auto decodeDuration(const json& value) -> Core::Duration { return decodeMillis(value, longestAge); }

    auto encodeItem(const Ports::CollectionItem& item) -> json
    {
        return { item.name, item.revision.number(), item.text, encodeDuration(item.age) };
    }

    auto decodeItem(const json& fields) -> Ports::CollectionItem
    {
        return { fields.at(0).get<std::string>(), Ports::StoreRevision(fields.at(1).get<std::uint64_t>()),
            fields.at(2).get<std::string>(), decodeDuration(fields.at(3)) };
    }

    /// Whole lists are pairs of revision and items; changes have their base as a third element.
    struct NewsEncoder {
        auto operator()(const Ports::CollectionList& list) const -> json
        {
            auto items = json::array();
            for (const auto& item : list.items)
                items.push_back(encodeItem(item));
            return json::array({ list.revision.number(), std::move(items) });
        }

        auto operator()(const StoreSync::ChangesSince& since) const -> json
        {
            auto changes = json::array();
            for (const auto& change : since.changes.changes)
                changes.push_back(json::array({ encodeItem(change.item), change.isDeleted }));
            return json::array({ since.changes.revision.number(), std::move(changes), since.base.number() });
        }
    };

    auto decodeNews(const json& fields) -> StoreSync::CollectionNews
    {
        const Ports::StoreRevision revision(fields.at(0).get<std::uint64_t>());
        if (fields.size() == 2) {
            Ports::CollectionList list;
            list.revision = revision;
            for (const auto& item : fields.at(1))
                list.items.push_back(decodeItem(item));
            return list;
        }
        StoreSync::ChangesSince since;
        since.base = Ports::StoreRevision(fields.at(2).get<std::uint64_t>());
        since.changes.revision = revision;
        for (const auto& change : fields.at(1))
            since.changes.changes.push_back({ decodeItem(change.at(0)), change.at(1).get<bool>() });
        return since;
    }

    auto encodeResponse(const StoreSync::MirrorResponse& response) -> std::string
    {
        auto news = json::object();
        for (const auto& [name, update] : response.news)
            news[name.value()] = std::visit(NewsEncoder(), update);
        const auto& age = response.contact.age;
        return Cbor::pack(json::array({ response.contact.isReachable, age ? encodeDuration(*age) : json(),
            std::move(news), response.contact.hops }));
    }

    auto decodeResponse(const std::string& payload) -> Core::Result<StoreSync::MirrorResponse>
    {
        return Cbor::unpack(payload, "news of collections", [](const json& fields) {
            StoreSync::MirrorResponse response;
            response.contact.isReachable = fields.at(0).get<bool>();
            if (!fields.at(1).is_null())
                response.contact.age = decodeDuration(fields.at(1));
            response.contact.hops = fields.at(3).get<std::uint32_t>();
            if (response.contact.hops > mostHops)
                throw std::out_of_range("the chain of VMs is too long");
            for (const auto& [name, update] : fields.at(2).items())
                response.news[Ports::CollectionName(name)] = decodeNews(update);
            return response;
        });
    }

} // namespace

MirrorPeer::MirrorPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto MirrorPeer::poll(const Core::Address& peer, const StoreSync::MirrorPoll& poll, Callback callback) -> void
{
    const auto timeout = poll.hold + (poll.known.empty() ? firstAnswerTime : answerTime);
    m_transport.call(peer, { mirrorKind, encodePoll(poll) }, timeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeResponse(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerMirrorHandler(Ports::PeerRouter& router, std::shared_ptr<StoreSync::MirrorHost> host) -> void
{
    router.registerHandler(
        mirrorKind, [host = std::move(host)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto poll = decodePoll(payload);
            if (poll) {
                host->poll(
                    *poll, [respond](const StoreSync::MirrorResponse& response) { respond(encodeResponse(response)); });
            } else {
                respond(tl::unexpected(poll.error()));
            }
        });
}

} // namespace MirrorPeer
