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

    auto expire() -> void
    {
        registry.remove(Core::UpstreamId("a1"));
        registry.commit();
    }

    TestSupport::VirtualTime time;
    EventRecorder events;
    Forwarding::UpstreamEntries known;
    Forwarding::UpstreamRegistry registry { { time, time, events },
        [this](const Forwarding::UpstreamEntries& entries) { known = entries; } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnUpstreamsEntry, AListedUpstream)

BOOST_AUTO_TEST_SUITE(ThatIsRemovedWhileTheStoreIsReachable)

BOOST_AUTO_TEST_CASE(IsGone)
{
    expire();
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatExpiresWhileTheStoreIsUnreachable)

BOOST_AUTO_TEST_CASE(IsKeptUntilTheStoreIsReachable)
{
    registry.storeLost();
    expire();
    time.runFor(Core::Millis(60'000));
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsKeptWhenItIsListedAgainAfterwards)
{
    registry.storeLost();
    expire();
    registry.storeRegained();
    time.runFor(Core::Millis(1500));
    registry.upsert(upstream("a1"));
    registry.commit();
    time.runFor(Core::Millis(10'000));
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsGoneWhenItIsStillMissingTwoSecondsLater)
{
    registry.storeLost();
    expire();
    registry.storeRegained();
    time.runFor(Core::Millis(1900));
    BOOST_TEST(known.size() == 1U);
    // A repeated report, relayed by another entry VM, does not extend the grace period.
    registry.storeRegained();
    time.runFor(Core::Millis(200));
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_CASE(IsGoneAtOnceWhenTheUpstreamWasDraining)
{
    auto draining = upstream("a1");
    draining.isDraining = true;
    registry.upsert(draining);
    registry.storeLost();
    expire();
    BOOST_TEST(known.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsNewToTheProcess)

BOOST_AUTO_TEST_CASE(IsTrustedFromAFreshList) { BOOST_TEST(!known.at(Core::UpstreamId("a1")).mayBeOutdated); }

BOOST_AUTO_TEST_CASE(IsMarkedAsPossiblyOutdatedWhenTheListMayBeStale)
{
    registry.replaceAll({ upstream("a1"), upstream("a2") }, true);
    registry.commit();
    BOOST_TEST(!known.at(Core::UpstreamId("a1")).mayBeOutdated);
    BOOST_TEST(known.at(Core::UpstreamId("a2")).mayBeOutdated);
}

BOOST_AUTO_TEST_CASE(IsMarkedAsPossiblyOutdatedDuringAnOutageOfTheStoreAndRightAfterIt)
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
