#include "fakes/virtualworld.h"
#include "noticepeer/noticepeer.h"

#include <boost/test/unit_test.hpp>

namespace {

struct TwoEntryVms {
    TwoEntryVms()
    {
        NoticePeer::registerNoticeHandler(
            two, [this](const Forwarding::UpstreamNotice& notice) { received.push_back(notice); });
    }

    Fakes::VirtualWorld world { 1 };
    Fakes::VirtualNode one { world, Core::Address("one") };
    Fakes::VirtualNode two { world, Core::Address("two") };
    NoticePeer::NoticePeer notices { one };
    std::vector<Forwarding::UpstreamNotice> received;
    const Forwarding::UpstreamNotice cold { Core::ServiceId("stock"), Core::UpstreamId("u1"), true,
        Core::Millis(1500) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ANoticeOfAnUpstream, TwoEntryVms)

BOOST_AUTO_TEST_CASE(IsDeliveredUnchanged)
{
    notices.send(Core::Address("two"), cold);
    world.runFor(Core::Millis(100));
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received.front().service == cold.service);
    BOOST_TEST(received.front().upstream == cold.upstream);
    BOOST_TEST(received.front().isHealthy);
    BOOST_TEST(received.front().coldRemaining.count() == cold.coldRemaining.count());
}

BOOST_AUTO_TEST_CASE(IsRetriedWhenItIsLost)
{
    world.cut(Core::Address("one"), Core::Address("two"));
    notices.send(Core::Address("two"), cold);
    world.runFor(Core::Millis(300));
    world.heal();
    world.runFor(Core::Millis(200));
    BOOST_TEST(received.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsDroppedAfterThreeAttempts)
{
    world.cut(Core::Address("one"), Core::Address("two"));
    notices.send(Core::Address("two"), cold);
    world.runFor(Core::Millis(5000));
    BOOST_TEST(world.traffic().messages == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
