#include "fakes/quotas/quotafleet.h"
#include "quotapeer/quotapeer.h"

#include <boost/test/unit_test.hpp>

using Fakes::QuotaFleet;
using Quotas::Permits;

namespace {

constexpr auto organisation = "peach";

struct OneVm : QuotaFleet {
    OneVm()
        : QuotaFleet(1, 1)
    {
        setQuota(organisation, { 10, 20 });
        startAll();
    }
    auto send(int requests, bool areSent = true) -> void
    {
        for (auto count = 0; count < requests; ++count)
            request(0, organisation, areSent);
    }
    auto runs() -> std::size_t { return tally(organisation).runs.size(); }
    auto refused() -> std::size_t { return tally(organisation).refused; }
};

struct ManyVms : QuotaFleet {
    static constexpr std::size_t count = 30;
    static constexpr double rate = 60;

    ManyVms()
        : QuotaFleet(1, count)
    {
        setQuota(organisation, { rate, rate });
        startAll();
        world.runFor(std::chrono::seconds(5));
    }
    /// Sends requests to the VMs from the first to the last one. Returns the share that is refused.
    auto refusedShare(double perSecond, std::size_t first, std::size_t last,
        Core::Duration duration = std::chrono::seconds(10)) -> double
    {
        const auto before = tally(organisation);
        for (Core::Duration passed {}; passed < duration; passed += Core::Millis(1)) {
            if (world.chance(perSecond / 1000))
                request(first + world.below(last - first), organisation);
            world.runFor(Core::Millis(1));
        }
        const auto& now = tally(organisation);
        return static_cast<double>(now.refused - before.refused) / static_cast<double>(now.requests - before.requests);
    }
};

auto member(const std::string& id, const std::string& region) -> Quotas::TreeMember
{
    return { Core::EntryVmId(id), Core::FailureDomainId(region + "-a"), Core::RegionId(region), Core::Address(id) };
}

auto message(std::uint64_t sequence, Permits given) -> Quotas::PermitMessage
{
    return { Core::EntryVmId("vm-child"), Core::ProcessStartId(1), sequence, 0.5, 2,
        { { Core::OrganisationId(organisation), given, {} } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnOrganisationWithAQuota)

BOOST_AUTO_TEST_SUITE(OnOneVm)

BOOST_FIXTURE_TEST_CASE(GetsItsRateAfterItsBurst, OneVm)
{
    world.runFor(std::chrono::seconds(20));
    send(20);
    BOOST_TEST(runs() >= 20U);
    send(200);
    world.runFor(std::chrono::seconds(1));
    BOOST_TEST(refused() > 100U);
    BOOST_TEST(runs() <= 62U);
}

BOOST_FIXTURE_TEST_CASE(WaitsForAPermitThatComesSoon, OneVm)
{
    world.runFor(Core::Millis(1500));
    send(40);
    const auto atOnce = runs();
    world.runFor(Core::Millis(320));
    BOOST_TEST(refused() == 0U);
    BOOST_TEST(runs() >= atOnce + 3);
}

BOOST_FIXTURE_TEST_CASE(GetsAPermitBackThatWasNotUsed, OneVm)
{
    world.runFor(std::chrono::seconds(20));
    send(500, false);
    BOOST_TEST(refused() == 0U);
    send(20);
    BOOST_TEST(runs() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OverManyVms)

BOOST_FIXTURE_TEST_CASE(IsNotRefusedWithinItsQuota, ManyVms) { BOOST_TEST(refusedShare(rate * 0.6, 0, count) < 0.01); }

BOOST_FIXTURE_TEST_CASE(MayHaveAllItsCallersOnTwoVms, ManyVms) { BOOST_TEST(refusedShare(rate * 0.6, 0, 2) < 0.03); }

BOOST_FIXTURE_TEST_CASE(KeepsItsPartWhereAThirdIsCutOff, ManyVms)
{
    cutFirst(count / 3);
    (void)refusedShare(rate * 0.6 / 3, 0, count / 3, std::chrono::seconds(3));
    BOOST_TEST(refusedShare(rate * 0.6 / 3, 0, count / 3) < 0.03);
    BOOST_TEST(refusedShare(rate * 0.6 * 2 / 3, count / 3, count) < 0.03);
}

BOOST_FIXTURE_TEST_CASE(IsServedSoonAfterAllVmsRestart, ManyVms)
{
    for (std::size_t vm = 0; vm < count; ++vm)
        crash(vm);
    startAll();
    world.runFor(Core::Millis(700));
    BOOST_TEST(refusedShare(rate * 0.6, 0, count, std::chrono::seconds(1)) < 0.2);
    BOOST_TEST(refusedShare(rate * 0.6, 0, count) < 0.01);
}

BOOST_FIXTURE_TEST_CASE(IsHeldToALowerLimitAndGetsAHigherOneAtOnce, ManyVms)
{
    setQuota(organisation, { rate / 10, 0 });
    applyQuotas();
    BOOST_TEST(refusedShare(rate, 0, count) > 0.8);
    setQuota(organisation, { rate, rate });
    applyQuotas();
    // Requests that have waited under the lower limit are refused a little later.
    world.runFor(Quotas::OrganisationPermits::maximumWait);
    BOOST_TEST(refusedShare(rate * 0.6, 0, count) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AMessageAboutPermits)

BOOST_FIXTURE_TEST_CASE(CountsOnceWhenItArrivesTwice, OneVm)
{
    const auto before = stock(organisation);
    (void)deliver(0, message(2, Permits::ofWhole(3)));
    BOOST_TEST(stock(organisation) == before + 3);
    (void)deliver(0, message(2, Permits::ofWhole(3)));
    BOOST_TEST(stock(organisation) == before + 3);
    (void)deliver(0, message(1, Permits::ofWhole(3)));
    BOOST_TEST(stock(organisation) == before + 6);
}

BOOST_FIXTURE_TEST_CASE(GetsBackThePermitsForWhichThereIsNoRoom, OneVm)
{
    const auto before = stock(organisation);
    const auto reply = deliver(0, message(1, Permits::ofWhole(1000)));
    BOOST_TEST(reply.grants.size() == 1U);
    BOOST_TEST(stock(organisation) + reply.grants.front().granted.value() == before + 1000);
    BOOST_TEST(stock(organisation) < 100);
}

BOOST_FIXTURE_TEST_CASE(HarmsNothingIfItIsMalformed, OneVm)
{
    const auto before = stock(organisation);
    Fakes::VirtualNode peer(world, Core::Address("vm-peer"));
    std::size_t errors = 0;
    for (const std::string payload : { "", "\x80", "\x83\x01\x02\x03", "\xff\xff", "not CBOR" }) {
        peer.call(Core::Address("vm-1000"), { "quota.permits", payload }, Core::Millis(300),
            [&errors](const Core::Result<std::string>& reply) { errors += reply ? 0 : 1; });
    }
    world.runFor(Core::Millis(100));
    BOOST_TEST(errors == 5U);
    BOOST_TEST(stock(organisation) >= before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheTreeOfVms)

BOOST_AUTO_TEST_CASE(HasTheLargestVmOfAGroupAsItsHead)
{
    std::vector<Quotas::TreeMember> members;
    for (const auto* id : { "a", "b", "c", "d" })
        members.push_back({ Core::EntryVmId(id), {}, {}, {}, Core::Percent(10) });
    members[2].processor = Core::Percent(50);
    const auto isDown = [](const Core::EntryVmId&) { return false; };
    BOOST_TEST((Quotas::PermitTree(members, Core::EntryVmId("c")).parent(isDown) == nullptr));
    for (const auto* id : { "a", "b", "d" }) {
        const Quotas::PermitTree tree(members, Core::EntryVmId(id));
        BOOST_REQUIRE(tree.parent(isDown));
        BOOST_TEST(tree.parent(isDown)->id.value() == "c");
    }
}

BOOST_AUTO_TEST_CASE(HasHeadsOfTheirOwnRegionThatOthersReplace)
{
    std::vector<Quotas::TreeMember> members;
    for (auto index = 10; index < 30; ++index) {
        members.push_back(member("a" + std::to_string(index), "atl"));
        members.push_back(member("s" + std::to_string(index), "sav"));
    }
    const auto parentOf = [&members](const std::string& self, const std::set<std::string>& down = {}) {
        const Quotas::PermitTree tree(members, Core::EntryVmId(self));
        const auto* parent = tree.parent([&down](const auto& id) { return down.contains(id.value()); });
        return parent == nullptr ? "none" : parent->id.value();
    };
    BOOST_TEST(parentOf("a10") == "none");
    BOOST_TEST(parentOf("a12") == "a10");
    BOOST_TEST(parentOf("a12", { "a10" }) == "a11");
    BOOST_TEST(parentOf("a11", { "a10" }) == "none");
    BOOST_TEST(parentOf("s29").front() == 's');
    BOOST_TEST(parentOf(parentOf("s29")) == "a10");
    BOOST_TEST(parentOf(parentOf("s29"), { "a10" }) == "a11");
}

BOOST_AUTO_TEST_SUITE_END()
