#include "forwarderfixture.h"
#include "poolfixture.h"

using namespace ForwardingTest;
using Ports::ExchangeOutcome;

namespace {

struct LargeAnswer : ForwarderFixture {
    /// Sends a request to the only upstream, which delivers the head of its answer.
    auto startAnswer() -> void
    {
        send();
        time.runFor(Core::Millis(100));
        source = exchanges.deliverHead(0);
    }

    auto body() -> Ports::BodyStream&
    {
        BOOST_REQUIRE(replies.size() == 1U);
        return *std::get<Forwarding::StreamedAnswer>(replies.front()).body;
    }

    auto read() -> void
    {
        body().read([this](Core::Result<std::string> part) { parts.push_back(std::move(part)); });
    }

    auto failures(const std::string& outcome) const -> std::ptrdiff_t
    {
        return std::count_if(events.events.begin(), events.events.end(), [&](const Ports::Event& event) {
            return event.kind.value() == "exchange.failed"
                && std::any_of(event.fields.begin(), event.fields.end(),
                    [&](const Ports::EventField& field) { return field.value == outcome; });
        });
    }

    std::shared_ptr<ManualBody> source;
    std::vector<Core::Result<std::string>> parts;
};

struct BusyUpstream : PoolFixture {
    BusyUpstream() { list({ upstream("a1") }); }

    auto fill() -> std::vector<Forwarding::Choice>
    {
        std::vector<Forwarding::Choice> choices;
        while (const auto choice = choose("7"))
            choices.push_back(*choice);
        return choices;
    }

    auto reportOf(const Forwarding::Choice& choice) const -> Forwarding::ExchangeReport
    {
        Forwarding::ExchangeReport report;
        report.target = choice.target;
        report.exchange = choice.exchange;
        return report;
    }

