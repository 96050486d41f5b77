#include "fakes.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace ForwardingTest;

namespace {

struct APool {
    APool() { pool.setSettings({ "/health", Core::Millis(3000), 4 }); }

    auto list(std::vector<Forwarding::UpstreamEntry> entries, const Forwarding::EvacuatedDomains& evacuated = {})
        -> void
    {
        pool.update(entries, evacuated, now);
    }

    auto query(const std::string& object) -> Forwarding::ChoiceQuery
    {
        Forwarding::ChoiceQuery query;
        query.request = Core::RequestId("r" + std::to_string(requests++));
        query.object = Forwarding::ObjectKey(object);
        query.timeLeft = Core::Millis(2000);
        query.targetLatency = Core::Millis(400);
        return query;
    }

    auto choose(const std::string& object) -> Forwarding::ChoiceResult { return pool.choose(query(object), now); }

    auto end(const Forwarding::Choice& choice, const std::string& object,
        Ports::ExchangeOutcome outcome = Ports::ExchangeOutcome::Answered) -> void
    {
        Forwarding::ExchangeReport report;
        report.target = choice.target;
        report.object = Forwarding::ObjectKey(object);
        report.outcome = outcome;
        report.duration = Core::Millis(200);
        report.familiarity = choice.familiarity;
        pool.end(report, now);
    }

    /// Upstreams that a run of requests for the object met, each ended before the next.
    auto met(const std::string& object, int count) -> std::set<std::string>
    {
        std::set<std::string> ids;
        for (int request = 0; request < count; ++request) {
            now += Core::Millis(250);
            const auto choice = choose(object);
            BOOST_REQUIRE(choice);
            ids.insert(choice->target.id.value());
            end(*choice, object);
        }
        return ids;
    }

