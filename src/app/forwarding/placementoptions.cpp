#include "app/forwarding/placementoptions.h"

#include <boost/program_options/value_semantic.hpp>

namespace App {

namespace {

    namespace po = boost::program_options;

    auto millis(Core::Millis& target)
    {
        return po::value<Core::Millis::rep>()
            ->default_value(target.count())
            ->value_name("MS")
            ->notifier([&target](Core::Millis::rep value) { target = Core::Millis(value); });
    }

    template <typename T> auto number(T& target, const char* name)
    {
        return po::value(&target)->default_value(target)->value_name(name);
    }

} // namespace

auto placementOptions(Forwarding::PlacementSettings& settings) -> po::options_description
{
    po::options_description options("Placement");
    auto add = options.add_options();
    add("replicas", number(settings.replicas, "N"), "maximum number of upstreams that an object may be placed on");
    add("replica-price", number(settings.replicaPrice, "X"),
        "price of an additional replica, in multiples of the extra time of an object's first request");
    add("domain-border-cost", millis(settings.domainBorderCost),
        "cost of an upstream in another failure domain of the region");
    add("region-border-cost", millis(settings.regionBorderCost),
        "cost of an upstream in another region, in addition to the round trip");
    add("region-round-trip", millis(settings.regionRoundTrip), "round-trip time to another region");
    add("failure-cost", millis(settings.failureCost), "cost of an upstream that failed all of its last requests");
    add("waiting-per-slot", number(settings.waitingPerSlot, "X"),
        "requests that may wait at an upstream for each of its slots");
    return options;
}

auto checkPlacement(const Forwarding::PlacementSettings& settings) -> Core::Result<void>
{
    std::string problems;
    const auto check = [&problems](bool isValid, const char* problem) {
        if (!isValid)
            problems += (problems.empty() ? "" : "; ") + std::string(problem);
    };
    const Core::Millis zero { 0 };
    check(settings.replicas >= 1, "replicas must be at least 1");
    check(settings.replicaPrice > 0, "replica-price must be above 0");
    check(settings.waitingPerSlot >= 0, "waiting-per-slot must not be negative");
    check(settings.domainBorderCost >= zero && settings.regionBorderCost >= zero && settings.regionRoundTrip >= zero
            && settings.failureCost >= zero,
        "costs must not be negative");
    if (problems.empty())
        return {};
    return Core::fail(Core::ErrorKind::InvalidArgument, problems, "correct the flags or their environment variables");
}

} // namespace App
