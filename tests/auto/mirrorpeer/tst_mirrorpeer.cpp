#include "mirrorpeer/mirrorpeer.h"

#include "cbor/cbor.h"
#include "support/virtualtime.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace {

using nlohmann::json;

const Ports::CollectionName upstreams { "upstreams" };
const Ports::CollectionName evacuations { "evacuations" };
const Core::Address peer { "10.0.0.1:1" };

auto revisionOf(std::uint64_t number, std::uint64_t era) -> Ports::StoreRevision
{
    return Ports::StoreRevision(number, Ports::StoreEra(era));
}

/// Hands each call to the registered handler at once, unless a test replaces the answer. Keeps the last payloads.
class DirectTransport : public Ports::PeerTransport, public Ports::PeerRouter {
public:
    auto registerHandler(std::string kind, Handler handler) -> void override
    {
        m_handlers[std::move(kind)] = std::move(handler);
    }

    auto call(const Core::Address&, Ports::PeerMessage message, Core::Duration, ReplyCallback callback) -> void override
    {
        m_kind = message.kind;
        lastPoll = message.payload;
        const auto reply = fixedAnswer ? Core::Result<std::string>(*fixedAnswer) : deliver(message.payload);
        if (reply)
            lastAnswer = *reply;
        callback(reply);
    }

    /// Returns the handler's answer to the payload of a poll.
    auto deliver(const std::string& payload) -> Core::Result<std::string>
    {
        Core::Result<std::string> answer = Core::fail(Core::ErrorKind::Internal, "no answer", "none");
        m_handlers.at(m_kind)(payload, [&answer](Core::Result<std::string> result) { answer = std::move(result); });
        return answer;
    }

    std::optional<std::string> fixedAnswer;
    std::string lastPoll;
    std::string lastAnswer;

private:
    std::string m_kind;
    std::map<std::string, Handler> m_handlers;
};

struct TwoVms {
    TwoVms()
    {
        mirror.replaceAll(upstreams, { { { "a", revisionOf(39, 2), "{}" } }, revisionOf(40, 2) });
        MirrorPeer::registerMirrorHandler(transport, host);
    }

    auto poll(const StoreSync::KnownRevisions& known) -> Core::Result<StoreSync::MirrorResponse>
    {
        Core::Result<StoreSync::MirrorResponse> result = Core::fail(Core::ErrorKind::Internal, "no answer", "none");
        port.poll(peer, { known, Core::Millis(0) },
            [&result](Core::Result<StoreSync::MirrorResponse> answer) { result = std::move(answer); });
        return result;
    }

    /// Polls, and has the answer changed on its way.
    auto pollWithAnswer(const json& answer) -> Core::Result<StoreSync::MirrorResponse>
    {
        transport.fixedAnswer = Cbor::pack(answer);
        return poll({});
    }

    /// Has the host answer a poll that was encoded by hand.
    auto deliver(const json& message) -> Core::Result<json>
    {
        (void)poll({});
        eras.clear();
        return transport.deliver(Cbor::pack(message)).map([](const std::string& payload) {
            return json::from_cbor(payload);
        });
    }

    static auto answerWithEras(const json& eras) -> json
    {
        return json::array(
            { true, 5, { { "upstreams", json::array({ 40, json::array({ { "a", 39, "{}", 0 } }) }) } }, 0, eras });
    }

    TestSupport::VirtualTime time;
    StoreSync::CollectionMirror mirror { time };
    std::vector<std::uint64_t> eras;
    std::shared_ptr<StoreSync::MirrorHost> host
        = std::make_shared<StoreSync::MirrorHost>(StoreSync::MirrorHost::Environment { time, mirror,
            [] {
                return StoreSync::StoreContact { true, Core::Duration(0), 0 };
            },
            [this](Ports::StoreEra era) { eras.push_back(era.value()); } });
    DirectTransport transport;
    MirrorPeer::MirrorPeer port { transport };
};

