#include "fakes/forwarding/forwardingsite.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr std::size_t vmCount = 83;
constexpr std::array domains { "atl-a", "atl-b", "sav-a", "sav-b" };
constexpr std::size_t upstreamsPerDomain = 117;
constexpr int requestsPerSecond = 2000;
constexpr Core::Millis second { 1000 };
/// Control traffic of one VM in bytes per second that the capacity target allows (docs/CAPACITY.md).
constexpr double controlTarget = 17'000;
/// Headers of the two HTTP/2 frames that carry a message or a reply, in bytes (RFC 9113, section 4.1).
constexpr double frameHeaders = 18;

const Core::ServiceId stock { "stock" };

auto makeConfiguration() -> std::shared_ptr<Forwarding::RoutingConfiguration>
{
    Forwarding::Route route;
    route.id = Forwarding::RouteId("stock");
    route.host = "desk.example";
    route.pathPrefix = "/stock/";
    route.services = { { stock, 1 } };
    route.isIdempotent = true;
    route.attempts = 2;
    route.timeout = Core::Millis(2000);
    route.targetLatency = Core::Millis(400);
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
    configuration->version = Core::Version(1);
    configuration->routes.add(route);
    configuration->services[stock] = { "/health", Core::Millis(3000), 4 };
    return configuration;
}

/// Site under a steady load, in which all upstreams of a failure domain can be ended at once.
struct LoadedSite {
    LoadedSite()
    {
        site.configure(makeConfiguration());
        for (std::size_t number = 0; number < domains.size() * upstreamsPerDomain; ++number)
            addUpstream(number);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            site.startVm(vm);
        site.world.runFor(Core::Millis(5000));
        runUnderLoad(Core::Millis(5000));
    }

    auto addUpstream(std::size_t number) -> void
    {
        const std::string domain = domains.at(number % domains.size());
        const auto id = "u" + std::to_string(number);
        Forwarding::UpstreamEntry entry;
        entry.target = { Core::UpstreamId(id), Core::ProcessStartId(1), Core::Address(id) };
        entry.service = stock;
        entry.failureDomain = Core::FailureDomainId(domain);
        entry.region = Core::RegionId(domain.substr(0, 3));
        entry.slots = Core::SlotCount(4);
        site.addUpstream(entry, Core::Duration(0));
    }

    auto endUpstreamsOfOneDomain() -> void
    {
        for (std::size_t number = 0; number < upstreamsPerDomain; ++number)
            site.virtualUpstreams.end(Core::UpstreamId("u" + std::to_string(number * domains.size())));
    }

    auto runUnderLoad(Core::Duration duration) -> void
    {
        const auto end = site.world.now() + duration;
        while (site.world.now() < end) {
            Forwarding::ForwardRequest request;
            request.id = Core::RequestId("r" + std::to_string(++requests));
            request.host = "desk.example";
            request.path = "/stock/7";
            request.callerTimeout = Core::Millis(3000);
            site.send(static_cast<std::size_t>(requests) % vmCount, std::move(request), true);
            site.world.runFor(Core::Duration(second) / requestsPerSecond);
        }
    }

    [[nodiscard]] auto bytesSent() const -> double
    {
        const auto traffic = site.world.traffic();
        return static_cast<double>(traffic.bytes) + frameHeaders * static_cast<double>(traffic.messages);
    }

    /// Returns the largest number of control bytes per VM that any of the next seconds brings.
    auto highestControlTraffic(int seconds) -> double
    {
        double highest = 0;
        for (int passed = 0; passed < seconds; ++passed) {
            const auto before = bytesSent();
            runUnderLoad(second);
            highest = std::max(highest, (bytesSent() - before) / vmCount);
        }
        return highest;
    }

    Fakes::ForwardingSite site { 1, vmCount };
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ASiteUnderLoad, LoadedSite)

BOOST_AUTO_TEST_SUITE(ThatLosesAllUpstreamsOfAFailureDomain)

/// Incident DRAIN, GONE: the VMs told each other so often that small ones read requests and changes seconds late.
BOOST_AUTO_TEST_CASE(KeepsItsControlTrafficBelowTheTarget)
{
    endUpstreamsOfOneDomain();
    BOOST_TEST(highestControlTraffic(5) < controlTarget);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
