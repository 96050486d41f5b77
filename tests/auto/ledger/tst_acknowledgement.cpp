#include "core/invariant.h"
#include "fakes/booking/bookingfleet.h"

#include <boost/test/unit_test.hpp>

namespace {

/// Backup whose intent callbacks are invoked by the test, any number of times.
class ManualBackup : public Ledger::BackupPort, public Ledger::HomeRelayPort {
public:
    auto fetchIncarnation(const Core::EntryVmId&, Core::Duration, IncarnationCallback) -> void override { }
    auto announce(Ledger::Intent, Core::Duration, IntentCallback callback) -> void override
    {
        intents.push_back(std::move(callback));
    }
    auto storeOutcome(Ledger::Outcome, Core::Duration, StoreCallback callback) -> void override { callback({}); }
    auto resolve(Ledger::Query, Core::Duration, ResolveCallback) -> void override { }
    auto relay(Core::ServiceRequest, Core::Duration, RelayCallback) -> void override { }

    std::vector<IntentCallback> intents;
};

class CountingUpstreams : public Dispatch::Dispatcher {
public:
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback)
        -> void override
    {
        ++starts;
        callback(Core::Answer { request.id, Core::UpstreamId("u-1"), 200, {}, "whole" });
    }

    std::size_t starts = 0;
};

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

struct HomeWithManualBackup {
    HomeWithManualBackup()
    {
        Fleet::FleetList list { Core::Version(1), {}, {} };
        for (const auto* vm : { "vm-0", "vm-1" }) {
            auto& member = members.knownMembers[Core::EntryVmId(vm)];
            member.vm = { Core::EntryVmId(vm), Core::FailureDomainId(vm), Core::RegionId("atl"), {}, {},
                Fleet::MemberState::Live };
            member.incarnation = { 1, members.knownMembers.size() };
        }
        for (const auto& [id, member] : members.knownMembers)
            list.entryVms.push_back(member.vm);
        fleet.offer(std::move(list));
        system.start();
        policy.isIdempotent = false;
        request.id = Core::RequestId("r-1");
        request.deadline = world.now() + Core::Millis(1000);
        request.key = Core::RequestKey { *Core::parseKeyPrefix(system.prefixes().currentPrefix()), "k1" };
    }

    auto send() -> void
    {
        system.coordinator().execute(
            request, policy, [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    }

    auto outcome(std::size_t index) -> Core::RunOutcome { return std::get<Core::Refusal>(replies.at(index)).outcome; }

    Fakes::VirtualWorld world { 1 };
    Fakes::VirtualNode node { world, Core::Address("10.0.0.1:1") };
    Fakes::FakeMembers members;
    Fleet::FleetHolder fleet;
    NullEventSink events;
    CountingUpstreams upstreams;
    ManualBackup backup;
    Ledger::BookingSystem system { { world, node, members, events, upstreams, backup, backup, fleet },
        { Core::EntryVmId("vm-0"), { 1, 1 }, Core::FailureDomainId("vm-0"), Core::RegionId("atl") }, {} };
    Configuration::ServicePolicy policy;
    Core::ServiceRequest request;
    std::vector<Core::Reply> replies;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnAcknowledgement, HomeWithManualBackup)

BOOST_AUTO_TEST_CASE(StartsTheBookingOnceEvenIfItArrivesTwice)
{
    send();
    BOOST_TEST(upstreams.starts == 0U);
    backup.intents.at(0)(Ledger::IntentOutcome::Acknowledged);
    backup.intents.at(0)(Ledger::IntentOutcome::Acknowledged);
    BOOST_TEST(upstreams.starts == 1U);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThatArrivesAfterTheIntentTimedOutStartsNothing)
{
    send();
    backup.intents.at(0)(Ledger::IntentOutcome::Unreachable);
    backup.intents.at(1)(Ledger::IntentOutcome::Unreachable);
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
    backup.intents.at(0)(Ledger::IntentOutcome::Acknowledged);
    send();
    BOOST_TEST(upstreams.starts == 0U);
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((outcome(1) == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(IsNotRequestedWhenTheBodyIsTooLargeAndTheRefusalIsFinal)
{
    policy.maximumBody = Core::Bytes(4);
    request.body = "five!";
    send();
    policy.maximumBody = Core::Bytes(64);
    send();
    BOOST_TEST(backup.intents.empty());
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((outcome(0) == Core::RunOutcome::NotRun));
    BOOST_TEST((outcome(1) == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