    Core::Instant now { Core::Millis(10'000) };
    OneEntryVm entryVms;
    int requests = 0;
    Forwarding::ServicePool pool { stock, { here, entryVms, {} } };
};

struct TwoRegions : APool {
    TwoRegions()
    {
        list({ upstream("a1"), upstream("a2", "atl-b"), upstream("s1", "sav-a", "sav"),
            upstream("s2", "sav-b", "sav") });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnObject)

BOOST_FIXTURE_TEST_SUITE(InACalmRegion, TwoRegions)

BOOST_AUTO_TEST_CASE(StaysAtOneUpstream)
{
    for (const auto* object : { "1", "2", "3", "4", "5" })
        BOOST_TEST(met(object, 20).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaysInTheRegionThatAsksForIt)
{
    for (const auto* object : { "1", "2", "3", "4", "5" })
        BOOST_TEST(met(object, 1).begin()->starts_with("a"));
}

BOOST_AUTO_TEST_CASE(LeavesForTheNextWhenItsUpstreamDrains)
{
    const auto first = *met("1", 3).begin();
    auto entries = std::vector { upstream("a1"), upstream("a2", "atl-b"), upstream("s1", "sav-a", "sav") };
    for (auto& entry : entries)
        entry.isDraining = entry.target.id.value() == first;
    list(entries);
    const auto next = met("1", 3);
    BOOST_TEST(next.size() == 1U);
    BOOST_TEST(!next.contains(first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InARegionWithLessThanItsShareOfSlots, APool)

BOOST_AUTO_TEST_CASE(StaysOrLeavesByItsNameAlone)
{
    list({ upstream("a1"), upstream("s1", "sav-a", "sav"), upstream("s2", "sav-a", "sav"),
        upstream("s3", "sav-b", "sav") });
    std::size_t local = 0;
    constexpr int objects = 60;
    for (int object = 0; object < objects; ++object) {
        const auto upstreams = met(std::to_string(object), 2);
        BOOST_TEST(upstreams.size() == 1U);
        local += upstreams.begin()->starts_with("a") ? 1 : 0;
    }
    // One of four upstreams, for one of two regions: half of the objects.
    BOOST_TEST(local > objects / 4);
    BOOST_TEST(local < objects * 3 / 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsAskedForMoreThanOneUpstreamCanServe, TwoRegions)

BOOST_AUTO_TEST_CASE(IsBroughtToFurtherOnesInTheEnd)
{
    std::set<std::string> upstreams;
    for (int round = 0; round < 200; ++round) {
        now += Core::Millis(200);
        std::vector<Forwarding::Choice> choices;
        for (int request = 0; request < 7; ++request) {
            if (const auto choice = choose("1"))
                choices.push_back(*choice);
        }
        for (const auto& choice : choices) {
            upstreams.insert(choice.target.id.value());
            end(choice, "1");
        }
    }
    BOOST_TEST(upstreams.size() > 1U);
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenAllItMayGoToAreFull)
{
    int started = 0;
    while (choose("1"))
        ++started;
    const auto refused = choose("1");
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().reason == Forwarding::NoChoiceReason::Busy));
    // Four slots and as many waiting at each upstream that it may be at.
    BOOST_TEST(started <= 8 * 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstream)

BOOST_FIXTURE_TEST_SUITE(ThatIsCold, APool)

BOOST_AUTO_TEST_CASE(GetsFourRequestsASecondFromItsOwner)
{
    auto cold = upstream("a1");
    cold.coldUntil = now + Core::Millis(3000);
    list({ cold });
    int taken = 0;
    for (int tick = 0; tick < 100; ++tick) {
        now += Core::Millis(10);
        if (const auto choice = choose("1")) {
            ++taken;
            end(*choice, "1");
        }
    }
    BOOST_TEST(taken >= 4);
    BOOST_TEST(taken <= 5);
}

BOOST_AUTO_TEST_CASE(LeavesTheRestOfItsRequestsToOthers)
{
    auto cold = upstream("a1");
    cold.coldUntil = now + Core::Millis(3000);
    list({ cold, upstream("a2") });
    for (int request = 0; request < 40; ++request) {
        now += Core::Millis(20);
        const auto object = std::to_string(request % 8);
        const auto choice = choose(object);
        BOOST_REQUIRE(choice);
        end(*choice, object);
    }
}

BOOST_AUTO_TEST_CASE(GetsNoneFromOtherEntryVms)
{
    entryVms.ownsColdUpstreams = false;
    auto cold = upstream("a1");
    cold.coldUntil = now + Core::Millis(3000);
    list({ cold });
    BOOST_TEST(!choose("1"));
    now += Core::Millis(3000);
    BOOST_TEST(choose("1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OfAnEvacuatedFailureDomain, TwoRegions)

BOOST_AUTO_TEST_CASE(GetsNothing)
{
    list({ upstream("a1"), upstream("s1", "sav-a", "sav") }, { Core::FailureDomainId("atl-a") });
    for (const auto* object : { "1", "2", "3" })
        BOOST_TEST(met(object, 2) == std::set<std::string> { "s1" });
}

BOOST_AUTO_TEST_CASE(IsAskedWhetherItIsColdBeforeItServesAgain)
{
    list({ upstream("a1") }, { Core::FailureDomainId("atl-a") });
    list({ upstream("a1") });
    BOOST_TEST(!choose("1"));
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, true, Core::Millis(500), {} }, now);
    BOOST_TEST(choose("1").has_value());
    BOOST_TEST(!choose("1"));
    now += Core::Millis(600);
    BOOST_TEST(choose("1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatFails, APool)

BOOST_AUTO_TEST_CASE(GetsNothingUntilItsHealthIsGood)
{
    list({ upstream("a1") });
    for (int failure = 0; failure < 2; ++failure) {
        const auto choice = choose("1");
        BOOST_REQUIRE(choice);
        end(*choice, "1", Ports::ExchangeOutcome::TimedOut);
    }
    BOOST_TEST(!choose("1"));
    now += Core::Millis(400);
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, true, {}, {} }, now);
    BOOST_TEST(choose("1").has_value());
}

BOOST_AUTO_TEST_CASE(IsAskedWhenAConnectionEndedSinceItMayHaveStartedAgain)
{
    list({ upstream("a1") });
    end(*choose("1"), "1", Ports::ExchangeOutcome::Lost);
    BOOST_TEST(choose("1").has_value());
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, true, Core::Millis(3000), {} }, now);
    entryVms.ownsColdUpstreams = false;
    BOOST_TEST(!choose("1"));
}

BOOST_AUTO_TEST_CASE(GetsOneRequestAtATimeUntilItIsAskedWhenTheListIsStale)
{
    for (const auto outcome : { Ports::ExchangeOutcome::Lost, Ports::ExchangeOutcome::NotSent }) {
        list({});
        list({ upstream("a1") });
        const auto first = choose("1");
        const auto second = choose("1");
        pool.setListStale(true);
        end(*first, "1", outcome);
        BOOST_TEST(!choose("1"));
        end(*second, "1");
        const auto due = pool.takeDueProbes(now);
        BOOST_REQUIRE(due.size() == 1U);
        pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, true, {}, {} }, now);
        BOOST_TEST(choose("1").has_value());
        BOOST_TEST(choose("1").has_value());
        pool.setListStale(false);
    }
}

BOOST_AUTO_TEST_CASE(IsAskedWhenAStaleListHasNotBeenConfirmedByAnAnswer)
{
    list({ upstream("a1") });
    pool.setListStale(true);
    BOOST_TEST(choose("1").has_value());
    BOOST_TEST(!choose("1"));
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    // A full or leaving upstream answers that it is not well: it has not started again.
    pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, false, {}, {} }, now);
    BOOST_TEST(choose("1").has_value());
}

BOOST_AUTO_TEST_CASE(IsAskedAgainWhenTheAnswerIsOld)
{
    list({ upstream("a1") });
    pool.doubtAll();
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    now += Core::Millis(5000);
    pool.recordProbe(due.front(), Ports::HealthReport { due.front().id, true, {}, {} }, now);
    BOOST_TEST(pool.takeDueProbes(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsLeftAloneWhenAnotherEntryVmFoundItDown)
{
    list({ upstream("a1") });
    pool.learn({ stock, Core::UpstreamId("a1"), false, {} }, now);
    BOOST_TEST(!choose("1"));
    BOOST_TEST(pool.takeDueProbes(now).empty());
    pool.learn({ stock, Core::UpstreamId("a1"), true, Core::Millis(3000) }, now);
    BOOST_TEST(pool.takeDueProbes(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsNewsForOthersOnceWhenItIsDownAndOnceWhenItIsBack)
{
    list({ upstream("a1") });
    const auto ask = [this](const Core::Result<Ports::HealthReport>& report) {
        const auto due = pool.takeDueProbes(now);
        return due.size() == 1U && pool.recordProbe(due.front(), report, now);
    };
    const Core::Result<Ports::HealthReport> down = Core::fail(Core::ErrorKind::Unreachable, "refused", "ask again");
    const Ports::HealthReport well { Core::UpstreamId("a1"), true, {}, {} };
    pool.doubtAll();
    BOOST_TEST(ask(down));
    now += Core::Millis(3000);
    BOOST_TEST(!ask(down));
    now += Core::Millis(3000);
    BOOST_TEST(ask(well));
    pool.doubtAll();
    BOOST_TEST(!ask(well));
}

BOOST_AUTO_TEST_CASE(IsNotTakenForWellWhenAnotherHasItsAddress)
{
    list({ upstream("a1") });
    const auto choice = choose("1");
    BOOST_REQUIRE(choice);
    end(*choice, "1", Ports::ExchangeOutcome::Misdirected);
    now += Core::Millis(400);
    const auto due = pool.takeDueProbes(now);
    BOOST_REQUIRE(due.size() == 1U);
    pool.recordProbe(due.front(), Ports::HealthReport { Core::UpstreamId("other"), true, {}, {} }, now);
    BOOST_TEST(!choose("1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatStartsAgainUnderItsId, APool)

BOOST_AUTO_TEST_CASE(IsAnotherOneThatIsCold)
{
    list({ upstream("a1") });
    BOOST_TEST(met("1", 2).size() == 1U);
    auto restarted = upstream("a1");
    restarted.target.start = Core::StartMark(2);
    restarted.coldUntil = now + Core::Millis(3000);
    list({ restarted });
    const auto choice = choose("1");
    BOOST_REQUIRE(choice);
    BOOST_TEST((choice->target.start == Core::StartMark(2)));
    BOOST_TEST(!choose("1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InARegionThatIsNoHome, APool)

BOOST_AUTO_TEST_CASE(GetsNothing)
{
    list({ upstream("a1"), upstream("s1", "sav-a", "sav") });
    const std::vector<Core::RegionId> homes { Core::RegionId("sav") };
    auto atHome = query("1");
    atHome.homes = &homes;
    const auto choice = pool.choose(atHome, now);
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->target.id.value() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
