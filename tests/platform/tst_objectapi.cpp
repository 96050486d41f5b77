#include "platform/objectapi.h"

#include "platform/objectmessages.h"
#include "platform/objectstandin.h"
#include "platform/oddtexts.h"
#include "runtime/asioruntime.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <thread>

namespace {

const Ports::CollectionName things { "things" };

/// Store that answers all lists, and all watches, with the same text.
class FixedAnswers : public HttpServer::HttpHandler {
public:
    FixedAnswers(std::string toLists, std::string toWatches)
        : m_toLists(std::move(toLists))
        , m_toWatches(std::move(toWatches))
    {
    }
    auto handle(HttpServer::HttpRequest request, Respond respond) -> void override
    {
        HttpServer::HttpResponse response { boost::beast::http::status::ok, 11 };
        response.body() = request.target().find("watch") == std::string_view::npos ? m_toLists : m_toWatches;
        respond(std::move(response));
    }
    auto malformedResponse(boost::beast::http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

private:
    const std::string m_toLists;
    const std::string m_toWatches;
};

/// Answer of a store in one of its eras. The header is left out if there is no text of an era.
struct StatedAnswer {
    std::string body;
    std::optional<std::string> era;
    boost::beast::http::status status = boost::beast::http::status::ok;
};

/// Store that gives the answers of a test one after the other, the last one again and again.
class StatedAnswers : public HttpServer::HttpHandler {
public:
    auto set(std::vector<StatedAnswer> answers) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_answers.assign(answers.begin(), answers.end());
    }
    auto handle(HttpServer::HttpRequest, Respond respond) -> void override
    {
        const std::lock_guard lock(m_mutex);
        const auto answer = m_answers.front();
        if (m_answers.size() > 1)
            m_answers.pop_front();
        HttpServer::HttpResponse response { answer.status, 11 };
        if (answer.era)
            response.set("Store-Era", *answer.era);
        response.body() = answer.body;
        respond(std::move(response));
    }
    auto malformedResponse(boost::beast::http::status status, const std::string&) -> HttpServer::HttpResponse override
    {
        return { status, 11 };
    }

private:
    std::mutex m_mutex;
    std::deque<StatedAnswer> m_answers;
};

struct StoreFixture {
    StoreFixture()
        : thread([this] { runtime.run(); })
    {
    }
    ~StoreFixture()
    {
        runtime.stop();
        thread.join();
    }
    StoreFixture(const StoreFixture&) = delete;
    auto operator=(const StoreFixture&) -> StoreFixture& = delete;

