#include "poolfixture.h"

using namespace ForwardingTest;

BOOST_AUTO_TEST_SUITE(AnObject)

BOOST_FIXTURE_TEST_SUITE(InARegionWithEnoughCapacity, TwoRegions)

BOOST_AUTO_TEST_CASE(StaysAtOneUpstream)
{
    for (const auto* object : { "1", "2", "3", "4", "5" })
        BOOST_TEST(chosenUpstreams(object, 20).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaysInTheRegionThatAsksForIt)
{
    for (const auto* object : { "1", "2", "3", "4", "5" })
        BOOST_TEST(chosenUpstreams(object, 1).begin()->starts_with("a"));
}

BOOST_AUTO_TEST_CASE(MovesToTheNextWhenItsUpstreamDrains)
{
    const auto first = *chosenUpstreams("1", 3).begin();
    auto entries = std::vector { upstream("a1"), upstream("a2", "atl-b"), upstream("s1", "sav-a", "sav") };
    for (auto& entry : entries)
        entry.isDraining = entry.target.id.value() == first;
    list(entries);
    const auto next = chosenUpstreams("1", 3);
    BOOST_TEST(next.size() == 1U);
    BOOST_TEST(!next.contains(first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InARegionWithLessThanItsShareOfSlots, PoolFixture)

BOOST_AUTO_TEST_CASE(IsAssignedToARegionByItsKeyAlone)
{
    list({ upstream("a1"), upstream("s1", "sav-a", "sav"), upstream("s2", "sav-a", "sav"),
        upstream("s3", "sav-b", "sav") });
    std::size_t local = 0;
    constexpr int objects = 60;
    for (int object = 0; object < objects; ++object) {
        const auto upstreams = chosenUpstreams(std::to_string(object), 2);
        BOOST_TEST(upstreams.size() == 1U);
        local += upstreams.begin()->starts_with("a") ? 1 : 0;
    }
    // The local region has one of four upstreams, half of the fair share of one of two regions, and so keeps half of
    // the objects.
    BOOST_TEST(local > objects / 4);
    BOOST_TEST(local < objects * 3 / 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsRequestedMoreOftenThanOneUpstreamCanServe, TwoRegions)

BOOST_AUTO_TEST_CASE(IsReplicatedToFurtherUpstreams)
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

BOOST_AUTO_TEST_CASE(IsRefusedWhenAllItsUpstreamsAreFull)
{
    int started = 0;
    while (choose("1"))
        ++started;
    const auto refused = choose("1");
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().reason == Forwarding::ChoiceFailureReason::Busy));
    // Four slots and as many queued requests at each of at most three replicas.
    BOOST_TEST(started <= 8 * 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamAmongOthers)

BOOST_FIXTURE_TEST_SUITE(OfAnEvacuatedFailureDomain, TwoRegions)

BOOST_AUTO_TEST_CASE(GetsNothing)
{
    list({ upstream("a1"), upstream("s1", "sav-a", "sav") }, { Core::FailureDomainId("atl-a") });
    for (const auto* object : { "1", "2", "3" })
        BOOST_TEST(chosenUpstreams(object, 2) == std::set<std::string> { "s1" });
}

BOOST_AUTO_TEST_CASE(IsProbedBeforeItServesAgainBecauseItMayBeCold)
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

BOOST_FIXTURE_TEST_SUITE(WhoseMachineIsSlowNow, PoolFixture)

auto reportWorkTime(PoolFixture& fixture, const Forwarding::Choice& choice, std::uint32_t percent) -> void
{
    Forwarding::ExchangeReport report;
    report.target = choice.target;
    report.exchange = choice.exchange;
    report.duration = Core::Millis(200);
    report.load = Ports::ReportedLoad { 1, 0, Core::SlotCount(4), Core::Percent(percent) };
    fixture.pool.endExchange(report, fixture.now);
}

BOOST_AUTO_TEST_CASE(LeavesRequestsToOthersWhileItIsSlow)
{
    list({ upstream("a1"), upstream("a2") });
    const auto slow = choose("");
    BOOST_REQUIRE(slow);
    reportWorkTime(*this, *slow, 400);
    for (int request = 0; request < 3; ++request) {
        const auto choice = choose("");
        BOOST_REQUIRE(choice);
        BOOST_TEST((choice->target.id != slow->target.id));
        end(*choice, "");
    }
}

BOOST_AUTO_TEST_CASE(IsUsedAsBeforeWhenTheReportIsOld)
{
    list({ upstream("a1") });
    const auto slow = choose("");
    BOOST_REQUIRE(slow);
    reportWorkTime(*this, *slow, 400);
    const auto predictedNow = choose("");
    BOOST_REQUIRE(predictedNow);
    end(*predictedNow, "");
    now += Core::Millis(3000);
    const auto predictedLater = choose("");
    BOOST_REQUIRE(predictedLater);
    BOOST_TEST(predictedNow->predicted > predictedLater->predicted * 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InARegionThatIsNoHome, PoolFixture)

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
