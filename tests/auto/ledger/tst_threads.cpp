#include "fakes/booking/bookingfleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace {

constexpr std::size_t threadCount = 4;
constexpr std::size_t keyCount = 500;

/// Backup that acknowledges intents synchronously on the calling thread.
class ImmediateBackup : public Ledger::BackupPort, public Ledger::HomeRelayPort {
public:
    auto fetchIncarnation(const Core::EntryVmId&, Core::Duration, IncarnationCallback) -> void override { }
    auto announce(Ledger::Intent, Core::Duration, IntentCallback callback) -> void override
    {
        callback(Ledger::IntentOutcome::Acknowledged);
    }
    auto storeOutcome(Ledger::Outcome, Core::Duration, StoreCallback callback) -> void override { callback({}); }
    auto resolve(Ledger::Query, Core::Duration, ResolveCallback) -> void override { }
    auto relay(Core::ServiceRequest, Core::Duration, RelayCallback) -> void override { }
};

class CountingUpstreams : public Dispatch::Dispatcher {
public:
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback)
        -> void override
    {
        ++starts;
        callback(Core::Answer { request.id, Core::UpstreamId("u-1"), 200, {}, request.key->unique });
    }

    std::atomic<std::size_t> starts { 0 };
};

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

struct HomeOnly {
    HomeOnly()
    {
        policy.isIdempotent = false;
        policy.needsBackup = false;
        system.start();
    }

    /// Sends one request for each key.
    auto sendAll(const Core::KeyPrefix& prefix) -> void
    {
        for (std::size_t index = 0; index < keyCount; ++index) {
            Core::ServiceRequest request;
            request.id = Core::RequestId("r");
            request.deadline = world.now() + Core::Millis(1000);
            request.key = Core::RequestKey { prefix, "k" + std::to_string(index) };
            system.coordinator().execute(
                request, policy, [this, unique = request.key->unique](const Core::Reply& reply) {
                    if (const auto* answer = std::get_if<Core::Answer>(&reply))
                        wrongAnswers += answer->body == unique ? 0 : 1;
                    else
                        ++refused;
                    ++replied;
                });
        }
    }

    Fakes::VirtualWorld world { 1 };
    Fakes::VirtualNode node { world, Core::Address("10.0.0.1:1") };
    Fakes::FakeMembers members;
    Fleet::FleetHolder fleet;
    NullEventSink events;
    CountingUpstreams upstreams;
    ImmediateBackup backup;
    Ledger::BookingSystem system { { world, node, members, events, upstreams, backup, backup, fleet },
        { Core::EntryVmId("vm-0"), { 1, 1 }, Core::FailureDomainId("atl-1"), Core::RegionId("atl") }, {} };
    Configuration::ServicePolicy policy;
    std::atomic<std::size_t> wrongAnswers { 0 };
    std::atomic<std::size_t> refused { 0 };
    std::atomic<std::size_t> replied { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SeveralThreadsThatSendTheSameKeys, HomeOnly)

BOOST_AUTO_TEST_CASE(StartEachKeyOnce)
{
    const auto prefix = *Core::parseKeyPrefix(system.prefixes().currentPrefix(false));
    std::vector<std::jthread> threads;
    for (std::size_t index = 0; index < threadCount; ++index)
        threads.emplace_back([&] { sendAll(prefix); });
    threads.clear();
    BOOST_TEST(upstreams.starts == keyCount);
    BOOST_TEST(replied == threadCount * keyCount);
    BOOST_TEST(wrongAnswers == 0U);
    BOOST_TEST(refused == 0U);
}

BOOST_AUTO_TEST_CASE(StartNothingOnceAllEpochsAreClosed)
{
    const auto prefix = *Core::parseKeyPrefix(system.prefixes().currentPrefix(false));
    std::vector<std::jthread> threads;
    for (std::size_t index = 0; index < threadCount; ++index)
        threads.emplace_back([&] { sendAll(prefix); });
    system.close();
    threads.clear();
    const auto started = upstreams.starts.load();
    sendAll(prefix);
    BOOST_TEST(upstreams.starts == started);
    BOOST_TEST(replied == (threadCount + 1) * keyCount);
}

BOOST_AUTO_TEST_SUITE_END()
