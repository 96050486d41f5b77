#include "cbor/cbor.h"
#include "crashreportpeer/quarantinepeer.h"
#include "crashreports/quarantinesync.h"
#include "fakes/virtualworld.h"
#include "fakes/worldrandom.h"

#include <boost/test/unit_test.hpp>

namespace {

using CrashReports::QuarantinePage;
using CrashReports::QuarantineSync;
using Dispatch::RequestFingerprint;

const Dispatch::QuarantineDigest foreignDigest { 77 };

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

auto report(std::uint64_t number) -> Dispatch::CrashReport
{
    return { { number, number }, { Core::UpstreamId("u1"), Core::UpstreamId("u2") } };
}

auto reports(std::uint64_t first, std::uint64_t end) -> std::vector<Dispatch::CrashReport>
{
    std::vector<Dispatch::CrashReport> reports;
    for (auto number = first; number < end; ++number)
        reports.push_back(report(number));
    return reports;
}

/// Report of a request that has crashed a second upstream now, minutes after the first.
auto oldReport(std::uint64_t number) -> Dispatch::CrashReport
{
    auto crashes = report(number);
    crashes.firstAge = std::chrono::minutes(5);
    return crashes;
}

/// Entry VM with nothing but its quarantine.
struct Vm {
    Vm(Fakes::VirtualWorld& world, const std::string& name)
        : address(name)
        , node(world, address)
        , random(world)
        , sync({ world, node, random, events, peer, quarantine })
    {
        CrashReportPeer::registerQuarantineHandler(node, [this](const auto& after) { return sync.page(after); });
    }

    const Core::Address address;
    Fakes::VirtualNode node;
    Fakes::WorldRandom random;
    NullEventSink events;
    CrashReportPeer::QuarantinePeer peer { node };
    Dispatch::RequestQuarantine quarantine;
    QuarantineSync sync;
};

struct TwoVms {
    /// Tells the other VM the digest, as often as heartbeats do.
    auto compareFor(Core::Duration time) -> void
    {
        constexpr Core::Millis heartbeatInterval { 700 };
        for (const auto end = world.now() + time; world.now() < end; world.runFor(heartbeatInterval))
            other.sync.receive(one.address, one.sync.digest());
    }

    /// Has the first VM find a request that crashes two upstreams, minutes apart.
    auto findOverALongTime() -> void
    {
        world.runFor(std::chrono::minutes(10));
        one.quarantine.merge({ oldReport(1) }, world.now());
    }

    [[nodiscard]] auto isAlike() -> bool { return one.sync.digest() == other.sync.digest(); }

