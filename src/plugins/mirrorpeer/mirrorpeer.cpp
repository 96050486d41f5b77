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
    /// Positions of the eras by collection in the messages.
    constexpr std::size_t pollEras = 2;
    constexpr std::size_t responseEras = 4;
    /// Position of the latest era that the answering VM knows.
    constexpr std::size_t responseContactEra = 5;

    auto decodeMillis(const json& value, Core::Millis most) -> Core::Millis
    {
        const Core::Millis time(value.get<Core::Millis::rep>());
        if (time.count() < 0 || time > most)
            throw std::out_of_range("a time is not in the expected range");
        return time;
    }

    /// Throws std::invalid_argument unless the value is a whole number that is not negative.
    auto decodeNumber(const json& value) -> std::uint64_t
    {
        if (!value.is_number_unsigned())
            throw std::invalid_argument("a number is negative or not whole");
        return value.get<std::uint64_t>();
    }

    /// Eras stand apart from the numbers of revisions: VMs of earlier versions send none and ignore them.
    auto eraOf(const json& eras, const std::string& collection) -> Ports::StoreEra
    {
        return Ports::StoreEra(eras.contains(collection) ? decodeNumber(eras.at(collection)) : 0);
    }

    auto erasIn(const json& fields, std::size_t position) -> json
    {
        auto eras = position < fields.size() ? fields.at(position) : json::object();
        if (!eras.is_object())
            throw std::invalid_argument("the eras are no object");
        return eras;
    }

    auto encodePoll(const StoreSync::MirrorPoll& poll) -> std::string
    {
        auto known = json::object();
        auto eras = json::object();
        for (const auto& [name, revision] : poll.known) {
            known[name.value()] = revision.number();
            eras[name.value()] = revision.era().value();
        }
        return Cbor::pack(json { poll.hold.count(), known, eras });
    }

    auto decodePoll(const std::string& payload) -> Core::Result<StoreSync::MirrorPoll>
    {
        return Cbor::unpack(payload, "a poll for news of collections", [](const json& fields) {
            StoreSync::MirrorPoll poll;
            poll.hold = decodeMillis(fields.at(0), longestHold);
            const auto eras = erasIn(fields, pollEras);
            poll.statesEras = fields.size() > pollEras;
            for (const auto& [name, revision] : fields.at(1).items()) {
                poll.known[Ports::CollectionName(name)]
                    = Ports::StoreRevision(decodeNumber(revision), eraOf(eras, name));
            }
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

    auto decodeItem(const json& fields, Ports::StoreEra era) -> Ports::CollectionItem
    {
        return { fields.at(0).get<std::string>(), Ports::StoreRevision(decodeNumber(fields.at(1)), era),
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

    auto eraOf(const StoreSync::CollectionNews& news) -> Ports::StoreEra
    {
        const auto* list = std::get_if<Ports::CollectionList>(&news);
        return list != nullptr ? list->revision.era() : std::get<StoreSync::ChangesSince>(news).changes.revision.era();
    }

    /// All revisions of one collection's news are of the same era.
    auto decodeNews(const json& fields, Ports::StoreEra era) -> StoreSync::CollectionNews
    {
        const Ports::StoreRevision revision(decodeNumber(fields.at(0)), era);
        if (fields.size() == 2) {
            Ports::CollectionList list;
            list.revision = revision;
            for (const auto& item : fields.at(1))
                list.items.push_back(decodeItem(item, era));
            return list;
        }
        StoreSync::ChangesSince since;
        since.base = Ports::StoreRevision(decodeNumber(fields.at(2)), era);
        since.changes.revision = revision;
        for (const auto& change : fields.at(1))
            since.changes.changes.push_back({ decodeItem(change.at(0), era), change.at(1).get<bool>() });
        return since;
    }

    auto encodeResponse(const StoreSync::MirrorResponse& response) -> std::string
    {
        auto news = json::object();
        auto eras = json::object();
        for (const auto& [name, update] : response.news) {
            news[name.value()] = std::visit(NewsEncoder(), update);
            eras[name.value()] = eraOf(update).value();
        }
        const auto& age = response.contact.age;
        return Cbor::pack(json::array({ response.contact.isReachable, age ? encodeDuration(*age) : json(),
            std::move(news), response.contact.hops, std::move(eras), response.contact.era.value() }));
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
            if (fields.size() > responseContactEra)
                response.contact.era = Ports::StoreEra(decodeNumber(fields.at(responseContactEra)));
            const auto eras = erasIn(fields, responseEras);
            for (const auto& [name, update] : fields.at(2).items())
                response.news[Ports::CollectionName(name)] = decodeNews(update, eraOf(eras, name));
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
