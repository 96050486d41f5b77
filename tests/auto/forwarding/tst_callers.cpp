#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;
using Core::RefusalReason;
using Ports::ExchangeOutcome;

namespace {

const auto secret = "secret-of-crews";

/// Records the permits that are taken and given back; refuses while it is closed.
class RecordingQuotas : public Quotas::QuotaGate {
public:
    auto acquire(const Organisations::OrganisationPointer& organisation, Core::Instant, Callback callback)
        -> void override
    {
        if (isClosed) {
            callback(tl::unexpected(Quotas::QuotaRefusal { Core::Millis(700) }));
            return;
        }
        taken.push_back(organisation->id.value());
        if (isSlow)
            waiting.push_back(std::move(callback));
        else
            callback(Quotas::QuotaPermit { organisation->id, {} });
    }
    auto giveBack(const Quotas::QuotaPermit& permit) -> void override
    {
        givenBack.push_back(permit.organisation.value());
    }

    bool isClosed = false;
    bool isSlow = false;
    std::vector<std::string> taken;
    std::vector<std::string> givenBack;
    std::vector<Callback> waiting;
};

/// The organisation "crews", which is at home in one region and has a quota.
struct CallerFixture {
    CallerFixture()
    {
        forwarder.setUpstreams(byId({ upstream("a1"), upstream("s1", "sav-a", "sav") }), {});
        crews.id = Core::OrganisationId("crews");
        crews.homes = { Core::RegionId("sav") };
        crews.quota = Organisations::Quota { 10, 5 };
        configure(stockRoute());
    }

    auto configure(const Forwarding::Route& route,
        const std::vector<Organisations::ApiKey>& keys = { Organisations::ApiKey(secret) }) -> void
    {
        auto configuration = std::make_shared<Forwarding::RoutingConfiguration>(*configurationWith({ route }));
        configuration->version = Core::Version(++version);
        (void)configuration->organisations.add(crews, keys);
        forwarder.setConfiguration(configuration);
    }

    auto send(std::optional<Organisations::ApiKey> key) -> void
    {
        Forwarding::ForwardRequest request;
        request.id = Core::RequestId("r" + std::to_string(replies.size()));
        request.host = "desk.example";
        request.path = "/stock/7";
        request.object = Forwarding::ObjectKey("7");
        request.apiKey = std::move(key);
        request.callerTimeout = Core::Millis(3000);
        request.message = std::make_shared<TextMessage>("question");
        forwarder.handle(
            std::move(request), [this](Forwarding::ForwardReply reply) { replies.push_back(std::move(reply)); });
    }

    auto sendAsCrews() -> void { send(Organisations::ApiKey(secret)); }

