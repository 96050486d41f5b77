#include "crashreportpeer/crashreportpeer.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

class FixedClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return Core::Instant(Core::Millis(1)); }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return {}; }
};

class CountingRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override { return m_next += 7919; }

private:
    std::uint64_t m_next = 1;
};

class Router : public Ports::PeerRouter {
public:
    auto registerHandler(std::string kind, Handler handler) -> void override { handlers[kind] = std::move(handler); }

    std::map<std::string, Handler> handlers;
};

/// Delivers messages synchronously to the entry VM at the address. Calls to entry VMs that are cut off fail with a
/// timeout.
class LoopbackTransport : public Ports::PeerTransport {
public:
    auto call(const Core::Address& peer, Ports::PeerMessage message, Core::Duration, ReplyCallback callback)
        -> void override
    {
        ++messages;
        if (cutOff.contains(peer)) {
            callback(Core::fail(Core::ErrorKind::Timeout, "cut off", "wait"));
            return;
        }
        routers.at(peer).handlers.at(message.kind)(message.payload, callback);
    }

    std::map<Core::Address, Router> routers;
    std::set<Core::Address> cutOff;
    std::size_t messages = 0;
};

/// Contains no members, like the membership view of an entry VM that has just started.
class NullMembershipView : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return {}; }
    [[nodiscard]] auto find(const Core::EntryVmId&) const -> std::optional<Membership::Member> override { return {}; }
};

struct Node {
    Node(FixedClock& clock, CountingRandom& random, NullMembershipView& members, const Fleet::FleetSource& fleet,
        LoopbackTransport& transport, const std::string& id)
        : sender(transport)
        , gossip({ clock, random, members, fleet, sender, quarantine }, Core::EntryVmId(id))
    {
        CrashReportPeer::registerCrashReportHandler(transport.routers[Core::Address(id)],
            [this](const Dispatch::CrashReport& crashReport) { gossip.accept(crashReport); });
    }

    Dispatch::RequestQuarantine quarantine;
    CrashReportPeer::CrashReportPeer sender;
    CrashReports::CrashReportGossip gossip;
};

struct FleetFixture {
    auto start(std::size_t size) -> void
    {
        Fleet::FleetList list { Core::Version(1), {}, {} };
        for (std::size_t index = 0; index < size; ++index) {
            const auto id = "vm-" + std::to_string(index);
            Fleet::EntryVm vm;
            vm.id = Core::EntryVmId(id);
            vm.peerAddress = Core::Address(id);
            list.entryVms.push_back(vm);
            nodes.push_back(std::make_unique<Node>(clock, random, members, fleet, transport, id));
        }
        fleet.offer(std::move(list));
    }

    auto quarantinedCount() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& node : nodes)
            count += node->quarantine.isQuarantined(crashReport.fingerprint, clock.now()) ? 1 : 0;
        return count;
    }

    FixedClock clock;
    CountingRandom random;
    NullMembershipView members;
    Fleet::FleetHolder fleet;
    LoopbackTransport transport;
    std::vector<std::unique_ptr<Node>> nodes;
    const Dispatch::CrashReport crashReport { { 1, ~0ULL }, { Core::UpstreamId("u1"), Core::UpstreamId("u2") } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestHasCrashedTwoUpstreams, FleetFixture)

BOOST_AUTO_TEST_SUITE(TheFleetIsSmall)

BOOST_AUTO_TEST_CASE(ThenEveryEntryVmIsInformedBeforeTheCallerIsAnswered)
{
    start(10);
    bool isAnswered = false;
    nodes[0]->quarantine.merge({ crashReport }, clock.now());
    nodes[0]->gossip.publish(crashReport, [&] {
        isAnswered = true;
        BOOST_TEST(quarantinedCount() == 10U);
    });
    BOOST_TEST(isAnswered);
}

BOOST_AUTO_TEST_CASE(ThenOneThatIsCutOffDoesNotHoldTheAnswerBack)
{
    start(10);
    transport.cutOff.insert(Core::Address("vm-3"));
    bool isAnswered = false;
    nodes[0]->gossip.publish(crashReport, [&] { isAnswered = true; });
    BOOST_TEST(isAnswered);
    BOOST_TEST(!nodes[3]->quarantine.isQuarantined(crashReport.fingerprint, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheFleetIsLarge)

BOOST_AUTO_TEST_CASE(ThenTheGossipReachesAllWithABoundedNumberOfMessages)
{
    start(400);
    nodes[0]->quarantine.merge({ crashReport }, clock.now());
    nodes[0]->gossip.publish(crashReport, [] {});
    BOOST_TEST(quarantinedCount() == 400U);
    BOOST_TEST(transport.messages <= 400U * 16U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APeerSendsABrokenMessage)

BOOST_AUTO_TEST_CASE(ThenItIsRefusedWithATypedError)
{
    start(1);
    for (const std::string payload : { "", "\xff\xff", "\x83\x01\x02", "\xa0" }) {
        transport.call(Core::Address("vm-0"), { "dispatch.suspicion", payload }, {}, [](const auto& result) {
            BOOST_REQUIRE(!result);
            BOOST_TEST((result.error().kind == Core::ErrorKind::InvalidMessage));
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
