#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;

namespace {

constexpr int roundsPerSecond = 10;

/// Entry VM with the upstreams of two services, whose health checks stay open.
struct ProbingVm {
    ProbingVm()
    {
        auto route = stockRoute();
        route.services.push_back({ Core::ServiceId("audit"), 1 });
        forwarder.setConfiguration(configurationWith({ route }));
        std::vector<Forwarding::UpstreamEntry> entries;
        for (int number = 0; number < 300; ++number) {
            entries.push_back(upstream("s" + std::to_string(number)));
            entries.push_back(upstream("a" + std::to_string(number)));
            entries.back().service = Core::ServiceId("audit");
        }
        forwarder.setUpstreams(byId(entries), {});
    }

    class OpenProbes : public ManualExchangeClient {
    public:
        auto probeHealth(const Ports::UpstreamTarget& target, const std::string&, HealthCallback) -> void override
        {
            targets.push_back(target.id.value());
        }

        std::vector<std::string> targets;
    };

    auto runForASecond() -> void
    {
        for (int round = 0; round < roundsPerSecond; ++round)
            forwarder.runProbes();
    }

    TestSupport::VirtualTime time;
    SeededRandom random;
    OpenProbes exchanges;
    EventRecorder events;
    NullMetrics metrics;
    SingleEntryVm entryVms;
    Forwarding::Forwarder forwarder { { time, time, random, exchanges, events, metrics,
        { localLocation, entryVms, {} } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEntryVm, ProbingVm)

BOOST_AUTO_TEST_SUITE(ThatDoubtsAllItsUpstreams)

/// Incident DRAIN, GONE: a VM that had been held up checked 648 upstreams at once, and was held up by that again.
BOOST_AUTO_TEST_CASE(StartsABoundedNumberOfHealthChecksASecond)
{
    forwarder.markUpstreamsUnverified();
    runForASecond();
    BOOST_TEST(exchanges.targets.size() == Forwarding::Forwarder::maximumProbesPerRound * roundsPerSecond);
}

BOOST_AUTO_TEST_CASE(ChecksThoseOfEachService)
{
    forwarder.markUpstreamsUnverified();
    runForASecond();
    const auto ofStock = std::count_if(exchanges.targets.begin(), exchanges.targets.end(),
        [](const std::string& target) { return target.starts_with('s'); });
    BOOST_TEST(ofStock == static_cast<std::ptrdiff_t>(exchanges.targets.size()) / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