/// Eras that no VM sends.
auto oddEras() -> std::vector<std::pair<std::string, json>>
{
    return { { "negative", { { "upstreams", -1 } } }, { "text", { { "upstreams", "2" } } },
        { "fraction", { { "upstreams", 1.5 } } }, { "too large", { { "upstreams", 1e30 } } },
        { "null", { { "upstreams", nullptr } } }, { "nested", { { "upstreams", json::array({ 2 }) } } },
        { "list", json::array({ 2 }) }, { "number", 2 }, { "text alone", "2" }, { "nothing", nullptr } };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(NewsOfCollections, TwoVms)

BOOST_AUTO_TEST_SUITE(WithEras)

BOOST_AUTO_TEST_CASE(TellThePolledVmWhatIsKnown)
{
    (void)poll({ { upstreams, revisionOf(41, 3) }, { evacuations, revisionOf(9, 1) } });
    BOOST_TEST(eras == (std::vector<std::uint64_t> { 3 }));
    const auto message = json::from_cbor(transport.lastPoll);
    BOOST_TEST(message.at(1).at("upstreams").get<std::uint64_t>() == 41U);
    BOOST_TEST(message.at(2).at("upstreams").get<std::uint64_t>() == 3U);
    BOOST_TEST(message.at(2).at("evacuations").get<std::uint64_t>() == 1U);
}

BOOST_AUTO_TEST_CASE(GiveWholeCollectionsTheirEra)
{
    const auto answer = poll({ { upstreams, revisionOf(900, 1) } });
    BOOST_REQUIRE(answer);
    const auto& list = std::get<Ports::CollectionList>(answer->news.at(upstreams));
    BOOST_TEST(list.revision == revisionOf(40, 2));
    BOOST_REQUIRE(list.items.size() == 1U);
    BOOST_TEST(list.items.front().revision == revisionOf(39, 2));
}

BOOST_AUTO_TEST_CASE(GiveChangesAndTheirBaseTheirEra)
{
    mirror.apply(upstreams, { { { { "b", revisionOf(41, 2), "{}" }, false } }, revisionOf(41, 2) });
    const auto answer = poll({ { upstreams, revisionOf(40, 2) } });
    BOOST_REQUIRE(answer);
    const auto& since = std::get<StoreSync::ChangesSince>(answer->news.at(upstreams));
    BOOST_TEST(since.base == revisionOf(40, 2));
    BOOST_TEST(since.changes.revision == revisionOf(41, 2));
    BOOST_TEST(since.changes.changes.front().item.revision == revisionOf(41, 2));
}

BOOST_AUTO_TEST_CASE(KeepTheLargestEraAndRevision)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    mirror.replaceAll(upstreams, { {}, revisionOf(largest, largest) });
    const auto answer = poll({ { upstreams, revisionOf(1, largest - 1) } });
    BOOST_REQUIRE(answer);
    BOOST_TEST(std::get<Ports::CollectionList>(answer->news.at(upstreams)).revision == revisionOf(largest, largest));
    BOOST_TEST(eras == (std::vector<std::uint64_t> { largest - 1 }));
}

BOOST_AUTO_TEST_CASE(HaveNothingForAVmOfALaterEra)
{
    const auto answer = poll({ { upstreams, revisionOf(1, 3) } });
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->news.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAnEarlierVersion)

BOOST_AUTO_TEST_CASE(ArePolledInTheEraOfTheCopyHere)
{
    const auto current = deliver(json::array({ 0, { { "upstreams", 40 } } }));
    BOOST_REQUIRE(current);
    BOOST_TEST(current->at(2).empty());
    const auto answer = deliver(json::array({ 0, { { "upstreams", 39 } } }));
    BOOST_REQUIRE(answer);
    BOOST_TEST(eras.empty());
    // The answer is the whole collection, in the places where such a VM reads it.
    const auto& news = answer->at(2).at("upstreams");
    BOOST_TEST(news.size() == 2U);
    BOOST_TEST(news.at(0).get<std::uint64_t>() == 40U);
}

BOOST_AUTO_TEST_CASE(AreAnsweredInEraZero)
{
    auto message = answerWithEras(json::object());
    message.erase(4);
    const auto answer = pollWithAnswer(message);
    BOOST_REQUIRE(answer);
    BOOST_TEST(std::get<Ports::CollectionList>(answer->news.at(upstreams)).revision == revisionOf(40, 0));
}

BOOST_AUTO_TEST_CASE(AreAnsweredInEraZeroForACollectionThatIsLeftOut)
{
    const auto answer = pollWithAnswer(answerWithEras({ { "evacuations", 7 } }));
    BOOST_REQUIRE(answer);
    BOOST_TEST(std::get<Ports::CollectionList>(answer->news.at(upstreams)).revision == revisionOf(40, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithOddEras)

BOOST_AUTO_TEST_CASE(AreRefusedInAPoll)
{
    for (const auto& [problem, odd] : oddEras()) {
        const auto answer = deliver(json::array({ 0, { { "upstreams", 900 } }, odd }));
        BOOST_REQUIRE_MESSAGE(!answer, problem);
        BOOST_TEST((answer.error().kind == Core::ErrorKind::InvalidMessage), problem);
        BOOST_TEST(eras.empty(), problem);
    }
    BOOST_TEST(poll({}).has_value());
}

BOOST_AUTO_TEST_CASE(AreRefusedInAnAnswer)
{
    BOOST_REQUIRE(pollWithAnswer(answerWithEras({ { "upstreams", 2 } })).has_value());
    for (const auto& [problem, odd] : oddEras()) {
        const auto answer = pollWithAnswer(answerWithEras(odd));
        BOOST_REQUIRE_MESSAGE(!answer, problem);
        BOOST_TEST((answer.error().kind == Core::ErrorKind::InvalidMessage), problem);
    }
}

BOOST_AUTO_TEST_CASE(AreRefusedTogetherWithOddRevisions)
{
    for (const auto& odd : { json(-1), json("40"), json(4.5), json(nullptr) }) {
        BOOST_TEST(!deliver(json::array({ 0, { { "upstreams", odd } }, { { "upstreams", 2 } } })), odd.dump());
        auto message = answerWithEras({ { "upstreams", 2 } });
        message.at(2).at("upstreams").at(0) = odd;
        BOOST_TEST(!pollWithAnswer(message), odd.dump());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