    auto list() -> Core::Result<Ports::CollectionList>
    {
        const auto promise = std::make_shared<std::promise<Core::Result<Ports::CollectionList>>>();
        api.list(
            things, [promise](Core::Result<Ports::CollectionList> result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    auto watch(std::uint64_t after) -> Core::Result<Ports::CollectionChanges>
    {
        const auto promise = std::make_shared<std::promise<Core::Result<Ports::CollectionChanges>>>();
        const auto call = api.watch(things, Ports::StoreRevision(after), Core::Millis(300),
            [promise](Core::Result<Ports::CollectionChanges> result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    auto put(const std::string& name, const std::string& text) -> Core::Result<Ports::StoreRevision>
    {
        const auto promise = std::make_shared<std::promise<Core::Result<Ports::StoreRevision>>>();
        api.put(things, { name, {}, text },
            [promise](Core::Result<Ports::StoreRevision> result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    Runtime::AsioRuntime runtime { 2 };
    PlatformTest::ObjectStandIn objects { runtime };
    HttpServer::Server server { runtime.context(), Core::Address("127.0.0.1:0"), objects };
    HttpClient::Client client { runtime.context() };
    Platform::ObjectApi api { client, Core::Address("127.0.0.1:" + std::to_string(server.port())), "things/own" };
    std::thread thread;
};

/// Store whose answers state eras.
struct StoreWithEras : StoreFixture {
    auto list() -> Core::Result<Ports::CollectionList>
    {
        return wait<Ports::CollectionList>([this](auto callback) { stated.list(things, std::move(callback)); });
    }

    auto watch() -> Core::Result<Ports::CollectionChanges>
    {
        std::shared_ptr<Ports::StoreCall> call;
        return wait<Ports::CollectionChanges>([&](auto callback) {
            call = stated.watch(things, Ports::StoreRevision(3), Core::Millis(300), std::move(callback));
        });
    }

    auto ping() -> Core::Result<Ports::StoreRevision>
    {
        return wait<Ports::StoreRevision>([this](auto callback) { stated.ping(std::move(callback)); });
    }

    auto put() -> Core::Result<Ports::StoreRevision>
    {
        return wait<Ports::StoreRevision>([this](auto callback) {
            stated.put(things, { "a", {}, "1" }, std::move(callback));
        });
    }

    template <typename Answer>
    static auto wait(const std::function<void(std::function<void(Core::Result<Answer>)>)>& call) -> Core::Result<Answer>
    {
        const auto promise = std::make_shared<std::promise<Core::Result<Answer>>>();
        call([promise](Core::Result<Answer> result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    static auto revisionOf(std::uint64_t number, std::uint64_t era) -> Ports::StoreRevision
    {
        return Ports::StoreRevision(number, Ports::StoreEra(era));
    }

    const std::string object = R"({"metadata":{"name":"a","revision":4},"spec":1})";
    const std::string page = R"({"items":[)" + object + R"(],"store_revision":9})";
    const std::string firstPage = R"({"items":[)" + object + R"(],"more":true,"store_revision":9})";
    const std::string secondPage = R"({"items":[{"metadata":{"name":"b","revision":5},"spec":1}],"store_revision":10})";
    const std::string changes = R"({"events":[{"object":)" + object + R"(,"deleted":false}],"store_revision":9})";
    StatedAnswers answers;
    HttpServer::Server statedServer { runtime.context(), Core::Address("127.0.0.1:0"), answers };
    Platform::ObjectApi stated { client, Core::Address("127.0.0.1:" + std::to_string(statedServer.port())),
        "things/own" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ThePlatformsStore, StoreFixture)

BOOST_AUTO_TEST_CASE(IsListedPageByPage)
{
    objects.setPageSize(2);
    for (const auto* name : { "a", "b", "c", "d", "e" })
        objects.put("things", name, { { "n", name } });
    const auto listed = list();
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed->items.size() == 5U);
    BOOST_TEST(listed->items.back().name == "e");
}

BOOST_AUTO_TEST_CASE(ReportsChangesToAWatch)
{
    objects.put("things", "a", 1);
    const auto listed = list();
    BOOST_REQUIRE(listed);
    objects.remove("things", "a");
    objects.put("things", "b", 2);
    const auto changes = watch(listed->revision.number());
    BOOST_REQUIRE(changes);
    BOOST_REQUIRE(changes->changes.size() == 2U);
    BOOST_TEST(changes->changes[0].isDeleted);
    BOOST_TEST(changes->changes[1].item.name == "b");
}

BOOST_AUTO_TEST_CASE(EndsAWatchWithoutAChangeAfterItsWait)
{
    const auto changes = watch(list()->revision.number());
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->changes.empty());
}

BOOST_AUTO_TEST_CASE(FailsAWatchWhoseHistoryIsGone)
{
    const auto before = list()->revision.number();
    objects.put("things", "a", 1);
    objects.dropHistory();
    const auto changes = watch(before);
    BOOST_REQUIRE(!changes);
    BOOST_TEST((changes.error().kind == Core::ErrorKind::Conflict));
}

BOOST_AUTO_TEST_CASE(CreatesOrReplacesAnObject)
{
    BOOST_TEST(put("vm", R"({"start":1})").has_value());
    BOOST_TEST(put("vm", R"({"start":2})").has_value());
    BOOST_TEST(objects.names("things").size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThatIsUnavailableGivesAnErrorWithARemedy)
{
    objects.setUnavailable(true);
    const auto listed = list();
    BOOST_REQUIRE(!listed);
    BOOST_TEST((listed.error().kind == Core::ErrorKind::Unavailable));
    BOOST_TEST(!listed.error().remedy.empty());
}

BOOST_AUTO_TEST_CASE(ThatSendsMalformedAnswersGivesAnError)
{
    FixedAnswers malformedHandler(R"({"items":[7]})", "[");
    HttpServer::Server malformedServer(runtime.context(), Core::Address("127.0.0.1:0"), malformedHandler);
    Platform::ObjectApi other(
        client, Core::Address("127.0.0.1:" + std::to_string(malformedServer.port())), "things/own");
    const auto listed = std::make_shared<std::promise<Core::ErrorKind>>();
    other.list(things, [listed](const Core::Result<Ports::CollectionList>& result) {
        listed->set_value(result ? Core::ErrorKind::Internal : result.error().kind);
    });
    BOOST_TEST((listed->get_future().get() == Core::ErrorKind::InvalidMessage));
    const auto watched = std::make_shared<std::promise<Core::ErrorKind>>();
    const auto call = other.watch(things, Ports::StoreRevision(1), Core::Millis(100),
        [watched](const Core::Result<Ports::CollectionChanges>& result) {
            watched->set_value(result ? Core::ErrorKind::Internal : result.error().kind);
        });
    BOOST_TEST((watched->get_future().get() == Core::ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_CASE(StatesAHigherEraOnceItHasReturnedFromAnOlderCopy)
{
    objects.put("things", "a", 1);
    objects.keepCopy();
    objects.put("things", "b", 2);
    const auto before = list();
    objects.returnToCopy();
    const auto after = list();
    BOOST_REQUIRE((before && after));
    BOOST_TEST(after->items.size() == 1U);
    BOOST_TEST((before->revision.era() == Ports::StoreEra(1)));
    BOOST_TEST((after->revision.era() == Ports::StoreEra(2)));
    const auto lost = watch(before->revision.number());
    BOOST_REQUIRE(!lost);
    BOOST_TEST((lost.error().kind == Core::ErrorKind::Conflict));
    // The lost number is given out again.
    objects.put("things", "c", 3);
    BOOST_TEST(list()->revision.number() == before->revision.number());
    const auto changes = watch(after->revision.number());
    BOOST_REQUIRE(changes);
    BOOST_REQUIRE(changes->changes.size() == 1U);
    BOOST_TEST(changes->changes[0].item.name == "c");
}

BOOST_AUTO_TEST_SUITE(WithAnOddObjectAmongOthers)

BOOST_AUTO_TEST_CASE(StillListsTheOthers)
{
    for (const auto& [problem, text] : PlatformTest::oddTexts()) {
        objects.put("things", "a", 1);
        objects.putText("things", "b", text);
        objects.put("things", "c", 3);
        const auto listed = list();
        BOOST_REQUIRE_MESSAGE(listed.has_value(), problem);
        BOOST_REQUIRE_MESSAGE(listed->items.size() == 3U, problem);
        BOOST_TEST(listed->items[0].name == "a", problem);
        BOOST_TEST(listed->items[1].name == "b", problem);
        BOOST_TEST(listed->items[2].name == "c", problem);
    }
}

BOOST_AUTO_TEST_CASE(StillReportsChangesOfTheOthers)
{
    for (const auto& [problem, text] : PlatformTest::oddTexts()) {
        const auto before = list();
        BOOST_REQUIRE_MESSAGE(before.has_value(), problem);
        objects.putText("things", "b", text);
        objects.put("things", "c", 3);
        const auto changes = watch(before->revision.number());
        BOOST_REQUIRE_MESSAGE(changes.has_value(), problem);
        BOOST_REQUIRE_MESSAGE(changes->changes.size() == 2U, problem);
        BOOST_TEST(changes->changes[1].item.name == "c", problem);
        BOOST_TEST((changes->revision > before->revision), problem);
        objects.remove("things", "b");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatSendsOddAnswers)

BOOST_AUTO_TEST_CASE(HasObjectsWithoutAReadableNameLeftOutAndCounted)
{
    const std::string named = R"({"metadata":{"name":"a","revision":4},"spec":1})";
    for (const auto* odd :
        { "7", "{}", R"({"metadata":7})", R"({"metadata":{"name":8}})", R"({"metadata":{"name":1e999}})" }) {
        const auto page
            = Platform::decodePage(R"({"items":[)" + std::string(odd) + "," + named + R"(],"store_revision":9})");
        BOOST_REQUIRE_MESSAGE(page.has_value(), odd);
        BOOST_TEST(page->list.items.size() == 1U, odd);
        BOOST_TEST(page->list.unreadableItems == 1U, odd);
        const auto changes = Platform::decodeChanges(R"({"events":[{"object":)" + std::string(odd)
            + R"(,"deleted":false},{"object":)" + named + R"(,"deleted":true}],"store_revision":9})");
        BOOST_REQUIRE_MESSAGE(changes.has_value(), odd);
        BOOST_TEST(changes->changes.size() == 1U, odd);
        BOOST_TEST(changes->unreadableItems == 1U, odd);
    }
}

BOOST_AUTO_TEST_CASE(GivesAnErrorWhenItsPagesDoNotEnd)
{
    // Each page says that there is another one.
    FixedAnswers endlessHandler(R"({"items":[{"metadata":{"name":"a"}}],"more":true,"store_revision":9})", "{}");
    HttpServer::Server endlessServer(runtime.context(), Core::Address("127.0.0.1:0"), endlessHandler);
    Platform::ObjectApi other(client, Core::Address("127.0.0.1:" + std::to_string(endlessServer.port())), "things/own");
    const auto listed = std::make_shared<std::promise<Core::ErrorKind>>();
    other.list(things, [listed](const Core::Result<Ports::CollectionList>& result) {
        listed->set_value(result ? Core::ErrorKind::Internal : result.error().kind);
    });
    auto kind = listed->get_future();
    BOOST_REQUIRE((kind.wait_for(std::chrono::seconds(10)) == std::future_status::ready));
    BOOST_TEST((kind.get() == Core::ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TheErasOfThePlatformsStore, StoreWithEras)

BOOST_AUTO_TEST_SUITE(AreRead)

BOOST_AUTO_TEST_CASE(FromListsWithTheirItems)
{
    answers.set({ { page, "3" } });
    const auto listed = list();
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed->revision == revisionOf(9, 3));
    BOOST_TEST(listed->items.at(0).revision == revisionOf(4, 3));
}

BOOST_AUTO_TEST_CASE(FromWatchesWithTheirChanges)
{
    answers.set({ { changes, "3" } });
    const auto watched = watch();
    BOOST_REQUIRE(watched);
    BOOST_TEST(watched->revision == revisionOf(9, 3));
    BOOST_TEST(watched->changes.at(0).item.revision == revisionOf(4, 3));
}

BOOST_AUTO_TEST_CASE(FromPings)
{
    answers.set({ { object, "3" } });
    const auto pinged = ping();
    BOOST_REQUIRE(pinged);
    BOOST_TEST(pinged->era().value() == 3U);
}

BOOST_AUTO_TEST_CASE(FromPingsWhoseObjectDoesNotExist)
{
    answers.set({ { "", "4", boost::beast::http::status::not_found } });
    const auto pinged = ping();
    BOOST_REQUIRE(pinged);
    BOOST_TEST(pinged->era().value() == 4U);
}

BOOST_AUTO_TEST_CASE(FromWritesThatReplace)
{
    answers.set({ { object, "3" } });
    const auto written = put();
    BOOST_REQUIRE(written);
    BOOST_TEST(*written == revisionOf(4, 3));
}

BOOST_AUTO_TEST_CASE(FromWritesThatCreate)
{
    answers.set(
        { { "", "3", boost::beast::http::status::not_found }, { object, "4", boost::beast::http::status::created } });
    const auto written = put();
    BOOST_REQUIRE(written);
    BOOST_TEST(*written == revisionOf(4, 4));
}

BOOST_AUTO_TEST_CASE(UpToTheLargestNumber)
{
    answers.set({ { page, "18446744073709551615" } });
    const auto listed = list();
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed->revision.era().value() == 18'446'744'073'709'551'615U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatAreNotStated)

BOOST_AUTO_TEST_CASE(AreTheFirst)
{
    answers.set({ { page, std::nullopt } });
    BOOST_TEST(list()->revision == revisionOf(9, 0));
    answers.set({ { changes, std::nullopt } });
    BOOST_TEST(watch()->revision == revisionOf(9, 0));
    answers.set({ { object, std::nullopt } });
    BOOST_TEST(ping()->era().value() == 0U);
    BOOST_TEST(*put() == revisionOf(4, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatCannotBeRead)

BOOST_AUTO_TEST_CASE(AreAnErrorOfEachCall)
{
    for (const auto* era : { "-1", "two", "3x", "0x3", "1.5", "3 4", "18446744073709551616", "1e3" }) {
        answers.set({ { page, era } });
        BOOST_REQUIRE_MESSAGE(!list(), era);
        BOOST_TEST((list().error().kind == Core::ErrorKind::InvalidMessage), era);
        answers.set({ { changes, era } });
        BOOST_TEST((watch().error().kind == Core::ErrorKind::InvalidMessage), era);
        answers.set({ { object, era } });
        BOOST_TEST((ping().error().kind == Core::ErrorKind::InvalidMessage), era);
        BOOST_TEST((put().error().kind == Core::ErrorKind::InvalidMessage), era);
        BOOST_TEST(!list().error().remedy.empty(), era);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatChangeBetweenThePagesOfAList)

BOOST_AUTO_TEST_CASE(EndItWithAnErrorAfterWhichItCanBeRetried)
{
    answers.set({ { firstPage, "3" }, { secondPage, "4" } });
    const auto listed = list();
    BOOST_REQUIRE(!listed);
    BOOST_TEST((listed.error().kind == Core::ErrorKind::Unavailable));
    BOOST_TEST(!listed.error().remedy.empty());
}

BOOST_AUTO_TEST_CASE(EndItAlsoIfALatePageIsOfTheEarlierEra)
{
    answers.set({ { firstPage, "4" }, { secondPage, "3" } });
    BOOST_TEST(!list());
}

BOOST_AUTO_TEST_CASE(DoNotEndItIfTheyStayTheSame)
{
    answers.set({ { firstPage, "3" }, { secondPage, "3" } });
    const auto listed = list();
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed->items.size() == 2U);
    BOOST_TEST(listed->revision == revisionOf(9, 3));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
