#include "suspicionpeer/suspicionpeer.h"

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

/// Delivers messages at once to the entry VM at the address; those that are cut off never get one.
class Wire : public Ports::PeerTransport {
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

/// Knows nobody, as an entry VM that has just started.
class NoMembers : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return {}; }
    [[nodiscard]] auto find(const Core::EntryVmId&) const -> std::optional<Membership::Member> override { return {}; }
};

struct Node {
    Node(FixedClock& clock, CountingRandom& random, NoMembers& members, const Fleet::FleetSource& fleet, Wire& wire,
        const std::string& id)
        : port(wire)
        , spread({ clock, random, members, fleet, port, quarantine }, Core::EntryVmId(id))
    {
        SuspicionPeer::registerSuspicionHandler(wire.routers[Core::Address(id)],
            [this](const Dispatch::CrashSuspicion& suspicion) { spread.accept(suspicion); });
    }

    Dispatch::RequestQuarantine quarantine;
    SuspicionPeer::SuspicionPeer port;
    Suspicion::SuspicionSpread spread;
};

struct AFleet {
    auto start(std::size_t size) -> void
    {
        Fleet::FleetList list { Core::Version(1), {}, {} };
        for (std::size_t index = 0; index < size; ++index) {
            const auto id = "vm-" + std::to_string(index);
            Fleet::EntryVm vm;
            vm.id = Core::EntryVmId(id);
            vm.peerAddress = Core::Address(id);
            list.entryVms.push_back(vm);
            nodes.push_back(std::make_unique<Node>(clock, random, members, fleet, wire, id));
        }
        fleet.offer(std::move(list));
    }

    auto informed() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& node : nodes)
            count += node->quarantine.isQuarantined(suspicion.fingerprint, clock.now()) ? 1 : 0;
        return count;
    }

    FixedClock clock;
    CountingRandom random;
    NoMembers members;
    Fleet::FleetHolder fleet;
    Wire wire;
    std::vector<std::unique_ptr<Node>> nodes;
    const Dispatch::CrashSuspicion suspicion { { 1, ~0ULL }, { Core::UpstreamId("u1"), Core::UpstreamId("u2") } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestHasCrashedTwoUpstreams, AFleet)

BOOST_AUTO_TEST_SUITE(TheFleetIsSmall)

BOOST_AUTO_TEST_CASE(ThenEveryEntryVmKnowsBeforeTheCallerIsAnswered)
{
    start(10);
    bool isAnswered = false;
    nodes[0]->quarantine.merge({ suspicion }, clock.now());
    nodes[0]->spread.announce(suspicion, [&] {
        isAnswered = true;
        BOOST_TEST(informed() == 10U);
    });
    BOOST_TEST(isAnswered);
}

BOOST_AUTO_TEST_CASE(ThenOneThatIsCutOffDoesNotHoldTheAnswerBack)
{
    start(10);
    wire.cutOff.insert(Core::Address("vm-3"));
    bool isAnswered = false;
    nodes[0]->spread.announce(suspicion, [&] { isAnswered = true; });
    BOOST_TEST(isAnswered);
    BOOST_TEST(!nodes[3]->quarantine.isQuarantined(suspicion.fingerprint, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheFleetIsLarge)

BOOST_AUTO_TEST_CASE(ThenTheRumourReachesAllWithABoundedNumberOfMessages)
{
    start(400);
    nodes[0]->quarantine.merge({ suspicion }, clock.now());
    nodes[0]->spread.announce(suspicion, [] {});
    BOOST_TEST(informed() == 400U);
    BOOST_TEST(wire.messages <= 400U * 16U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APeerSendsABrokenMessage)

BOOST_AUTO_TEST_CASE(ThenItIsRefusedWithATypedError)
{
    start(1);
    for (const std::string payload : { "", "\xff\xff", "\x83\x01\x02", "\xa0" }) {
        wire.call(Core::Address("vm-0"), { "dispatch.suspicion", payload }, {}, [](const auto& result) {
            BOOST_REQUIRE(!result);
            BOOST_TEST((result.error().kind == Core::ErrorKind::InvalidMessage));
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
