#include "fakes.h"
#include "forwarding/upstreamregistry.h"

#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;

namespace {

struct AListedUpstream {
    AListedUpstream()
    {
        registry.replaceAll({ upstream("a1") });
        registry.commit();
    }

    auto lapse() -> void
    {
        registry.remove(Core::UpstreamId("a1"));
        registry.commit();
    }

    TestSupport::VirtualTime time;
    EventBook events;
    Forwarding::UpstreamEntries known;
    Forwarding::UpstreamRegistry registry { { time, time, events },
        [this](const Forwarding::UpstreamEntries& entries) { known = entries; } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnUpstreamsEntry, AListedUpstream)

BOOST_AUTO_TEST_SUITE(ThatGoesWhileTheStoreAnswers)

BOOST_AUTO_TEST_CASE(IsGone)
{
    lapse();
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatLapsesWhileTheStoreIsAway)

BOOST_AUTO_TEST_CASE(StaysUntilTheStoreReturns)
{
    registry.storeLost();
    lapse();
    time.runFor(Core::Millis(60'000));
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaysWhenItIsListedAgainAfterTheReturn)
{
    registry.storeLost();
    lapse();
    registry.storeRegained();
    time.runFor(Core::Millis(1500));
    registry.upsert(upstream("a1"));
    registry.commit();
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsGoneWhenItIsStillMissingTwoSecondsAfterTheReturn)
{
    registry.storeLost();
    lapse();
    registry.storeRegained();
    time.runFor(Core::Millis(1900));
    BOOST_TEST(known.size() == 1U);
    // Another entry VM's copy tells of the return again; the time runs on.
    registry.storeRegained();
    time.runFor(Core::Millis(200));
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_CASE(IsGoneAtOnceWhenItHadAnnouncedItsLeaving)
{
    auto draining = upstream("a1");
    draining.isDraining = true;
    registry.upsert(draining);
    registry.storeLost();
    lapse();
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsNewToTheProcess)

BOOST_AUTO_TEST_CASE(IsTakenAsItIsFromAFreshList) { BOOST_TEST(!known.at(Core::UpstreamId("a1")).mayBeOutdated); }

BOOST_AUTO_TEST_CASE(IsCheckedFirstWhenTheListMayBeStale)
{
    registry.replaceAll({ upstream("a1"), upstream("a2") }, true);
    registry.commit();
    BOOST_TEST(!known.at(Core::UpstreamId("a1")).mayBeOutdated);
    BOOST_TEST(known.at(Core::UpstreamId("a2")).mayBeOutdated);
}

BOOST_AUTO_TEST_CASE(IsCheckedFirstWhileTheStoreIsAwayAndRightAfterItsReturn)
{
    registry.storeLost();
    registry.upsert(upstream("a2"));
    registry.storeRegained();
    registry.upsert(upstream("a3"));
    registry.commit();
    BOOST_TEST(known.at(Core::UpstreamId("a2")).mayBeOutdated);
    BOOST_TEST(known.at(Core::UpstreamId("a3")).mayBeOutdated);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
