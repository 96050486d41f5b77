#include "cbor/cbor.h"
#include "fakes/virtualworld.h"
#include "forwarding/noticeoutbox.h"
#include "noticepeer/noticepeer.h"

#include <boost/test/unit_test.hpp>

namespace {

auto noticeAbout(const std::string& upstream, bool isHealthy = false) -> Forwarding::UpstreamNotice
{
    return { Core::ServiceId("stock"), Core::UpstreamId(upstream), isHealthy, {} };
}

struct TwoEntryVms {
    TwoEntryVms()
    {
        NoticePeer::registerNoticeHandler(two, [this](const Forwarding::UpstreamNotices& notices) {
            ++messages;
            received.insert(received.end(), notices.begin(), notices.end());
        });
    }

    Fakes::VirtualWorld world { 1 };
    Fakes::VirtualNode one { world, Core::Address("one") };
    Fakes::VirtualNode two { world, Core::Address("two") };
    NoticePeer::NoticePeer notices { one };
    Forwarding::NoticeOutbox outbox { { world, one, notices,
        [] { return std::vector<Core::Address> { Core::Address("two") }; } } };
    int messages = 0;
    Forwarding::UpstreamNotices received;
    const Forwarding::UpstreamNotice cold { Core::ServiceId("stock"), Core::UpstreamId("u1"), true,
        Core::Millis(1500) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ANoticeOfAnUpstream, TwoEntryVms)

BOOST_AUTO_TEST_CASE(IsDeliveredUnchanged)
{
    outbox.add(cold);
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
    outbox.add(cold);
    world.runFor(Core::Millis(300));
    world.heal();
    world.runFor(Core::Millis(200));
    BOOST_REQUIRE(received.size() == 1U);
    // The upstream has become warmer since.
    BOOST_TEST(received.front().coldRemaining < cold.coldRemaining);
}

BOOST_AUTO_TEST_CASE(IsDroppedAfterThreeAttempts)
{
    world.cut(Core::Address("one"), Core::Address("two"));
    outbox.add(cold);
    world.runFor(Core::Millis(5000));
    BOOST_TEST(world.traffic().messages == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AMalformedNotice, TwoEntryVms)

BOOST_AUTO_TEST_CASE(IsRefusedAndEndsNothing)
{
    constexpr std::size_t deep = 1'000'000;
    constexpr char arrayOfOne = '\x81';
    const auto tooLong = std::chrono::duration_cast<Core::Duration>(std::chrono::hours(1000)).count();
    const std::vector<std::string> payloads { std::string(deep, arrayOfOne), "\xff", "",
        Cbor::pack({ { "stock", "u1", true, "soon" } }), Cbor::pack({ { "stock", "u1", true, tooLong } }),
        Cbor::pack({ { "stock", "u1", true, -1 } }), Cbor::pack({ { "stock", "u1" } }) };
    int refused = 0;
    for (const auto& payload : payloads) {
        one.call(Core::Address("two"), { "upstream.notices", payload }, Core::Millis(300),
            [&refused](const Core::Result<std::string>& reply) { refused += reply ? 0 : 1; });
    }
    world.runFor(Core::Millis(500));
    BOOST_TEST(refused == static_cast<int>(payloads.size()));
    BOOST_TEST(received.empty());
    outbox.add(cold);
    world.runFor(Core::Millis(500));
    BOOST_TEST(received.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ManyNotices, TwoEntryVms)

BOOST_AUTO_TEST_CASE(GoInOneMessageForEachInterval)
{
    outbox.add(noticeAbout("first"));
    world.runFor(Core::Millis(10));
    BOOST_TEST(messages == 1);
    for (int number = 0; number < 100; ++number)
        outbox.add(noticeAbout("u" + std::to_string(number)));
    world.runFor(Core::Millis(100));
    BOOST_TEST(messages == 1);
    world.runFor(Core::Millis(200));
    BOOST_TEST(messages == 2);
    BOOST_TEST(received.size() == 101U);
    world.runFor(Core::Millis(2000));
    BOOST_TEST(messages == 2);
}

BOOST_AUTO_TEST_CASE(AboutOneUpstreamAreReplacedByTheNewest)
{
    outbox.add(noticeAbout("first"));
    world.runFor(Core::Millis(10));
    outbox.add(noticeAbout("u1", false));
    outbox.add(noticeAbout("u1", true));
    world.runFor(Core::Millis(1000));
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_TEST(received.back().isHealthy);
}

BOOST_AUTO_TEST_CASE(WaitForTheReplyOfASlowPeer)
{
    world.pause(Core::Address("two"));
    for (int number = 0; number < 20; ++number) {
        outbox.add(noticeAbout("u" + std::to_string(number)));
        world.runFor(Core::Millis(50));
    }
    // One message at a time, each until its timeout, where every notice was sent by itself and repeated.
    BOOST_TEST(world.traffic().messages <= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
