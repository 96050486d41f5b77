#include "gossipcluster.h"
#include "membership/rendezvousownership.h"

#include <boost/test/unit_test.hpp>

namespace {

using Membership::MemberHealth;
using std::chrono::seconds;

constexpr std::uint64_t seed = 11;
constexpr Core::Millis detectionBound { 2000 };

const std::vector<GossipCluster::NodeSpec> threeMembers { { "a1", "A" }, { "a2", "A" }, { "a3", "A" } };
const std::vector<GossipCluster::NodeSpec> twoDomains { { "a1", "A" }, { "a2", "A" }, { "b1", "B" }, { "b2", "B" } };

struct GossipFixture : GossipCluster {
    GossipFixture()
        : GossipCluster(seed)
    {
    }
    auto cutBetween(const std::vector<std::string>& left, const std::vector<std::string>& right) -> void
    {
        for (const auto& one : left) {
            for (const auto& other : right)
                world.cut(Core::Address(one), Core::Address(other));
        }
    }
};

struct OneDomain : GossipFixture {
    OneDomain()
    {
        startAll(threeMembers);
        world.runFor(seconds(5));
        BOOST_REQUIRE(allMembersSeeEachOtherAlive());
    }
};

struct TwoDomains : GossipFixture {
    TwoDomains()
    {
        startAll(twoDomains);
        world.runFor(seconds(10));
        BOOST_REQUIRE(allMembersSeeEachOtherAlive());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembersOfOneFailureDomain, OneDomain)

BOOST_AUTO_TEST_SUITE(WhenOneIsKilled)

BOOST_AUTO_TEST_CASE(NobodySeesItAliveAfterTwoSeconds)
{
    stop("a2");
    world.runFor(detectionBound);
    BOOST_TEST(!isAlive("a1", "a2"));
    BOOST_TEST(!isAlive("a3", "a2"));
    BOOST_TEST(isAlive("a1", "a3"));
}

BOOST_AUTO_TEST_CASE(ItIsDeclaredDeadWithinTwentySeconds)
{
    stop("a2");
    world.runFor(seconds(20));
    BOOST_TEST(!memberSeenBy("a1", "a2"));
}

BOOST_AUTO_TEST_CASE(ItsRestartUnderTheSameNameReplacesTheOldProcess)
{
    const auto before = memberSeenBy("a1", "a2")->incarnation;
    start(threeMembers[1]);
    const auto after = nodes.at("a2")->member->find(Core::EntryVmId("a2"))->incarnation;
    world.runFor(seconds(3));
    BOOST_TEST((before != after));
    BOOST_TEST((memberSeenBy("a1", "a2")->incarnation == after));
    BOOST_TEST((memberSeenBy("a3", "a2")->incarnation == after));
    BOOST_TEST(allMembersSeeEachOtherAlive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneIsPaused)

BOOST_AUTO_TEST_CASE(ItIsSuspectedAndAliveAgainAfterResume)
{
    world.pause(Core::Address("a2"));
    world.runFor(detectionBound);
    BOOST_TEST(!isAlive("a1", "a2"));
    world.resume(Core::Address("a2"));
    world.runFor(seconds(3));
    BOOST_TEST(allMembersSeeEachOtherAlive());
}

BOOST_AUTO_TEST_CASE(ItIsDeclaredDeadAndAliveAgainAfterResume)
{
    world.pause(Core::Address("a2"));
    world.runFor(seconds(30));
    BOOST_TEST(!memberSeenBy("a3", "a2"));
    world.resume(Core::Address("a2"));
    world.runFor(seconds(5));
    BOOST_TEST(allMembersSeeEachOtherAlive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOnlyOnePairIsCut)

BOOST_AUTO_TEST_CASE(IndirectProbesKeepBothAlive)
{
    cutBetween({ "a1" }, { "a2" });
    for (int step = 0; step < 50; ++step) {
        world.runFor(Core::Millis(200));
        BOOST_TEST(isAlive("a1", "a2"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOneAnnouncesItsStop)

BOOST_AUTO_TEST_CASE(TheOthersSeeItLeavingWithin200Milliseconds)
{
    nodes.at("a2")->member->announceLeaving();
    world.runFor(Core::Millis(200));
    BOOST_TEST((memberSeenBy("a1", "a2")->health == MemberHealth::Leaving));
    BOOST_TEST((memberSeenBy("a3", "a2")->health == MemberHealth::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheKeyPrefixChanges)

BOOST_AUTO_TEST_CASE(TheOthersReceiveItWithinOneSecond)
{
    nodes.at("a2")->prefix = "a2:next";
    world.runFor(seconds(1));
    BOOST_TEST(memberSeenBy("a1", "a2")->keyPrefix == "a2:next");
    BOOST_TEST(memberSeenBy("a3", "a2")->keyPrefix == "a2:next");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTwoProcessesUseOneName)

BOOST_AUTO_TEST_CASE(OneOfThemStops)
{
    Node duplicate(*this, { "a2", "A", "elsewhere" }, { Core::Address("a1") });
    duplicate.member->start();
    world.runFor(seconds(20));
    const auto stopCount = [](const Node& node) {
        return std::count(node.events.begin(), node.events.end(), "membership.id-used-twice");
    };
    BOOST_TEST(stopCount(duplicate) + stopCount(*nodes["a2"]) == 1);
    BOOST_TEST(isAlive("a1", "a2"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatDivideUpstreams)

BOOST_AUTO_TEST_CASE(AssignEachToExactlyOneAndMoveOnlyThoseOfADeadMember)
{
    auto ownerOf = [&](const std::string& upstream) {
        std::string owner;
        for (const auto& [vm, node] : nodes) {
            const Membership::RendezvousOwnership ownership(
                *node->member, world, Core::EntryVmId(vm), Core::FailureDomainId("A"));
            const bool isOwn = ownership.isOwn({ Core::UpstreamId(upstream), {}, Core::FailureDomainId("A") });
            owner += isOwn ? vm : "";
        }
        return owner;
    };
    std::map<std::string, std::string> before;
    for (int index = 0; index < 50; ++index)
        before["u" + std::to_string(index)] = ownerOf("u" + std::to_string(index));
    stop("a2");
    world.runFor(seconds(3));
    for (const auto& [upstream, owner] : before) {
        BOOST_TEST(owner.size() == 2U);
        BOOST_TEST((owner == "a2" || ownerOf(upstream) == owner));
        BOOST_TEST(ownerOf(upstream).size() == 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TwoFailureDomains, TwoDomains)

BOOST_AUTO_TEST_CASE(SuspectTheOtherOneDuringAPartitionAndSeeItAliveAfterwards)
{
    cutBetween({ "a1", "a2" }, { "b1", "b2" });
    world.runFor(seconds(20));
    BOOST_TEST(!isAlive("a1", "b1"));
    BOOST_TEST(!isAlive("b2", "a2"));
    BOOST_TEST(isAlive("a1", "a2"));
    world.runFor(std::chrono::hours(1));
    world.heal();
    world.runFor(seconds(10));
    BOOST_TEST(allMembersSeeEachOtherAlive());
}

BOOST_AUTO_TEST_CASE(DetectAKilledMemberOfTheOther)
{
    stop("b1");
    world.runFor(seconds(4));
    BOOST_TEST(!isAlive("a1", "b1"));
    BOOST_TEST(!isAlive("a2", "b1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithoutAFleetList, GossipFixture)

BOOST_AUTO_TEST_CASE(SeedsFromTheSettingsAreEnough)
{
    start(threeMembers[0]);
    start(threeMembers[1], { Core::Address("a1") });
    start(threeMembers[2], { Core::Address("a1") });
    world.runFor(seconds(6));
    BOOST_TEST(allMembersSeeEachOtherAlive());
}

BOOST_AUTO_TEST_SUITE_END()