    Fakes::VirtualWorld world { 1 };
    Vm one { world, "one" };
    Vm other { world, "other" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmWithOtherQuarantinedRequests, TwoVms)

BOOST_AUTO_TEST_SUITE(ThatLacksSome)

BOOST_AUTO_TEST_CASE(TakesThemOver)
{
    one.quarantine.merge(reports(0, 3), world.now());
    other.quarantine.merge(reports(3, 5), world.now());
    compareFor(std::chrono::seconds(1));
    BOOST_TEST(other.sync.requests() == 5U);
}

BOOST_AUTO_TEST_CASE(TakesThemOverPageByPage)
{
    constexpr auto count = 5 * QuarantinePage::maximumReports + 1;
    one.quarantine.merge(reports(0, count), world.now());
    compareFor(std::chrono::seconds(4));
    BOOST_TEST(isAlike());
    BOOST_TEST(other.sync.counts().fetched == 6U);
}

BOOST_AUTO_TEST_CASE(RefusesThemNoLongerThanTheOther)
{
    const auto end = world.now() + Dispatch::RequestQuarantine::quarantineTime;
    one.quarantine.merge(reports(0, 1), world.now());
    world.runFor(std::chrono::minutes(30));
    world.setFaults({ 0, 0, Core::Millis(100), Core::Millis(100) });
    compareFor(std::chrono::seconds(1));
    BOOST_TEST(other.quarantine.isQuarantined({ 0, 0 }, end - Core::Millis(101)));
    BOOST_TEST(!other.quarantine.isQuarantined({ 0, 0 }, end));
}

BOOST_AUTO_TEST_CASE(AsksAgainIfNothingComesBack)
{
    one.quarantine.merge(reports(0, 1), world.now());
    world.cut(one.address, other.address);
    compareFor(std::chrono::seconds(3));
    world.heal();
    compareFor(std::chrono::seconds(2));
    BOOST_TEST(isAlike());
}

BOOST_AUTO_TEST_SUITE_END()

/// A seed of tst_forwardingsoak: what one VM refused wrongly was refused by all, restarts included, and kept up.
BOOST_AUTO_TEST_SUITE(ThatAnotherVmAloneHasFoundOverALongTime)

BOOST_AUTO_TEST_CASE(LeavesThemToThatOneIfItWasThereAllTheTime)
{
    findOverALongTime();
    compareFor(std::chrono::seconds(10));
    BOOST_TEST(other.sync.requests() == 0U);
    BOOST_TEST(other.sync.counts().fetched == 1U);
}

BOOST_AUTO_TEST_CASE(TakesThemOverIfItWasPausedMeanwhile)
{
    findOverALongTime();
    compareFor(std::chrono::seconds(10));
    other.sync.catchUp();
    compareFor(std::chrono::seconds(2));
    BOOST_TEST(isAlike());
}

BOOST_AUTO_TEST_CASE(TakesThemOverFromOneOnlyAfterAPause)
{
    findOverALongTime();
    Vm third { world, "third" };
    third.quarantine.merge({ oldReport(2) }, world.now());
    other.sync.catchUp();
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        other.sync.receive(one.address, one.sync.digest());
        other.sync.receive(third.address, third.sync.digest());
        world.runFor(Core::Millis(700));
    }
    BOOST_TEST(other.sync.requests() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatLacksNone)

BOOST_AUTO_TEST_CASE(AsksOnce)
{
    one.quarantine.merge(reports(0, 1), world.now());
    other.quarantine.merge(reports(0, 2), world.now());
    compareFor(std::chrono::seconds(10));
    BOOST_TEST(other.sync.counts().fetched == 1U);
}

BOOST_AUTO_TEST_CASE(AsksNobodyWhoHasTheSame)
{
    one.quarantine.merge(reports(0, 2), world.now());
    other.quarantine.merge(reports(0, 2), world.now());
    compareFor(std::chrono::seconds(10));
    BOOST_TEST(other.sync.counts().fetched == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InALargeFleet)

BOOST_AUTO_TEST_CASE(AsksNoMoreOftenThanInASmallOne)
{
    constexpr int seconds = 10;
    constexpr int heartbeatsPerMilli = 10;
    for (int milli = 0; milli < 1000 * seconds; ++milli) {
        for (int heartbeat = 0; heartbeat < heartbeatsPerMilli; ++heartbeat) {
            const auto sender = Core::Address("vm-" + std::to_string(heartbeat));
            other.sync.receive(sender, Dispatch::QuarantineDigest(foreignDigest.value() + world.below(1000)));
        }
        world.runFor(Core::Millis(1));
    }
    const auto most = std::chrono::seconds(seconds) / QuarantineSync::fetchInterval;
    BOOST_TEST(other.sync.counts().fetched <= static_cast<std::uint64_t>(most));
}

BOOST_AUTO_TEST_CASE(AnswersNoMoreThanABoundedNumber)
{
    one.quarantine.merge(reports(0, 1), world.now());
    for (std::size_t number = 0; number < QuarantineSync::maximumPagesServed; ++number)
        BOOST_TEST(one.sync.page(std::nullopt).has_value());
    const auto refused = one.sync.page(std::nullopt);
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().kind == Core::ErrorKind::Unavailable));
    world.runFor(QuarantineSync::fetchInterval);
    BOOST_TEST(one.sync.page(std::nullopt).has_value());
}

BOOST_AUTO_TEST_CASE(SendsNoMoreThanABoundedNumberOfReports)
{
    one.quarantine.merge(reports(0, 1000), world.now());
    std::size_t sent = 0;
    for (auto page = one.sync.page(std::nullopt); page; page = one.sync.page(std::nullopt))
        sent += page->reports.size();
    BOOST_TEST(sent == QuarantineSync::maximumReportsServed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatSendsABrokenMessage)

BOOST_AUTO_TEST_CASE(GetsATypedError)
{
    for (const std::string payload : { "", "\xff\xff", "\x82\x01", "\x82\x61\x61\x01" }) {
        one.node.call(
            other.address, { "dispatch.quarantine", payload }, std::chrono::seconds(1), [](const auto& result) {
                BOOST_TEST_REQUIRE(!result.has_value());
                BOOST_TEST((result.error().kind == Core::ErrorKind::InvalidMessage));
            });
        world.runFor(std::chrono::seconds(2));
    }
}

BOOST_AUTO_TEST_CASE(IsNotBelieved)
{
    using nlohmann::json;
    const auto pageOf = [](const json& upstreams, std::int64_t age) {
        return Cbor::pack(json::array({ true, json::array({ json::array({ 1, 2, upstreams, age }) }) }));
    };
    const json two { "u1", "u2" };
    const auto tooOld = Core::Millis(Dispatch::RequestQuarantine::quarantineTime).count() + 1;
    const std::vector<std::string> payloads { Cbor::pack(nullptr), pageOf(json::array(), 0), pageOf(two, tooOld),
        pageOf(two, -1) };
    std::size_t next = 0;
    one.node.registerHandler(
        "dispatch.quarantine", [&](const std::string&, const auto& respond) { respond(payloads[next++]); });
    for (std::size_t number = 0; number < payloads.size(); ++number) {
        other.sync.receive(one.address, foreignDigest);
        world.runFor(std::chrono::seconds(1));
    }
    BOOST_TEST(next == payloads.size());
    BOOST_TEST(other.sync.requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