    auto lastRefusal() -> const Forwarding::ForwardRefusal&
    {
        BOOST_REQUIRE(!replies.empty());
        return std::get<Forwarding::ForwardRefusal>(replies.back());
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    ManualExchangeClient exchanges;
    EventRecorder events;
    NullMetrics metrics;
    SingleEntryVm entryVms;
    std::shared_ptr<RecordingQuotas> quotas = std::make_shared<RecordingQuotas>();
    Forwarding::Forwarder forwarder { { time, time, random, exchanges, events, metrics, { localLocation, entryVms, {} },
        quotas } };
    Organisations::Organisation crews;
    std::uint64_t version = 0;
    std::vector<Forwarding::ForwardReply> replies;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACaller, CallerFixture)

BOOST_AUTO_TEST_SUITE(WithAValidKey)

BOOST_AUTO_TEST_CASE(IsNamedToAnUpstreamOfItsOwnRegions)
{
    sendAsCrews();
    BOOST_REQUIRE(exchanges.exchanges.size() == 1U);
    const auto& call = exchanges.exchanges.front()->call;
    BOOST_TEST(call.target.id.value() == "s1");
    BOOST_REQUIRE(call.caller.has_value());
    BOOST_REQUIRE(call.caller->organisation.has_value());
    BOOST_TEST(call.caller->organisation->value() == "crews");
}

BOOST_AUTO_TEST_CASE(IsRefusedIfItsRegionsAndThoseOfTheRouteDiffer)
{
    auto route = stockRoute();
    route.homes = { Core::RegionId("atl") };
    configure(route);
    sendAsCrews();
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST((lastRefusal().reason == RefusalReason::NoUpstream));
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(LeavesItsKeyInNoEvent)
{
    sendAsCrews();
    exchanges.end(0, ExchangeOutcome::Answered);
    send(Organisations::ApiKey("secret-of-nobody"));
    BOOST_TEST(!events.events.empty());
    for (const auto& event : events.events) {
        for (const auto& field : event.fields)
            BOOST_TEST(field.value.find("secret") == std::string::npos, event.kind.value());
    }
}

BOOST_AUTO_TEST_SUITE(ThatIsTakenAway)

BOOST_AUTO_TEST_CASE(IsRefusedFromTheNextRequestOn)
{
    sendAsCrews();
    configure(stockRoute(), { Organisations::ApiKey("another") });
    sendAsCrews();
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST((lastRefusal().reason == RefusalReason::UnknownApiKey));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutAValidKey)

BOOST_AUTO_TEST_CASE(IsRefusedBeforeAnyUpstream)
{
    send(std::nullopt);
    BOOST_TEST((lastRefusal().reason == RefusalReason::UnknownApiKey));
    send(Organisations::ApiKey("wrong"));
    BOOST_TEST((lastRefusal().reason == RefusalReason::UnknownApiKey));
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::NotRun));
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST(quotas->taken.empty());
}

BOOST_AUTO_TEST_SUITE(OnAnAnonymousRoute)

BOOST_AUTO_TEST_CASE(IsServedUnderNoName)
{
    auto route = stockRoute();
    route.isAnonymous = true;
    configure(route);
    send(std::nullopt);
    send(Organisations::ApiKey("wrong"));
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    for (const auto& exchange : exchanges.exchanges) {
        // The upstream must not see what the caller says of itself.
        BOOST_REQUIRE(exchange->call.caller.has_value());
        BOOST_TEST(!exchange->call.caller->organisation.has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileNoOrganisationIsConfigured)

BOOST_AUTO_TEST_CASE(IsServedWithItsHeadersUnchanged)
{
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>(*configurationWith({ stockRoute() }));
    configuration->version = Core::Version(++version);
    forwarder.setConfiguration(configuration);
    send(std::nullopt);
    BOOST_REQUIRE(exchanges.exchanges.size() == 1U);
    BOOST_TEST(!exchanges.exchanges.front()->call.caller.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAnOrganisationWithAQuota)

BOOST_AUTO_TEST_CASE(TakesOnePermitForItsRequestAndTheRetriesOfThisVm)
{
    forwarder.setRetryAllowance({ 1, 10 });
    crews.homes.clear();
    configure(stockRoute());
    sendAsCrews();
    exchanges.end(0, ExchangeOutcome::Lost);
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    exchanges.end(1, ExchangeOutcome::Answered);
    BOOST_TEST(quotas->taken.size() == 1U);
    BOOST_TEST(quotas->givenBack.empty());
}

BOOST_AUTO_TEST_CASE(IsRefusedAtOnceWhenTheQuotaIsUsedUp)
{
    quotas->isClosed = true;
    sendAsCrews();
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST((lastRefusal().reason == RefusalReason::QuotaExceeded));
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::NotRun));
    BOOST_TEST((lastRefusal().retryAfter >= Core::Millis(700)));
}

BOOST_AUTO_TEST_CASE(GivesThePermitBackWhenNoUpstreamRanTheRequest)
{
    forwarder.setUpstreams({}, {});
    sendAsCrews();
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::NotRun));
    BOOST_TEST(quotas->givenBack.size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsThePermitWhenTheRequestMayHaveRun)
{
    auto route = stockRoute();
    route.isIdempotent = false;
    configure(route);
    sendAsCrews();
    exchanges.end(0, ExchangeOutcome::Lost);
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::Unknown));
    BOOST_TEST(quotas->givenBack.empty());
}

BOOST_AUTO_TEST_CASE(GivesBackAPermitThatComesAfterTheDeadline)
{
    quotas->isSlow = true;
    sendAsCrews();
    time.runFor(Core::Millis(2500));
    BOOST_TEST((lastRefusal().outcome == Core::RunOutcome::NotRun));
    quotas->waiting.front()(Quotas::QuotaPermit { crews.id, {} });
    BOOST_TEST(exchanges.exchanges.empty());
    BOOST_TEST(quotas->givenBack.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