    auto endBody(const Forwarding::Choice& choice) -> void
    {
        auto report = reportOf(choice);
        report.isBodyEnd = true;
        report.duration = Core::Millis(200);
        (void)pool.endExchange(report, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ALargeAnswer)

BOOST_FIXTURE_TEST_SUITE(WhoseHeadHasArrived, LargeAnswer)

BOOST_AUTO_TEST_CASE(IsDeliveredPartByPart)
{
    startAnswer();
    read();
    BOOST_TEST(parts.empty());
    source->deliver("first");
    BOOST_REQUIRE(parts.size() == 1U);
    BOOST_TEST(*parts.front() == "first");
    read();
    source->deliver("");
    BOOST_TEST(parts.back()->empty());
    BOOST_TEST(events.count("request.forwarded") == 1U);
    BOOST_TEST(events.count("exchange.failed") == 0U);
    time.runFor(Core::Millis(5000));
    BOOST_TEST(!source->isCancelled);
}

BOOST_AUTO_TEST_CASE(EndsTheOtherAttempts)
{
    send();
    time.runFor(Core::Millis(1500));
    BOOST_REQUIRE(exchanges.exchanges.size() == 2U);
    source = exchanges.deliverHead(1);
    BOOST_TEST(exchange(0).isCancelled);
    BOOST_TEST(!exchange(1).isCancelled);
    // The answer of the other crosses the cancellation.
    const auto late = exchanges.deliverHead(0);
    BOOST_TEST(late->isCancelled);
    BOOST_TEST(!source->isCancelled);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsNeverSentAgain)
{
    startAnswer();
    read();
    source->breakOff();
    time.runFor(Core::Millis(5000));
    BOOST_TEST(exchanges.exchanges.size() == 1U);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(EndsAtItsDeadline)
{
    startAnswer();
    read();
    time.runFor(Core::Millis(1800));
    BOOST_TEST(!source->isCancelled);
    time.runFor(Core::Millis(200));
    BOOST_TEST(source->isCancelled);
    source->breakOff();
    BOOST_TEST(!parts.back());
    BOOST_TEST(failures("cancelled") == 1);
}

BOOST_AUTO_TEST_CASE(EndsWhenItsCallerLeaves)
{
    startAnswer();
    body().cancel();
    BOOST_TEST(source->isCancelled);
    BOOST_TEST(failures("cancelled") == 1);
}

BOOST_AUTO_TEST_CASE(EndsAtOnceIfItsCallerLeftBefore)
{
    send()->abandon();
    BOOST_TEST(exchanges.deliverHead(0)->isCancelled);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatBreaksOff, LargeAnswer)

BOOST_AUTO_TEST_CASE(ReachesItsCallerAsBrokenAndCountsAgainstItsUpstream)
{
    const std::vector<std::pair<Core::ErrorKind, std::string>> cases { { Core::ErrorKind::Unreachable, "lost" },
        { Core::ErrorKind::InvalidMessage, "invalid" }, { Core::ErrorKind::Timeout, "timed-out" } };
    for (const auto& [kind, outcome] : cases) {
        replies.clear();
        send();
        source = exchanges.deliverHead(exchanges.exchanges.size() - 1);
        read();
        source->breakOff(kind);
        BOOST_TEST(!parts.back());
        BOOST_TEST(failures(outcome) == 1, outcome);
    }
}

BOOST_AUTO_TEST_CASE(CountsAgainstNobodyIfItsCallerWasSlow)
{
    startAnswer();
    read();
    source->deliver("first");
    time.runFor(Core::Millis(1200));
    read();
    source->breakOff();
    BOOST_TEST(!parts.back());
    BOOST_TEST(failures("cancelled") == 1);
    BOOST_TEST(exchanges.probes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OfABusyUpstream, BusyUpstream)

BOOST_AUTO_TEST_CASE(OccupiesItUntilItsBodyHasEnded)
{
    const auto choices = fill();
    BOOST_REQUIRE(!choices.empty());
    for (const auto& choice : choices)
        (void)pool.recordHead(reportOf(choice), now);
    BOOST_TEST(!choose("7"));
    endBody(choices.front());
    BOOST_TEST(choose("7").has_value());
}

BOOST_AUTO_TEST_CASE(IsNoSilence)
{
    const auto choice = choose("7");
    now += Core::Millis(100);
    (void)pool.recordHead(reportOf(*choice), now);
    now += Core::Millis(60'000);
    BOOST_TEST(!pool.isUnresponsive(choice->target, now));
    endBody(*choice);
}

BOOST_AUTO_TEST_CASE(TellsThatItsUpstreamIsLeavingBeforeItEnds)
{
    const auto choice = choose("7");
    auto head = reportOf(*choice);
    head.signals.isLeaving = true;
    BOOST_TEST(pool.recordHead(head, now).isLeaving);
    BOOST_TEST(!pool.acceptsRequests(choice->target, now));
    endBody(*choice);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AShortageOfTheVm)

BOOST_FIXTURE_TEST_SUITE(ThatKeepsARequestFromBeingSent, ForwarderFixture)

BOOST_AUTO_TEST_CASE(IsAnsweredAsNotRunAndCountsAgainstNoUpstream)
{
    auto route = stockRoute();
    route.isIdempotent = false;
    configure(route);
    for (int number = 0; number < 20; ++number) {
        replies.clear();
        send();
        while (replies.empty())
            exchanges.end(exchanges.exchanges.size() - 1, ExchangeOutcome::OwnShortage);
        BOOST_TEST((refusal().outcome == Core::RunOutcome::NotRun));
    }
    BOOST_TEST(exchanges.probes == 0U);
    replies.clear();
    send();
    exchanges.end(exchanges.exchanges.size() - 1, ExchangeOutcome::Answered);
    BOOST_TEST(isAnswered());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DuringAHealthCheck, PoolFixture)

BOOST_AUTO_TEST_CASE(DoesNotExcludeTheUpstream)
{
    list({ upstream("a1") });
    pool.markAllUnverified();
    for (int round = 0; round < 8; ++round) {
        now += Core::Millis(2000);
        for (const auto& target : pool.takeDueProbes(now))
            BOOST_TEST(!pool.recordProbe(target, Core::fail(Core::ErrorKind::Internal, "no descriptor", "none"), now));
    }
    BOOST_TEST(choose("7").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
